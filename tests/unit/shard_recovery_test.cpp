// Tests how a new owner restores its shard from the placement pages of former owners.
#include "scheduler/shard_recovery.h"

#include <gtest/gtest.h>

#include "unit/pending_calls_runtime.h"
#include "world/world.h"

namespace cherryloft {
namespace {

const JobId kJob{"job-1"};
const MachineId kMachine{"m-1"};
const MachineId kOtherMachine{"m-2"};

class ShardRecoveryTest : public ::testing::Test {
 protected:
  JobEntry jobEntry(JobStatus status) const {
    auto spec = std::make_shared<JobSpec>();
    spec->id = kJob;
    spec->team = settings_.teams.at(0).name;
    spec->tasks = 4;
    spec->each = {1, 0, 1};
    JobEntry entry;
    entry.status = status;
    entry.shard = kShard;
    entry.tasks = 4;
    entry.spec = std::move(spec);
    return entry;
  }
  void addMachine(const MachineId& id) {
    MachineType type{"m", {16, 0, 100}, 50, 1, 1, 0.4, 5, {settings_.zones.at(0)}};
    MachineEntry entry;
    entry.record.type = "m";
    entry.record.zone = settings_.zones.at(0);
    state_.addMachine(id, entry, &type, runtime_.now());
  }
  void addPage(const std::string& number, const wire::JobPlacements& placements) {
    wire::PlacementPageRecord page;
    page.jobs[kJob] = placements;
    pages_.entries.push_back({"run/2/" + number, wire::encodePlacementPage(page), Version{40}});
  }

  static constexpr ShardId kShard{2};
  Settings settings_ = parseSettings(world::Deployment{}.settingsJson(0), {});
  PendingCallsRuntime runtime_;
  KeyValueStore store_{settings_, runtime_, silentLog(), 1};
  ClusterView view_;
  ShardState state_{settings_};
  ShardRecovery recovery_{runtime_, silentLog(), store_, view_, {kShard, Epoch{7}, Version{70}}, state_};
  ListResult pages_{ListResult::Outcome::Complete, {}, {}};
};

TEST_F(ShardRecoveryTest, DoneTasksStayDone) {
  auto& job = state_.addJob(kJob, jobEntry(JobStatus::Open));
  addPage("0", {{1, 3}, {}});
  recovery_.restorePlacements(pages_);
  EXPECT_EQ(job.done, 2U);
  EXPECT_TRUE(job.tasks[3].doneCommitted);
  EXPECT_EQ(job.tasks[0].state, TaskState::Waiting);
}

TEST_F(ShardRecoveryTest, APlacedTaskIsCommittedOnItsMachine) {
  auto& job = state_.addJob(kJob, jobEntry(JobStatus::Open));
  addMachine(kMachine);
  addPage("0", {{}, {{2, Attempt{5}, kMachine}}});
  recovery_.restorePlacements(pages_);
  const auto& placement = state_.machine(kMachine)->placements.at({kJob, 2});
  EXPECT_TRUE(placement.committed);
  EXPECT_TRUE(placement.restored);
  EXPECT_TRUE(placement.desired);
  EXPECT_EQ(placement.attempt, Attempt{5});
  EXPECT_EQ(job.placed, 1U);
}

TEST_F(ShardRecoveryTest, TheLatestOfSeveralAttemptsIsRestored) {
  auto& job = state_.addJob(kJob, jobEntry(JobStatus::Open));
  addMachine(kMachine);
  addMachine(kOtherMachine);
  addPage("0", {{}, {{2, Attempt{6}, kOtherMachine}}});
  addPage("1", {{}, {{2, Attempt{5}, kMachine}}});
  recovery_.restorePlacements(pages_);
  EXPECT_EQ(job.tasks[2].machine, state_.machine(kOtherMachine));
  EXPECT_EQ(job.tasks[2].page, 0U);
  EXPECT_TRUE(state_.machine(kMachine)->placements.empty());
}

TEST_F(ShardRecoveryTest, ATaskOnAMachineWithoutARecordWaitsAgain) {
  auto& job = state_.addJob(kJob, jobEntry(JobStatus::Open));
  addPage("0", {{}, {{2, Attempt{5}, kMachine}}});
  recovery_.restorePlacements(pages_);
  EXPECT_EQ(job.tasks[2].state, TaskState::Waiting);
}

TEST_F(ShardRecoveryTest, TasksOfACancelledJobAreRestoredAndStopped) {
  view_.jobs[kJob] = jobEntry(JobStatus::Cancelled);
  addMachine(kMachine);
  addPage("0", {{}, {{2, Attempt{5}, kMachine}}});
  recovery_.restorePlacements(pages_);
  ASSERT_NE(state_.job(kJob), nullptr);
  EXPECT_FALSE(state_.machine(kMachine)->placements.at({kJob, 2}).desired);
}

TEST_F(ShardRecoveryTest, AKeyOfAnotherLayoutIsSkipped) {
  auto& job = state_.addJob(kJob, jobEntry(JobStatus::Open));
  pages_.entries.push_back({"run/2/first", "{}", Version{40}});
  addPage("0", {{1}, {}});
  recovery_.restorePlacements(pages_);
  EXPECT_EQ(job.done, 1U);
  EXPECT_EQ(state_.pages().count(), 1U);
}

}  // namespace
}  // namespace cherryloft
