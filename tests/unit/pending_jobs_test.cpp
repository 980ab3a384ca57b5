// Tests which jobs are pending and how their order keys are computed.
#include "scheduler/pending_jobs.h"

#include "placement_fixture.h"

namespace cherryloft {
namespace {

class PendingJobsTest : public PlacementFixture {
 protected:
  std::vector<PendingJob> collect(double afterSeconds = 0) {
    auto wait = seconds(afterSeconds);
    return collectPendingJobs(state_, settings_, runtime_.now() + wait,
                              WallTime{runtime_.wall().value + wait.count()});
  }
};

TEST_F(PendingJobsTest, CollectsOnlyOpenJobsWithWaitingTasksPastTheirBackoff) {
  auto& waiting = addJob("waiting", 1);
  addJob("cancelled", 1).cancelRequested = true;
  addJob("later", 1).notBefore = runtime_.now() + Duration{1000};
  runTask(addJob("placed", 1), addMachine("machine"), 0);
  auto pending = collect();
  ASSERT_EQ(pending.size(), 1U);
  EXPECT_EQ(pending.front().job, &waiting);
}

TEST_F(PendingJobsTest, ATeamsGuaranteeGoesToItsOldestJobs) {
  const auto guarantee = settings_.team(TeamId{"team-0"})->cores;
  ASSERT_GT(guarantee, 0);
  auto coresOf = [&](double cores) { return [=](JobSpec& spec) { spec.each.cores = cores; }; };
  auto& first = addJob("job-1", 1, coresOf(guarantee));
  addJob("job-2", 1, coresOf(1));
  for (const auto& pending : collect()) EXPECT_EQ(pending.orderKey.withinGuarantee, pending.job == &first);
}

TEST_F(PendingJobsTest, AFirstStartIsOverdueAfterNinetySeconds) {
  addJob("job", 1);
  EXPECT_FALSE(collect(90).front().orderKey.firstStartOverdue);
  EXPECT_TRUE(collect(91).front().orderKey.firstStartOverdue);
}

TEST_F(PendingJobsTest, ADeadlineIsFeasibleWhileHalfOfTheExpectedRunFits) {
  addJob("job", 1, [](JobSpec& spec) { spec.deadlineSeconds = 100; });
  EXPECT_TRUE(collect(70).front().orderKey.objectiveFeasible);
  EXPECT_FALSE(collect(71).front().orderKey.objectiveFeasible);
  EXPECT_DOUBLE_EQ(*collect(71).front().orderKey.slackSeconds, -31);
}

}  // namespace
}  // namespace cherryloft
