// Tasks of another shard's job that a delegate places and returns (invariant 18).
#include "scheduler/delegated_tasks.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

#include "scheduler/shard_state.h"
#include "world/world.h"

namespace cherryloft {
namespace {

const ShardId kOwner{0};
const ShardId kDelegate{1};
const JobId kJob{"wk-1"};
constexpr Duration kReturnUnplacedAfter{30'000};
const Time kNow{Duration{100'000}};
using Tasks = std::vector<std::uint32_t>;

class DelegatedTasksTest : public ::testing::Test {
 protected:
  DelegatedTasksTest() {
    auto spec = std::make_shared<JobSpec>();
    spec->id = kJob;
    spec->team = TeamId{"team-0"};
    spec->tasks = 4;
    spec->each = {2, 0, 1};
    auto& entry = view_.jobs[kJob];
    entry.shard = kOwner;
    entry.tasks = 4;
    entry.version = Version{7};
    entry.spec = spec;
    entry.delegations = {{kDelegate, {}, {1, 2}}};
    state_.addJob(kJob, entry, &entry.delegations.front()).since = kNow;
    delegated_.add(kJob);
  }

  std::vector<DelegationReturn> addReturns(Time now) {
    TransactionBuilder transaction(settings_.txnOps);
    return delegated_.addReturns(transaction, now);
  }

  Settings settings_ = parseSettings(world::Deployment{}.settingsJson(1), {});
  ShardState state_{settings_};
  ClusterView view_;
  DelegatedTasks delegated_{
      settings_, view_, state_,
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>())};
};

TEST_F(DelegatedTasksTest, WaitingTasksAreKeptUntilTheTimeout) {
  EXPECT_FALSE(delegated_.anyReturnable(kNow + kReturnUnplacedAfter - Duration{1}));
}

TEST_F(DelegatedTasksTest, TasksWithoutCapacityAreReturnedAfterTheTimeout) {
  EXPECT_TRUE(delegated_.anyReturnable(kNow + kReturnUnplacedAfter));
  auto returns = addReturns(kNow + kReturnUnplacedAfter);
  ASSERT_EQ(returns.size(), 1U);
  EXPECT_EQ(returns.front().tasks, (Tasks{1, 2}));
  EXPECT_TRUE(returns.front().remaining.tasks.empty());
}

TEST_F(DelegatedTasksTest, RecalledTasksAreReturnedAtOnce) {
  state_.job(kJob)->recalling = true;
  EXPECT_TRUE(delegated_.anyReturnable(kNow));
}

// A write based on the outdated record would undo later writes by others.
TEST_F(DelegatedTasksTest, NothingIsReturnedWhileTheViewLags) {
  view_.jobs[kJob].version = Version{6};
  EXPECT_TRUE(addReturns(kNow + kReturnUnplacedAfter).empty());
}

TEST_F(DelegatedTasksTest, NothingIsLeftOfACompletelyReturnedJob) {
  auto returns = addReturns(kNow + kReturnUnplacedAfter);
  EXPECT_TRUE(delegated_.committed(returns.front()));
  EXPECT_TRUE(delegated_.none());
}

}  // namespace
}  // namespace cherryloft
