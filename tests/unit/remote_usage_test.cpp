// Tracking of the resources that tasks of a shard's teams may use on other shards (invariant 17).
#include "scheduler/remote_usage.h"

#include <gtest/gtest.h>

#include "scheduler/shard_state.h"
#include "world/world.h"

namespace cherryloft {
namespace {

constexpr Duration kCancelPeriod{60'000};
constexpr Duration kPeriodAndMargin{62'000};
const JobId kJob{"wk-1"};
const TeamId kTeam{"team-0"};
const ShardId kOwnShard{0};
const ShardId kOtherShard{1};
const Time kNow{Duration{100'000}};

class RemoteUsageTest : public ::testing::Test {
 protected:
  RemoteUsageTest() {
    spec_.id = kJob;
    spec_.team = kTeam;
    spec_.each = {2, 1, 0.5};
  }

  double coresInUse() const { return state_.teamUsage(kTeam).cores; }
  // Sets what the cluster view shows for the job.
  JobEntry& show(JobStatus status, ShardId shard) {
    auto& entry = view_.jobs[kJob];
    entry.status = status;
    entry.shard = shard;
    return entry;
  }
  std::size_t release(Time now = kNow) { return usage_.releaseEnded(view_, kOwnShard, now); }

  Settings settings_ = parseSettings(world::Deployment{}.settingsJson(0), {});
  ShardState state_{settings_};
  ClusterView view_;
  JobSpec spec_;
  RemoteUsage usage_{state_, kCancelPeriod};
};

TEST_F(RemoteUsageTest, ReservationCountsTowardTeamUsage) {
  usage_.reserve(kJob, spec_, 3);
  EXPECT_TRUE(usage_.tracks(kJob));
  EXPECT_DOUBLE_EQ(coresInUse(), 6);
}

TEST_F(RemoteUsageTest, DroppedReservationIsNoLongerCounted) {
  usage_.reserve(kJob, spec_, 3);
  usage_.dropReservation(kJob);
  EXPECT_FALSE(usage_.tracks(kJob));
  EXPECT_DOUBLE_EQ(coresInUse(), 0);
}

// Until the view includes the commit of the migration, it shows the job in this shard. If the reservation
// were released then, the team could exceed its quota while the other shard starts the job's tasks.
TEST_F(RemoteUsageTest, ReservationIsNotReleasedBeforeMigrationIsCommitted) {
  usage_.reserve(kJob, spec_, 3);
  show(JobStatus::Open, kOwnShard);
  EXPECT_EQ(release(), 0U);
  EXPECT_DOUBLE_EQ(coresInUse(), 6);
}

TEST_F(RemoteUsageTest, OpenJobOnOtherShardStaysCounted) {
  usage_.reserve(kJob, spec_, 3);
  usage_.markCommitted(kJob);
  show(JobStatus::Open, kOtherShard);
  EXPECT_EQ(release(), 0U);
}

TEST_F(RemoteUsageTest, DoneJobIsReleased) {
  usage_.countCommitted(kJob, spec_, 3);
  show(JobStatus::Done, kOtherShard);
  EXPECT_EQ(release(), 1U);
  EXPECT_FALSE(usage_.tracks(kJob));
  EXPECT_DOUBLE_EQ(coresInUse(), 0);
}

TEST_F(RemoteUsageTest, JobThatReturnedToOwnShardIsReleased) {
  usage_.countCommitted(kJob, spec_, 3);
  show(JobStatus::Open, kOwnShard);
  EXPECT_EQ(release(), 1U);
}

TEST_F(RemoteUsageTest, CancelledJobIsReleasedOnceItsOwnerRecordsThatNoTaskIsLeft) {
  usage_.countCommitted(kJob, spec_, 3);
  show(JobStatus::Cancelled, kOtherShard).maxConcurrent = 3;
  EXPECT_EQ(release(), 0U);
  show(JobStatus::Cancelled, kOtherShard).maxConcurrent = 0;
  EXPECT_EQ(release(), 1U);
}

TEST_F(RemoteUsageTest, CancelledJobIsReleasedOnlyAfterCancelPeriodPlusMargin) {
  usage_.countCommitted(kJob, spec_, 3);
  show(JobStatus::Cancelled, kOtherShard);
  EXPECT_EQ(release(kNow), 0U);
  EXPECT_EQ(release(kNow + kPeriodAndMargin), 0U);
  EXPECT_EQ(release(kNow + kPeriodAndMargin + Duration{1}), 1U);
}

TEST_F(RemoteUsageTest, UsageAlreadyInShardStateIsNotCountedTwice) {
  state_.addRemoteUsage(kTeam, spec_.each * 3);
  usage_.trackAlreadyCounted(kJob, spec_, 3);
  EXPECT_DOUBLE_EQ(coresInUse(), 6);
  show(JobStatus::Done, kOwnShard);
  EXPECT_EQ(release(), 1U);
  EXPECT_DOUBLE_EQ(coresInUse(), 0);
}

}  // namespace
}  // namespace cherryloft
