// Ownership changes, each under a new epoch.
#include "cluster/epoch_allocator.h"

#include "unit/joined_controller_fixture.h"

namespace cherryloft {
namespace {

struct EpochAllocatorTest : JoinedControllerTest {
  std::optional<EpochAllocation> allocation;

  void allocate(const OwnershipChange& change) {
    epochs.allocate(change, [this](const EpochAllocation& result) { allocation = result; });
  }
};

TEST_F(EpochAllocatorTest, WritesTheNextEpochWithTheOwnerRecord) {
  view.epoch = Epoch{41};
  allocate(makeTakeover(self(), "share/1", nullptr));
  runFor(Duration{100});
  ASSERT_TRUE(allocation);
  EXPECT_TRUE(allocation->allocated());
  EXPECT_EQ(allocation->epoch, Epoch{42});
  EXPECT_EQ(allocation->version, Version{2});
  ASSERT_EQ(service.transactions.size(), 1U);
  EXPECT_NE(service.transactions[0].find(wire::encodeOwnerRecord({self(), Epoch{42}})), std::string::npos);
}

TEST_F(EpochAllocatorTest, RequiresVersionsOfRecordCounterAndBothControllers) {
  view.epochVersion = Version{7};
  OwnerEntry former{{other(), Epoch{3}}, Version{9}};
  allocate(makeTakeover(self(), "share/1", &former));
  runFor(Duration{100});
  ASSERT_EQ(service.transactions.size(), 1U);
  const auto& takeover = service.transactions[0];
  for (const auto& condition :
       {std::string{R"({"path":"share/1","stamp":9})"}, std::string{R"({"path":"share/epoch","stamp":7})"},
        R"({"path":"node/)" + self().value + R"(","stamp":2})",
        R"({"path":"node/)" + other().value + R"(","stamp":0})"})
    EXPECT_NE(takeover.find(condition), std::string::npos) << condition;
}

TEST_F(EpochAllocatorTest, TakeoverFromAnEarlierProcessDoesNotRequireAnExpiredLease) {
  OwnerEntry former{{self(), Epoch{3}}, Version{9}};
  EXPECT_FALSE(makeTakeover(self(), "share/0", &former).otherController);
}

TEST_F(EpochAllocatorTest, ConflictIsRefused) {
  service.transactionStatus = [] { return 409; };
  allocate(makeTakeover(self(), "share/1", nullptr));
  runFor(Duration{100});
  ASSERT_TRUE(allocation);
  EXPECT_EQ(allocation->outcome, EpochAllocation::Outcome::Refused);
}

TEST_F(EpochAllocatorTest, ErrorLeavesTheChangeInDoubt) {
  service.transactionStatus = [] { return 500; };
  allocate(makeTakeover(self(), "share/1", nullptr));
  runFor(Duration{3'000});
  ASSERT_TRUE(allocation);
  EXPECT_EQ(allocation->outcome, EpochAllocation::Outcome::InDoubt);
}

TEST_F(EpochAllocatorTest, IsBusyUntilTheViewIsRefreshed) {
  allocate(makeTakeover(self(), "share/1", nullptr));
  EXPECT_TRUE(epochs.busy());
  while (!allocation) runFor(Duration{1});
  EXPECT_TRUE(epochs.busy());
  EXPECT_EQ(viewRefreshes, 0);
  runFor(Duration{100});
  EXPECT_FALSE(epochs.busy());
  EXPECT_EQ(viewRefreshes, 1);
}

}  // namespace
}  // namespace cherryloft
