// Contents of the load reports that a shard sends to the leader.
#include "scheduler/load_reporter.h"

#include <gtest/gtest.h>

#include <set>

#include "scheduler/placement_constraints.h"
#include "unit/pending_calls_runtime.h"
#include "world/world.h"

namespace cherryloft {
namespace {

constexpr double kCoresOfMachine = 16;

class LoadReporterTest : public ::testing::Test {
 protected:
  JobEntry jobEntry(const std::string& id, std::uint32_t tasks, double cores) const {
    auto spec = std::make_shared<JobSpec>();
    spec->id = JobId{id};
    spec->team = settings_.teams.at(0).name;
    spec->tasks = tasks;
    spec->each = {cores, 0, cores};
    spec->expectedRunSeconds = 30;
    JobEntry entry;
    entry.tasks = tasks;
    entry.spec = std::move(spec);
    return entry;
  }
  Machine& addMachine(const std::string& id) {
    const auto& type = catalog_.at(0);
    MachineEntry entry;
    entry.record.type = "m";
    entry.record.zone = settings_.zones.at(0);
    entry.record.address = "10.1.0.2:9000";
    auto& machine = state_.addMachine(MachineId{id}, entry, &type, runtime_.now());
    machine.registered = true;
    state_.reindex(machine);
    return machine;
  }
  const mesh::ShardLoad& report() {
    reporter_.reportIfDue(runtime_.now());
    return sent_.back();
  }
  void wait(Duration duration) { runtime_.clock.run(runtime_.clock.now() + duration.count()); }

