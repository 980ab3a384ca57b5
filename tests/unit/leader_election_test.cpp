// Who leads, and who becomes a candidate.
#include "cluster/leader_election.h"

#include "unit/joined_controller_fixture.h"

namespace cherryloft {
namespace {

struct LeaderElectionTest : JoinedControllerTest {
  std::vector<bool> told;
  LeaderElection election{settings, silentLog(), view,
                          lease,    epochs,      [this](bool leads) { told.push_back(leads); }};

  void setLeader(const ControllerId& leader, Version version) {
    view.leader = OwnerEntry{{leader, Epoch{5}}, version};
  }
  void review() {
    election.updateLeadership(service.now());
    election.review(service.now());
  }
};

TEST_F(LeaderElectionTest, ItLeadsOnceTheViewShowsARecordNewerThanTheJoin) {
  setLeader(self(), Version{lease.joinVersion().value + 1});
  review();
  EXPECT_EQ(told, std::vector<bool>{true});
}

TEST_F(LeaderElectionTest, LeadershipFromBeforeTheJoinIsWrittenAnew) {
  setLeader(self(), lease.joinVersion());
  review();
  EXPECT_TRUE(told.empty());
  EXPECT_TRUE(epochs.busy());
}

TEST_F(LeaderElectionTest, ALivingLeaderIsNotChallenged) {
  setAlive(other());
  setLeader(other(), Version{9});
  review();
  runFor(Duration{20'000});
  review();
  EXPECT_TRUE(service.transactions.empty());
}

TEST_F(LeaderElectionTest, WithoutALeaderTheFirstInTurnIsACandidateAtOnce) {
  setLeader(other(), Version{9});
  review();
  EXPECT_TRUE(epochs.busy());
}

TEST_F(LeaderElectionTest, ItStopsLeadingWhenTheLeaseIsOver) {
  setLeader(self(), Version{9});
  review();
  service.renewalStatus = [] { return 503; };
  runFor(settings.leaseTtl() + Duration{1});
  review();
  EXPECT_EQ(told, (std::vector<bool>{true, false}));
}

}  // namespace
}  // namespace cherryloft
