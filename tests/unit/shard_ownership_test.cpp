// How a controller acquires, transfers and loses shards.
#include "cluster/shard_ownership.h"

#include "unit/joined_controller_fixture.h"

namespace cherryloft {
namespace {

constexpr ShardId kOwnShard{0};    // this controller is its preferred owner
constexpr ShardId kOtherShard{1};  // the other controller is its preferred owner
constexpr Duration kLongerThanAnyTakeoverDelay{20'000};

struct ShardOwnershipTest : JoinedControllerTest {
  std::vector<ShardTakeover> takeovers;
  std::vector<ShardId> lost;
  std::vector<ShardId> returnsRequested;
  std::optional<TransferOutcome> transfer;
  ShardOwnership shards{settings,
                        service,
                        silentLog(),
                        view,
                        lease,
                        epochs,
                        {[this](const ShardTakeover& takeover) { takeovers.push_back(takeover); },
                         [this](ShardId shard) { lost.push_back(shard); },
                         [this](ShardId shard, const ControllerId&) { returnsRequested.push_back(shard); }}};

  ShardOwnershipTest() {
    for (const auto& controller : settings.controllers) setAlive(controller);
    for (unsigned shard = 0; shard < settings.size(); ++shard)
      setOwner(ShardId{shard}, settings.controllers[shard], Epoch{shard + 1}, Version{1});
  }
  void setOwner(ShardId shard, const ControllerId& owner, Epoch epoch, Version version) {
    view.shards[shard] = {{owner, epoch}, version};
  }
  // Shard 0 is transferred to this controller by a live owner after the join.
  void receiveOwnShard() {
    setOwner(kOwnShard, self(), Epoch{10}, Version{10});
    review();
  }
  void review() {
    shards.trackLiveControllers(service.now());
    shards.releaseShardsTakenByOthers();
    shards.review(service.now());
  }
  void transferOwnShard(const ControllerId& newOwner) {
    shards.transferOwnership(kOwnShard, Version{10}, newOwner,
                             [this](TransferOutcome outcome) { transfer = outcome; });
  }
};

TEST_F(ShardOwnershipTest, RecordOfAnEarlierProcessIsRewrittenAtOnce) {
  review();
  EXPECT_TRUE(takeovers.empty());
  runFor(Duration{100});
  ASSERT_EQ(takeovers.size(), 1U);
  EXPECT_EQ(takeovers[0].shard, kOwnShard);
  EXPECT_EQ(service.transactions.size(), 1U);
}

TEST_F(ShardOwnershipTest, ShardTransferredToThisProcessNeedsNoWrite) {
  receiveOwnShard();
  ASSERT_EQ(takeovers.size(), 1U);
  EXPECT_EQ(takeovers[0].epoch, Epoch{10});
  EXPECT_TRUE(service.transactions.empty());
}

TEST_F(ShardOwnershipTest, ShardWithALiveOwnerIsNotTakenOver) {
  receiveOwnShard();
  runFor(kLongerThanAnyTakeoverDelay);
  review();
  EXPECT_TRUE(service.transactions.empty());
}

TEST_F(ShardOwnershipTest, ShardOfADeadOwnerIsTakenOverAfterTheDelay) {
  receiveOwnShard();
  view.controllers.erase(other());
  review();
  EXPECT_TRUE(service.transactions.empty());
  runFor(kLongerThanAnyTakeoverDelay);
  review();
  runFor(Duration{100});
  EXPECT_EQ(shards.owned().count(kOtherShard), 1U);
}

TEST_F(ShardOwnershipTest, ShardTakenOverByAnotherIsLost) {
  receiveOwnShard();
  setOwner(kOwnShard, other(), Epoch{11}, Version{11});
  review();
  EXPECT_EQ(lost, std::vector<ShardId>{kOwnShard});
  EXPECT_TRUE(shards.owned().empty());
}

TEST_F(ShardOwnershipTest, ReturnedPreferredOwnerGetsItsShardAfterTheDelay) {
  receiveOwnShard();
  setOwner(kOtherShard, self(), Epoch{11}, Version{11});
  review();
  ASSERT_EQ(shards.owned().count(kOtherShard), 1U);
  runFor(settings.tuning.ownershipReturnDelay - Duration{1});
  review();
  EXPECT_TRUE(returnsRequested.empty());
  runFor(Duration{1});
  review();
  EXPECT_EQ(returnsRequested, std::vector<ShardId>{kOtherShard});
}

TEST_F(ShardOwnershipTest, TransferredShardIsReleased) {
  receiveOwnShard();
  transferOwnShard(other());
  EXPECT_FALSE(transfer);
  runFor(Duration{100});
  EXPECT_EQ(transfer, TransferOutcome::Released);
  EXPECT_TRUE(shards.owned().empty());
}

TEST_F(ShardOwnershipTest, RefusedTransferKeepsTheShard) {
  receiveOwnShard();
  service.transactionStatus = [] { return 409; };
  transferOwnShard(other());
  runFor(Duration{100});
  EXPECT_EQ(transfer, TransferOutcome::StillOwned);
  EXPECT_EQ(shards.owned().count(kOwnShard), 1U);
}

TEST_F(ShardOwnershipTest, TransferInDoubtReleasesTheShard) {
  receiveOwnShard();
  service.transactionStatus = [] { return 500; };
  transferOwnShard(other());
  runFor(Duration{3'000});
  EXPECT_EQ(transfer, TransferOutcome::Released);
  EXPECT_TRUE(shards.owned().empty());
}

TEST_F(ShardOwnershipTest, NoTransferToAControllerWithoutALease) {
  receiveOwnShard();
  view.controllers.erase(other());
  transferOwnShard(other());
  EXPECT_EQ(transfer, TransferOutcome::StillOwned);
  EXPECT_TRUE(service.transactions.empty());
}

}  // namespace
}  // namespace cherryloft
