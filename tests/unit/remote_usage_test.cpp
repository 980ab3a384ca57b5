// The ledger of what tasks of a shard's teams may take on other shards (invariant 17).
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

  double coresInUse() const { return state_.teamUse(kTeam).cores; }
  // What the cluster view shows of the job.
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

TEST_F(RemoteUsageTest, AReservationCountsTowardTheTeamsUse) {
  usage_.reserve(kJob, spec_, 3);
  EXPECT_TRUE(usage_.counts(kJob));
  EXPECT_DOUBLE_EQ(coresInUse(), 6);
}

TEST_F(RemoteUsageTest, ADroppedReservationIsNoLongerInUse) {
  usage_.reserve(kJob, spec_, 3);
  usage_.dropReservation(kJob);
  EXPECT_FALSE(usage_.counts(kJob));
  EXPECT_DOUBLE_EQ(coresInUse(), 0);
}

// The view still shows the job in this shard until the migration's commit is seen: it would be released, and
// the team could exceed its quota, while the other shard starts the job's tasks.
TEST_F(RemoteUsageTest, AReservationIsNotReleasedBeforeItsMigrationIsCommitted) {
  usage_.reserve(kJob, spec_, 3);
  show(JobStatus::Open, kOwnShard);
  EXPECT_EQ(release(), 0U);
  EXPECT_DOUBLE_EQ(coresInUse(), 6);
}

TEST_F(RemoteUsageTest, AnOpenJobElsewhereStaysCounted) {
  usage_.reserve(kJob, spec_, 3);
  usage_.commit(kJob);
  show(JobStatus::Open, kOtherShard);
  EXPECT_EQ(release(), 0U);
}

TEST_F(RemoteUsageTest, ADoneJobIsReleased) {
  usage_.countCommitted(kJob, spec_, 3);
  show(JobStatus::Done, kOtherShard);
  EXPECT_EQ(release(), 1U);
  EXPECT_FALSE(usage_.counts(kJob));
  EXPECT_DOUBLE_EQ(coresInUse(), 0);
}

TEST_F(RemoteUsageTest, AJobThatCameBackIsReleased) {
  usage_.countCommitted(kJob, spec_, 3);
  show(JobStatus::Open, kOwnShard);
  EXPECT_EQ(release(), 1U);
}

TEST_F(RemoteUsageTest, ACancelledJobIsReleasedOnceItsOwnerSaysThatNothingIsLeft) {
  usage_.countCommitted(kJob, spec_, 3);
  show(JobStatus::Cancelled, kOtherShard).maxConcurrent = 3;
  EXPECT_EQ(release(), 0U);
  show(JobStatus::Cancelled, kOtherShard).maxConcurrent = 0;
  EXPECT_EQ(release(), 1U);
}

TEST_F(RemoteUsageTest, ACancelledJobIsReleasedOnlyAfterTheCancelPeriodAndItsMargin) {
  usage_.countCommitted(kJob, spec_, 3);
  show(JobStatus::Cancelled, kOtherShard);
  EXPECT_EQ(release(kNow), 0U);
  EXPECT_EQ(release(kNow + kPeriodAndMargin), 0U);
  EXPECT_EQ(release(kNow + kPeriodAndMargin + Duration{1}), 1U);
}

TEST_F(RemoteUsageTest, WhatTheShardStateCountsAlreadyIsNotCountedTwice) {
  state_.countRemoteUsage(kTeam, spec_.each * 3);
  usage_.takeOver(kJob, spec_, 3);
  EXPECT_DOUBLE_EQ(coresInUse(), 6);
  show(JobStatus::Done, kOwnShard);
  EXPECT_EQ(release(), 1U);
  EXPECT_DOUBLE_EQ(coresInUse(), 0);
}

}  // namespace
}  // namespace cherryloft
