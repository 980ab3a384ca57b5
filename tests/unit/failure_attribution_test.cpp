// Who is to blame for recordFailure tasks: their machine or their job.
#include <gtest/gtest.h>

#include "scheduler/failure_attribution.h"

namespace cherryloft {
namespace {

constexpr Duration kReport{3'000};
constexpr std::size_t kMachines = 10;
const Time kStart{Duration{100'000}};

TaskId task(const std::string& job, std::uint32_t index = 0) { return {JobId{job}, index}; }
MachineId machine(int n) { return MachineId{"host-" + std::to_string(n)}; }

class Failures : public ::testing::Test {
 protected:
  std::optional<Duration> fail(const std::string& job, int on, std::uint32_t index = 0) {
    return history_.recordFailure(task(job, index), machine(on), Duration{500}, kMachines, now_);
  }
  void complete(const std::string& job, int on) { history_.recordCompletion(JobId{job}, machine(on), now_); }
  std::vector<MachineId> faultyMachines(const std::string& job) {
    return history_.faultyMachines(JobId{job}, now_);
  }

  FailureAttribution history_{kReport};
  Time now_ = kStart;
};

// Guards against giving up a machine for jobs with a mistake that have met no other machine yet.
TEST_F(Failures, JobsThatFailedOnOneMachineOnlyBlameNobody) {
  for (int job = 0; job < 20; ++job) fail("bad-" + std::to_string(job), 1);
  EXPECT_TRUE(faultyMachines("bad-0").empty());
}

TEST_F(Failures, JobsThatFailEverywhereBlameNobody) {
  for (int job = 0; job < 5; ++job)
    for (int machine = 0; machine < 4; ++machine) fail("bad-" + std::to_string(job), machine);
  for (int job = 0; job < 5; ++job) EXPECT_TRUE(faultyMachines("bad-" + std::to_string(job)).empty());
}

TEST_F(Failures, TwoJobsThatWorkElsewhereShowAFaultyMachine) {
  fail("a", 1);
  complete("a", 2);
  EXPECT_TRUE(faultyMachines("a").empty());
  fail("b", 1);
  EXPECT_TRUE(faultyMachines("b").empty());
  complete("b", 3);
  EXPECT_EQ(faultyMachines("b"), std::vector<MachineId>{machine(1)});
}

// Guards against never finding a machine that fails one small job after the other.
TEST_F(Failures, BlameOutlastsTheJob) {
  fail("a", 1);
  complete("a", 2);
  history_.forget(JobId{"a"});
  fail("b", 1);
  complete("b", 2);
  EXPECT_EQ(faultyMachines("b"), std::vector<MachineId>{machine(1)});
}

TEST_F(Failures, ATaskThatKeepsRunningElsewhereIsContrastEnough) {
  EXPECT_EQ(history_.sustainedRunThreshold(JobId{"a"}), 2 * kReport);
  fail("a", 1);
  fail("b", 1);
  EXPECT_EQ(history_.sustainedRunThreshold(JobId{"a"}), Duration{1'000} + 2 * kReport);
  EXPECT_EQ(history_.unattributedJobs().size(), 2U);
  history_.recordSustainedRun(JobId{"a"}, machine(2), now_);
  history_.recordSustainedRun(JobId{"b"}, machine(2), now_);
  EXPECT_EQ(faultyMachines("a"), std::vector<MachineId>{machine(1)});
  EXPECT_TRUE(history_.unattributedJobs().empty());
}

// Guards against giving up one machine after the other for a single task that can't work.
TEST_F(Failures, ATaskThatFailsOnSeveralMachinesIsToBlameItself) {
  for (const std::string job : {"a", "b"}) {
    complete(job, 9);
    for (int machine = 0; machine < 3; ++machine) fail(job, machine, 7);
  }
  EXPECT_TRUE(faultyMachines("a").empty());
  EXPECT_TRUE(faultyMachines("b").empty());
}

TEST_F(Failures, AMachineThatCompletesATaskStartsAfresh) {
  fail("a", 1);
  complete("a", 2);
  complete("c", 1);
  fail("b", 1);
  complete("b", 2);
  EXPECT_TRUE(faultyMachines("b").empty());
}

TEST_F(Failures, BlameEnds) {
  fail("a", 1);
  complete("a", 2);
  now_ += Duration{3'600'000};
  fail("b", 1);
  complete("b", 2);
  EXPECT_TRUE(faultyMachines("b").empty());
}

TEST_F(Failures, AJobBacksOffLongerAndLongerAndIsTriedWithOneTask) {
  EXPECT_FALSE(fail("a", 0));
  EXPECT_FALSE(fail("a", 0, 1)) << "tasks that fail together on one machine count once";
  EXPECT_FALSE(fail("a", 1));
  EXPECT_FALSE(history_.isSuspect(JobId{"a"}));
  EXPECT_EQ(fail("a", 2), Duration{1'000});
  EXPECT_TRUE(history_.isSuspect(JobId{"a"}));
  EXPECT_EQ(fail("a", 3), Duration{2'000});
  for (int machine = 4; machine < 9; ++machine) fail("a", machine);
  EXPECT_EQ(fail("a", 9), Duration{60'000});
  history_.recordSustainedRun(JobId{"a"}, machine(9), now_);
  EXPECT_FALSE(history_.isSuspect(JobId{"a"}));
  EXPECT_FALSE(fail("a", 0));
}

// Guards against a faultyMachines machine, which is idle most of the time, being moved to a shard that does
// not know it.
TEST_F(Failures, AMachineThatHasJustFailedIsUnsettled) {
  EXPECT_FALSE(history_.hasUnattributedFailure(machine(1), now_));
  fail("a", 1);
  EXPECT_TRUE(history_.hasUnattributedFailure(machine(1), now_));
  EXPECT_FALSE(history_.hasUnattributedFailure(machine(1), now_ + Duration{16'000}));
  complete("b", 1);
  EXPECT_FALSE(history_.hasUnattributedFailure(machine(1), now_));
}

TEST_F(Failures, AJobKeepsOffAMachineThatFailedItForAWhile) {
  fail("a", 1);
  EXPECT_TRUE(history_.shouldAvoid(JobId{"a"}, machine(1), kMachines, now_));
  EXPECT_FALSE(history_.shouldAvoid(JobId{"a"}, machine(2), kMachines, now_));
  EXPECT_FALSE(history_.shouldAvoid(JobId{"a"}, machine(1), 1, now_)) << "there is no other machine to try";
  now_ += Duration{46'000};
  EXPECT_FALSE(history_.shouldAvoid(JobId{"a"}, machine(1), kMachines, now_));
}

}  // namespace
}  // namespace cherryloft
