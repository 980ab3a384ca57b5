// Tasks that the owner of a job delegates to other shards, and their return (invariant 18).
#include "scheduler/task_delegation.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

#include "scheduler/shard_state.h"
#include "world/world.h"

namespace cherryloft {
namespace {

const ShardId kOwner{0};
const ShardId kDelegate{1};
const JobId kJob{"wk-1"};
const TeamId kTeam{"team-0"};
constexpr std::uint32_t kTasks = 4;
using Tasks = std::vector<std::uint32_t>;

class TaskDelegationTest : public ::testing::Test {
 protected:
  TaskDelegationTest() {
    auto spec = std::make_shared<JobSpec>();
    spec->id = kJob;
    spec->team = kTeam;
    spec->tasks = kTasks;
    spec->each = {2, 0, 1};
    auto& entry = view_.jobs[kJob];
    entry.shard = kOwner;
    entry.tasks = kTasks;
    entry.version = Version{7};
    entry.spec = spec;
    state_.addJob(kJob, entry);
  }

  Job& job() { return *state_.job(kJob); }
  JobEntry& shown() { return view_.jobs[kJob]; }
  Tasks waiting() { return {job().waiting.begin(), job().waiting.end()}; }
  std::uint32_t plan(std::uint32_t offered, std::uint32_t maxTasks = kTasks) {
    return delegation_.plan(job(), {kDelegate, Zone{"a"}, offered, Time{}}, maxTasks);
  }
  // Returns how many records were added to the transaction.
  std::size_t addPlanned() {
    TransactionBuilder transaction(settings_.txnOps);
    delegation_.addPlanned(transaction);
    return transaction.writes();
  }
  // Delegates the first tasks; the view shows the commit.
  void delegateTasks(std::uint32_t count) {
    plan(count);
    EXPECT_EQ(addPlanned(), 1U);
    shown().version = Version{8};
    shown().delegations = job().delegations;
    EXPECT_FALSE(delegation_.applyReturns(job(), shown())->any());
  }

  Settings settings_ = parseSettings(world::Deployment{}.settingsJson(0), {});
  ShardState state_{settings_};
  ClusterView view_;
  std::size_t allowedInZone_ = kTasks;
  TaskDelegation delegation_{
      settings_,
      view_,
      state_,
      kOwner,
      [this](const Job& job, const Zone&) { return job.remote < allowedInZone_; },
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>())};
};

TEST_F(TaskDelegationTest, PlannedTasksCountAsPlacedAndNoLongerWait) {
  EXPECT_EQ(plan(3), 3U);
  EXPECT_EQ(waiting(), Tasks{3});
  EXPECT_DOUBLE_EQ(state_.teamUsage(kTeam).cores, 6);
}

TEST_F(TaskDelegationTest, PlansNoMoreThanMaxTasksAndTheZoneAllows) {
  EXPECT_EQ(plan(4, 2), 2U);
  allowedInZone_ = 3;
  EXPECT_EQ(plan(4), 1U);
}

TEST_F(TaskDelegationTest, TasksOfDroppedPlanAreRequeuedInOrder) {
  plan(2);
  delegation_.dropPlan(job());
  EXPECT_EQ(waiting(), (Tasks{0, 1, 2, 3}));
  EXPECT_FALSE(delegation_.planned(kJob));
  EXPECT_DOUBLE_EQ(state_.teamUsage(kTeam).cores, 0);
}

// A write based on the outdated record would undo later writes by a delegate.
TEST_F(TaskDelegationTest, NothingIsWrittenWhileTheViewLags) {
  plan(2);
  shown().version = Version{6};
  EXPECT_EQ(addPlanned(), 0U);
  EXPECT_EQ(waiting(), (Tasks{0, 1, 2, 3}));
}

TEST_F(TaskDelegationTest, RecallThatCannotBeWrittenStaysPlanned) {
  delegation_.planRecall(job());
  shown().version = Version{6};
  EXPECT_EQ(addPlanned(), 0U);
  EXPECT_TRUE(delegation_.planned(kJob));
}

TEST_F(TaskDelegationTest, ReturnedTasksAreDoneOrRequeued) {
  delegateTasks(3);
  shown().version = Version{9};
  shown().delegations = {{kDelegate, Zone{"a"}, {2}}};
  shown().doneRemotely = {0};
  auto returned = delegation_.applyReturns(job(), shown());
  ASSERT_TRUE(returned);
  EXPECT_EQ(returned->done, Tasks{0});
  EXPECT_EQ(returned->unfinished, Tasks{1});
  EXPECT_EQ(job().tasks[2].state, TaskState::Remote);
}

// The watch may skip the version that delegated the tasks, and the answer to its commit may come later still.
TEST_F(TaskDelegationTest, TasksReturnedBeforeTheirDelegationWasSeenAreRequeued) {
  plan(2);
  ASSERT_EQ(addPlanned(), 1U);
  shown().version = Version{9};
  auto returned = delegation_.applyReturns(job(), shown());
  ASSERT_TRUE(returned);
  EXPECT_EQ(returned->unfinished, (Tasks{0, 1}));
  EXPECT_EQ(job().remote, 0U);
}

TEST_F(TaskDelegationTest, RecordThatIsNotNewerChangesNothing) {
  delegateTasks(3);
  EXPECT_FALSE(delegation_.applyReturns(job(), shown()));
  EXPECT_EQ(job().remote, 3U);
}

}  // namespace
}  // namespace cherryloft
