// When a controller becomes a candidate, gains and loses leadership.
#include "cluster/leader_election.h"

#include "unit/joined_controller_fixture.h"

namespace cherryloft {
namespace {

struct LeaderElectionTest : JoinedControllerTest {
  std::vector<bool> changes;
  LeaderElection election{settings, silentLog(), view,
                          lease,    epochs,      [this](bool leads) { changes.push_back(leads); }};

  void setLeader(const ControllerId& leader, Version version) {
    view.leader = OwnerEntry{{leader, Epoch{5}}, version};
  }
  void review() {
    election.updateLeadership(service.now());
    election.review(service.now());
  }
};

TEST_F(LeaderElectionTest, LeadsOnceTheViewShowsARecordNewerThanTheJoin) {
  setLeader(self(), Version{lease.joinVersion().value + 1});
  review();
  EXPECT_EQ(changes, std::vector<bool>{true});
}

TEST_F(LeaderElectionTest, LeadershipFromBeforeTheJoinIsAcquiredAgain) {
  setLeader(self(), lease.joinVersion());
  review();
  EXPECT_TRUE(changes.empty());
  EXPECT_TRUE(epochs.busy());
}

TEST_F(LeaderElectionTest, LiveLeaderIsNotReplaced) {
  setAlive(other());
  setLeader(other(), Version{9});
  review();
  runFor(Duration{20'000});
  review();
  EXPECT_TRUE(service.transactions.empty());
}

TEST_F(LeaderElectionTest, WithoutALeaderTheFirstInOrderIsACandidateAtOnce) {
  setLeader(other(), Version{9});
  review();
  EXPECT_TRUE(epochs.busy());
}

TEST_F(LeaderElectionTest, StopsLeadingWhenTheLeaseHasExpired) {
  setLeader(self(), Version{9});
  review();
  service.renewalStatus = [] { return 503; };
  runFor(settings.leaseTtl() + Duration{1});
  review();
  EXPECT_EQ(changes, (std::vector<bool>{true, false}));
}

}  // namespace
}  // namespace cherryloft
