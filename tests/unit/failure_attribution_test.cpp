// Attribution of task failures to the machine or to the job.
#include <gtest/gtest.h>

#include "scheduler/failure_attribution.h"

namespace cherryloft {
namespace {

constexpr Duration kReportInterval{3'000};
constexpr std::size_t kMachines = 10;
const Time kStart{Duration{100'000}};

TaskId task(const std::string& job, std::uint32_t index = 0) { return {JobId{job}, index}; }
MachineId machine(int n) { return MachineId{"host-" + std::to_string(n)}; }

class FailureAttributionTest : public ::testing::Test {
 protected:
  std::optional<Duration> fail(const std::string& job, int on, std::uint32_t index = 0) {
    return attribution_.recordFailure(task(job, index), machine(on), Duration{500}, kMachines, now_);
  }
  void complete(const std::string& job, int on) {
    attribution_.recordCompletion(JobId{job}, machine(on), now_);
  }
  std::vector<MachineId> faultyMachines(const std::string& job) {
    return attribution_.faultyMachines(JobId{job}, now_);
  }

  FailureAttribution attribution_{kReportInterval};
  Time now_ = kStart;
};

// Guards against decommissioning a machine because of broken jobs that have not been tried elsewhere yet.
TEST_F(FailureAttributionTest, JobsThatFailedOnOneMachineOnlyAreNotAttributed) {
  for (int job = 0; job < 20; ++job) fail("bad-" + std::to_string(job), 1);
  EXPECT_TRUE(faultyMachines("bad-0").empty());
}

TEST_F(FailureAttributionTest, JobsThatFailEverywhereAreNotAttributedToMachines) {
  for (int job = 0; job < 5; ++job)
    for (int machine = 0; machine < 4; ++machine) fail("bad-" + std::to_string(job), machine);
  for (int job = 0; job < 5; ++job) EXPECT_TRUE(faultyMachines("bad-" + std::to_string(job)).empty());
}

TEST_F(FailureAttributionTest, TwoJobsThatSucceedElsewhereIdentifyFaultyMachine) {
  fail("a", 1);
  complete("a", 2);
  EXPECT_TRUE(faultyMachines("a").empty());
  fail("b", 1);
  EXPECT_TRUE(faultyMachines("b").empty());
  complete("b", 3);
  EXPECT_EQ(faultyMachines("b"), std::vector<MachineId>{machine(1)});
}

// Guards against never detecting a machine that fails one small job after another.
TEST_F(FailureAttributionTest, AttributionOutlivesJob) {
  fail("a", 1);
  complete("a", 2);
  attribution_.forget(JobId{"a"});
  fail("b", 1);
  complete("b", 2);
  EXPECT_EQ(faultyMachines("b"), std::vector<MachineId>{machine(1)});
}

TEST_F(FailureAttributionTest, SustainedRunElsewhereCountsAsSuccess) {
  EXPECT_EQ(attribution_.sustainedRunThreshold(JobId{"a"}), 2 * kReportInterval);
  fail("a", 1);
  fail("b", 1);
  EXPECT_EQ(attribution_.sustainedRunThreshold(JobId{"a"}), Duration{1'000} + 2 * kReportInterval);
  EXPECT_EQ(attribution_.unattributedJobs().size(), 2U);
  attribution_.recordSustainedRun(JobId{"a"}, machine(2), now_);
  attribution_.recordSustainedRun(JobId{"b"}, machine(2), now_);
  EXPECT_EQ(faultyMachines("a"), std::vector<MachineId>{machine(1)});
  EXPECT_TRUE(attribution_.unattributedJobs().empty());
}

// Guards against decommissioning one machine after another because of a single task that always fails.
TEST_F(FailureAttributionTest, TaskThatFailsOnSeveralMachinesIsNotAttributedToThem) {
  for (const std::string job : {"a", "b"}) {
    complete(job, 9);
    for (int machine = 0; machine < 3; ++machine) fail(job, machine, 7);
  }
  EXPECT_TRUE(faultyMachines("a").empty());
  EXPECT_TRUE(faultyMachines("b").empty());
}

TEST_F(FailureAttributionTest, CompletedTaskClearsAttributedFailures) {
  fail("a", 1);
  complete("a", 2);
  complete("c", 1);
  fail("b", 1);
  complete("b", 2);
  EXPECT_TRUE(faultyMachines("b").empty());
}

TEST_F(FailureAttributionTest, AttributionExpires) {
  fail("a", 1);
  complete("a", 2);
  now_ += Duration{3'600'000};
  fail("b", 1);
  complete("b", 2);
  EXPECT_TRUE(faultyMachines("b").empty());
}

TEST_F(FailureAttributionTest, BackoffGrowsExponentiallyAndJobBecomesSuspect) {
  EXPECT_FALSE(fail("a", 0));
  EXPECT_FALSE(fail("a", 0, 1)) << "tasks that fail together on one machine count as one failure";
  EXPECT_FALSE(fail("a", 1));
  EXPECT_FALSE(attribution_.isSuspect(JobId{"a"}));
  EXPECT_EQ(fail("a", 2), Duration{1'000});
  EXPECT_TRUE(attribution_.isSuspect(JobId{"a"}));
  EXPECT_EQ(fail("a", 3), Duration{2'000});
  for (int machine = 4; machine < 9; ++machine) fail("a", machine);
  EXPECT_EQ(fail("a", 9), Duration{60'000});
  attribution_.recordSustainedRun(JobId{"a"}, machine(9), now_);
  EXPECT_FALSE(attribution_.isSuspect(JobId{"a"}));
  EXPECT_FALSE(fail("a", 0));
}

// Guards against moving a faulty machine, which is idle most of the time, to a shard that has no record of
// its failures.
TEST_F(FailureAttributionTest, RecentFailureIsUnattributedUntilTimeoutOrCompletion) {
  EXPECT_FALSE(attribution_.hasUnattributedFailure(machine(1), now_));
  fail("a", 1);
  EXPECT_TRUE(attribution_.hasUnattributedFailure(machine(1), now_));
  EXPECT_FALSE(attribution_.hasUnattributedFailure(machine(1), now_ + Duration{16'000}));
  complete("b", 1);
  EXPECT_FALSE(attribution_.hasUnattributedFailure(machine(1), now_));
}

TEST_F(FailureAttributionTest, JobAvoidsMachineThatFailedItForLimitedTime) {
  fail("a", 1);
  EXPECT_TRUE(attribution_.shouldAvoid(JobId{"a"}, machine(1), kMachines, now_));
  EXPECT_FALSE(attribution_.shouldAvoid(JobId{"a"}, machine(2), kMachines, now_));
  EXPECT_FALSE(attribution_.shouldAvoid(JobId{"a"}, machine(1), 1, now_))
      << "there is no other machine to try";
  now_ += Duration{46'000};
  EXPECT_FALSE(attribution_.shouldAvoid(JobId{"a"}, machine(1), kMachines, now_));
}

}  // namespace
}  // namespace cherryloft
