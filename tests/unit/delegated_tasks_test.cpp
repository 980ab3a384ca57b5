// Tasks of another shard's job that a delegate places and gives back (invariant 18).
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
constexpr Duration kReturnsAfter{30'000};
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
      settings_, view_, state_, kDelegate,
      std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>())};
};

TEST_F(DelegatedTasksTest, WaitingTasksAreKeptForAWhile) {
  EXPECT_FALSE(delegated_.anyReturnable(kNow + kReturnsAfter - Duration{1}));
}

TEST_F(DelegatedTasksTest, WhatFoundNoCapacityGoesBack) {
  EXPECT_TRUE(delegated_.anyReturnable(kNow + kReturnsAfter));
  auto returns = addReturns(kNow + kReturnsAfter);
  ASSERT_EQ(returns.size(), 1U);
  EXPECT_EQ(returns.front().tasks, (Tasks{1, 2}));
  EXPECT_TRUE(returns.front().kept.tasks.empty());
}

TEST_F(DelegatedTasksTest, WhatIsAskedBackGoesBackAtOnce) {
  state_.job(kJob)->recalling = true;
  EXPECT_TRUE(delegated_.anyReturnable(kNow));
}

// A write from the outdated record would undo what others have written since.
TEST_F(DelegatedTasksTest, NothingIsGivenBackWhileTheViewLags) {
  view_.jobs[kJob].version = Version{6};
  EXPECT_TRUE(addReturns(kNow + kReturnsAfter).empty());
}

// Were it taken in again, two shards would place its tasks.
TEST_F(DelegatedTasksTest, AJobGivenBackInFullIsNotTakenInFromALaggingView) {
  auto returns = addReturns(kNow + kReturnsAfter);
  EXPECT_TRUE(delegated_.committed(returns.front(), Version{9}));
  EXPECT_TRUE(delegated_.none());
  EXPECT_TRUE(delegated_.returnedSince(kJob, Version{8}));
  EXPECT_FALSE(delegated_.returnedSince(kJob, Version{9}));
}

}  // namespace
}  // namespace cherryloft
