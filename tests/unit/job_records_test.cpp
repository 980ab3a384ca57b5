// Tests the job records that a shard writes (invariants 17 and 18).
#include "scheduler/job_records.h"

#include <gtest/gtest.h>

#include "scheduler/shard_state.h"

namespace cherryloft {
namespace {

const ShardId kOwner{0};
const ShardId kDelegate{1};
const ShardId kOtherDelegate{2};
constexpr std::uint32_t kTasks = 8;

class JobRecords : public ::testing::Test {
 protected:
  JobRecords() {
    auto spec = std::make_shared<JobSpec>();
    spec->id = JobId{"wk-1"};
    spec->tasks = kTasks;
    job_.id = spec->id;
    job_.spec = spec;
    job_.tasks.resize(kTasks);
    entry_.shard = kOwner;
    entry_.tasks = kTasks;
    entry_.spec = spec;
  }
  const Delegation* delegationOf(const wire::JobRecord& record, ShardId shard) {
    return findDelegation(record.delegations, shard);
  }

  Job job_;
  JobEntry entry_;
};

TEST_F(JobRecords, AMigratedJobCarriesItsLimitOfConcurrentTasks) {
  auto record = migratedRecord(job_, {job_.id, kDelegate, 3}, kOwner);
  EXPECT_EQ(record.shard, kDelegate);
  EXPECT_EQ(record.maxConcurrent, 3U);
}

TEST_F(JobRecords, AJobThatMigratesToItsTeamsShardHasNoLimit) {
  EXPECT_FALSE(migratedRecord(job_, {job_.id, kDelegate, 3}, kDelegate).maxConcurrent);
}

TEST_F(JobRecords, ACleanedUpRecordHasNoLimitAndNoDelegations) {
  job_.maxConcurrent = 3;
  job_.delegations = {{kDelegate, {}, {1, 2}}};
  auto record = cleanedUpRecord(job_, kOwner);
  EXPECT_EQ(record.status, JobStatus::Cancelled);
  EXPECT_EQ(record.maxConcurrent, 0U);
  EXPECT_TRUE(record.delegations.empty());
}

TEST_F(JobRecords, ADelegationIsAddedToThoseInTheClusterView) {
  entry_.delegations = {{kDelegate, {}, {1, 2}}};
  auto record = recordAfterDelegation(job_, entry_, kOwner, {job_.id, {{kOtherDelegate, {}, {3}}}});
  ASSERT_TRUE(delegationOf(record, kDelegate));
  ASSERT_TRUE(delegationOf(record, kOtherDelegate));
  EXPECT_FALSE(delegationOf(record, kDelegate)->recalled);
}

TEST_F(JobRecords, ARecallMarksAllDelegations) {
  entry_.delegations = {{kDelegate, {}, {1, 2}}, {kOtherDelegate, {}, {3}}};
  auto record = recordAfterDelegation(job_, entry_, kOwner, {job_.id, {}, true});
  for (const auto& delegation : record.delegations) EXPECT_TRUE(delegation.recalled);
}

// Removing the entry before the task's page is committed would make the next owner start the task a second
// time.
TEST_F(JobRecords, RemoteCompletionsAreKeptUntilTheirPageIsCommitted) {
  entry_.doneRemotely = {1, 2};
  job_.tasks[1].doneCommitted = true;
  job_.tasks[1].page = 0;
  auto record = recordAfterDelegation(job_, entry_, kOwner, {job_.id, {}, true});
  EXPECT_EQ(record.doneRemotely, std::vector<std::uint32_t>{2});
}

TEST_F(JobRecords, AReturnKeepsTheTasksThatTheDelegateStillHas) {
  entry_.delegations = {{kDelegate, {}, {1, 2, 3}}, {kOtherDelegate, {}, {4}}};
  auto record = recordAfterReturn(job_, entry_, {job_.id, {1, 2}, {kDelegate, {}, {3}}});
  ASSERT_TRUE(delegationOf(record, kDelegate));
  EXPECT_EQ(delegationOf(record, kDelegate)->tasks, std::vector<std::uint32_t>{3});
  EXPECT_TRUE(delegationOf(record, kOtherDelegate));
}

TEST_F(JobRecords, AReturnOfAllTasksEndsTheDelegation) {
  entry_.delegations = {{kDelegate, {}, {1, 2}}};
  auto record = recordAfterReturn(job_, entry_, {job_.id, {1, 2}, {kDelegate, {}, {}}});
  EXPECT_TRUE(record.delegations.empty());
}

TEST_F(JobRecords, AReturnAddsCompletedTasksInOrder) {
  entry_.delegations = {{kDelegate, {}, {1, 2, 3}}};
  entry_.doneRemotely = {5};
  job_.tasks[1].state = TaskState::Done;
  job_.tasks[3].state = TaskState::Done;
  auto record = recordAfterReturn(job_, entry_, {job_.id, {1, 2, 3}, {kDelegate, {}, {}}});
  EXPECT_EQ(record.doneRemotely, (std::vector<std::uint32_t>{1, 3, 5}));
}

}  // namespace
}  // namespace cherryloft