  Settings settings_ = parseSettings(world::Deployment{}.settingsJson(0), {});
  Catalog catalog_{{"m", {kCoresOfMachine, 0, 100}, 50, 1, 1, 0.4, 5, {settings_.zones.at(0)}}};
  PendingCallsRuntime runtime_;
  ShardState state_{settings_};
  FailureAttribution failures_{Duration{3'000}};
  std::vector<mesh::ShardLoad> sent_;
  PlacementConstraints constraints_{settings_, state_, failures_, runtime_};
  LoadReporter reporter_{
      settings_,
      catalog_,
      runtime_,
      ShardTakeover{ShardId{2}, Epoch{7}, Version{70}},
      state_,
      failures_,
      {[](const Job&) { return false; },
       [this](const Job& job, const Zone& zone) { return constraints_.tasksAllowedIn(job, zone); },
       [this](const Job& job, const Machine& machine) { return constraints_.allowsMachine(job, machine); }},
      {[](const Machine&) { return true; }, [this](const mesh::ShardLoad& load) { sent_.push_back(load); }}};
};

TEST_F(LoadReporterTest, ReportsOncePerInterval) {
  reporter_.reportIfDue(runtime_.now());
  wait(Duration{500});
  reporter_.reportIfDue(runtime_.now());
  EXPECT_EQ(sent_.size(), 1U);
  wait(Duration{500});
  reporter_.reportIfDue(runtime_.now());
  EXPECT_EQ(sent_.size(), 2U);
}

TEST_F(LoadReporterTest, ContainsShardAndOwnershipEpoch) {
  EXPECT_EQ(report().shard, 2U);
  EXPECT_EQ(report().epoch, 7U);
}

TEST_F(LoadReporterTest, WaitingTasksOfOpenJobCountAsDemand) {
  state_.addJob(JobId{"a"}, jobEntry("a", 3, 2));
  EXPECT_EQ(report().onDemandOnly.waiting, 6);
  EXPECT_EQ(report().onDemandOnly.largestTask, 2);
  EXPECT_EQ(report().onDemandOnly.expectedRunS, 30);
}

TEST_F(LoadReporterTest, JobThatNeverSucceededCountsOneTaskAsDemand) {
  state_.addJob(JobId{"a"}, jobEntry("a", 3, 2));
  for (const auto* machine : {"m-1", "m-2", "m-3"})
    failures_.recordFailure({JobId{"a"}, 0}, MachineId{machine}, Duration{}, 10, runtime_.now());
  EXPECT_EQ(report().onDemandOnly.waiting, 2);
}

TEST_F(LoadReporterTest, ArrivedWorkIsDroppedAfterItsWindow) {
  reporter_.recordArrivedWork(runtime_.now(), 240, true);
  EXPECT_EQ(report().spotAllowed.arriving, 2);
  EXPECT_EQ(report().spotAllowed.largestJob, 240);
  wait(Duration{121'000});
  EXPECT_EQ(report().spotAllowed.arriving, 0);
}

TEST_F(LoadReporterTest, CompletedWorkIsDroppedAfterItsWindow) {
  reporter_.recordCompletedWork(runtime_.now(), 40, false);
  EXPECT_EQ(report().onDemandOnly.departing, 2);
  wait(Duration{21'000});
  EXPECT_EQ(report().onDemandOnly.departing, 0);
}

TEST_F(LoadReporterTest, ReportsOnlyTheLeastLoadedBusyMachines) {
  auto& job = state_.addJob(JobId{"a"}, jobEntry("a", 40, 1));
  std::uint32_t task = 0;
  for (int number = 0; number < 17; ++number) {
    auto& machine = addMachine("m-" + std::to_string(number));
    state_.place(job, task++, machine, Attempt{1}, runtime_.now());
    if (number == 3) state_.place(job, task++, machine, Attempt{1}, runtime_.now());
  }
  const auto& reported = report().machines;
  EXPECT_EQ(reported.size(), 16U);
  EXPECT_TRUE(
      std::none_of(reported.begin(), reported.end(), [](const auto& load) { return load.machine == "m-3"; }));
}

TEST_F(LoadReporterTest, IdleMachineIsReportedWithItsIdleTime) {
  addMachine("m-1");
  wait(Duration{5'000});
  ASSERT_EQ(report().machines.size(), 1U);
  EXPECT_EQ(report().machines[0].idleS, 5);
  EXPECT_EQ(report().machines[0].freeCores, kCoresOfMachine);
  EXPECT_FALSE(report().machines[0].pinned);
}

// A leader of an earlier version reads the demands only: they describe a task that exists.
TEST_F(LoadReporterTest, DemandsForAnEarlierLeaderDescribeTheTasksThatLackCapacityInTurn) {
  auto addJob = [&](const std::string& id, const Resources& each) {
    auto entry = jobEntry(id, 1, 1);
    auto spec = std::make_shared<JobSpec>(*entry.spec);
    spec->each = each;
    entry.spec = spec;
    state_.addJob(JobId{id}, entry);
  };
  addJob("memory", {1, 0, 12});
  addJob("large", {12, 0, 12});
  std::set<std::pair<double, double>> described;  // cores, memory of one task
  for (int second = 0; second < 2; ++second) {
    const auto& demand = report().onDemandOnly;
    EXPECT_FALSE(demand.stuckZones.empty());
    described.insert({demand.largestTask, demand.largestTask * demand.ramPerCore});
    wait(Duration{1'000});
  }
  EXPECT_EQ(described, (std::set<std::pair<double, double>>{{1, 12}, {12, 12}}));
}

// A report is sent every second by controllers with a tenth of a core: its size must not grow with the jobs.
TEST_F(LoadReporterTest, TheSizeOfAReportIsBoundedWhateverTheNumberOfJobs) {
  constexpr std::size_t kMaxBytes = 65'536;
  for (int number = 0; number < 3000; ++number)
    state_.addJob(JobId{"job-" + std::to_string(number)},
                  jobEntry("job-" + std::to_string(number), 5, 0.001 * (number + 1)));
  EXPECT_LT(mesh::encode({0, 1, report()}).size(), kMaxBytes);
}

TEST_F(LoadReporterTest, WorkAsAWholeIsDescribedByItsMeanMemory) {
  state_.addJob(JobId{"a"}, jobEntry("a", 3, 2));
  const auto& details = report().details;
  ASSERT_TRUE(details);
  EXPECT_EQ(details->onDemandOnly.largestTask, 2);
  EXPECT_EQ(details->onDemandOnly.ramPerCore, 1);
  EXPECT_EQ(details->onDemandOnly.waiting, 6);
  EXPECT_EQ(details->waiting.size(), 1U);
}

TEST_F(LoadReporterTest, OnlyAllowedZoneWithoutMachinesIsReportedAsStuck) {
  auto entry = jobEntry("a", 1, 1);
  auto spec = std::make_shared<JobSpec>(*entry.spec);
  spec->zone = settings_.zones.at(0);
  entry.spec = spec;
  state_.addJob(JobId{"a"}, entry);
  EXPECT_FALSE(report().onDemandOnly.stuckZones.empty());
  addMachine("m-1");
  wait(Duration{1'000});
  EXPECT_TRUE(report().onDemandOnly.stuckZones.empty());
}

}  // namespace
}  // namespace cherryloft
