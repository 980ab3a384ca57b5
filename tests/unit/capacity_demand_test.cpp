// Which waiting tasks a shard reports to the leader, and how many of them lack capacity.
#include "scheduler/capacity_demand.h"

#include <gtest/gtest.h>

#include "scheduler/placement_constraints.h"
#include "unit/pending_calls_runtime.h"
#include "world/world.h"

namespace cherryloft {
namespace {

// Teams have a quota of 200 cores. There is a small machine type, a large one with a small image cache, and
// one with GPUs.
class CapacityDemandTest : public ::testing::Test {
 protected:
  static Settings makeSettings() {
    world::Deployment deployment;
    deployment.zones = {"a", "b"};
    deployment.limit = 200;
    return parseSettings(deployment.settingsJson(0), {});
  }

  Job& addJob(
      const std::string& id, std::uint32_t tasks, const Resources& each,
      const std::function<void(JobSpec&)>& change = [](JobSpec&) {}) {
    auto spec = std::make_shared<JobSpec>();
    spec->id = JobId{id};
    spec->team = TeamId{"team-0"};
    spec->tasks = tasks;
    spec->each = each;
    spec->expectedRunSeconds = 30;
    change(*spec);
    JobEntry entry;
    entry.tasks = tasks;
    entry.submitted = WallTime{++submissions_};
    entry.spec = std::move(spec);
    auto& job = state_.addJob(JobId{id}, entry);
    job.since = runtime_.now();
    return job;
  }
  Machine& addMachine(const std::string& id, const std::string& type, const std::string& zone = "a",
                      bool spot = false) {
    auto& machine = addBootingMachine(id, type, zone, spot);
    machine.registered = true;
    state_.reindex(machine);
    return machine;
  }
  Machine& addBootingMachine(const std::string& id, const std::string& type, const std::string& zone = "a",
                             bool spot = false) {
    MachineEntry entry;
    entry.record.type = type;
    entry.record.zone = Zone{zone};
    entry.record.spot = spot;
    entry.record.phase = wire::MachinePhase::InUse;
    entry.record.since = runtime_.wall();
    return state_.addMachine(MachineId{id}, entry, findType(catalog_, type), runtime_.now());
  }
  void placeOn(Machine& machine, Job& job) {
    auto index = job.waiting.front();
    job.waiting.pop_front();
    state_.place(job, index, machine, Attempt{++attempts_}, runtime_.now());
  }
  std::vector<mesh::WaitingTaskGroup> groups() { return demand_.groups(demand_.waitingJobs()); }
  std::uint32_t totalLacking() {
    std::uint32_t lacking = 0;
    for (const auto& group : groups()) lacking += group.lacking;
    return lacking;
  }
  void wait(double forSeconds) { runtime_.clock.run(runtime_.clock.now() + seconds(forSeconds).count()); }

  Settings settings_ = makeSettings();
  Catalog catalog_{{"small", {8, 0, 16}, 50, 1, 0.48, 0.13, 30, {Zone{"a"}, Zone{"b"}}},
                   {"large", {32, 0, 128}, 20, 1, 2.18, 0.61, 20, {Zone{"a"}, Zone{"b"}}},
                   {"gpu", {16, 2, 64}, 50, 1, 5, 2, 30, {Zone{"b"}}}};
  PendingCallsRuntime runtime_;
  ShardState state_{settings_};
  FailureAttribution failures_{Duration{3'000}};
  PlacementConstraints constraints_{settings_, state_, failures_, runtime_};
  bool avoidSpot_ = false;
  CapacityDemand demand_{
      settings_,
      catalog_,
      runtime_,
      state_,
      failures_,
      {[this](const Job&) { return avoidSpot_; },
       [this](const Job& job, const Zone& zone) { return constraints_.tasksAllowedIn(job, zone); },
       [this](const Job& job, const Machine& machine) { return constraints_.allowsMachine(job, machine); }}};

 private:
  std::int64_t submissions_ = 0;
  std::uint64_t attempts_ = 0;
};

using Types = std::vector<std::string>;

}  // namespace

// Guards against one demand for tasks of different sizes: its maxima describe a task that does not exist.
TEST_F(CapacityDemandTest, TasksOfDifferentSizesAreReportedApart) {
  addJob("memory", 1, {1, 0, 12});
  addJob("large", 1, {12, 0, 12});
  auto reported = groups();
  ASSERT_EQ(reported.size(), 2U);
  EXPECT_EQ(reported[0].types, (Types{"large", "gpu"}));
  EXPECT_EQ(reported[1].types, (Types{"small", "large", "gpu"}));
  EXPECT_EQ(reported[0].lacking, 1U);
  EXPECT_EQ(reported[1].lacking, 1U);
}

TEST_F(CapacityDemandTest, EqualTasksOfSeveralJobsAreOneGroup) {
  addJob("one", 2, {1, 0, 1});
  addJob("two", 3, {1, 0, 1});
  auto reported = groups();
  ASSERT_EQ(reported.size(), 1U);
  EXPECT_EQ(reported[0].waiting, 5U);
}

TEST_F(CapacityDemandTest, TypesAreLimitedByEachResourceAndTheImage) {
  addJob("gpu", 1, {0, 1, 1});
  addJob("memory", 1, {1, 0, 100});
  addJob("image", 1, {1, 0, 1}, [](JobSpec& spec) { spec.imageGb = 40; });
  addJob("typed", 1, {1, 0, 1}, [](JobSpec& spec) { spec.types = Types{"large", "unknown"}; });
  auto reported = groups();
  ASSERT_EQ(reported.size(), 4U);
  EXPECT_EQ(reported[0].types, Types{"gpu"});
  EXPECT_EQ(reported[1].types, Types{"large"});
  EXPECT_EQ(reported[2].types, Types{"large"});
  EXPECT_EQ(reported[3].types, (Types{"small", "gpu"}));
}

TEST_F(CapacityDemandTest, AFreeMachineOfAnotherTypeOrZoneIsNoCapacity) {
  addMachine("m-1", "large", "a");
  addJob("typed", 1, {1, 0, 1}, [](JobSpec& spec) { spec.types = Types{"small"}; });
  addJob("zoned", 1, {1, 0, 1}, [](JobSpec& spec) { spec.zone = Zone{"b"}; });
  EXPECT_EQ(totalLacking(), 2U);
}

TEST_F(CapacityDemandTest, ATaskThatFindsFreeCapacityDoesNotLackIt) {
  addMachine("m-1", "large", "a");
  addJob("one", 20, {1, 0, 1});
  wait(60);
  EXPECT_EQ(totalLacking(), 0U);
}

// Guards against free cores that a task can't use: its memory is in use.
TEST_F(CapacityDemandTest, FreeCoresWithoutMemoryAreNoCapacityOnceTheTaskHasWaited) {
  auto& machine = addMachine("m-1", "small", "a");
  placeOn(machine, addJob("holder", 1, {1, 0, 15}));
  addJob("one", 1, {1, 0, 4});
  EXPECT_EQ(totalLacking(), 0U);
  wait(11);
  EXPECT_EQ(totalLacking(), 1U);
}

TEST_F(CapacityDemandTest, TasksAreNotAssignedToTheSameCapacityTwice) {
  addMachine("m-1", "small", "a");
  addJob("one", 1, {5, 0, 1});
  addJob("two", 1, {6, 0, 1});
  wait(11);
  EXPECT_EQ(totalLacking(), 1U);
}

// Guards against renting on-demand machines again and again: in the report the older work that may also use
// spot machines took each of them.
TEST_F(CapacityDemandTest, CapacityIsAssignedToTasksWithFewerChoicesFirst) {
  addMachine("m-1", "small", "a");
  addJob("spot", 8, {1, 0, 1}, [](JobSpec& spec) { spec.spotAllowed = true; });
  addJob("service", 8, {1, 0, 1});
  wait(11);
  auto reported = groups();
  ASSERT_EQ(reported.size(), 2U);
  EXPECT_FALSE(reported[0].spotAllowed);
  EXPECT_EQ(reported[0].lacking, 0U);
}

// Guards against renting for machines that have just booted: their address is recorded before they are heard
// from.
TEST_F(CapacityDemandTest, AMachineThatBootedAndWasNotHeardFromIsCapacity) {
  auto& machine = addBootingMachine("m-1", "small", "a");
  machine.known.record.address = "10.1.0.2:9000";
  addJob("one", 1, {1, 0, 1});
  wait(11);
  EXPECT_EQ(totalLacking(), 0U);
}

TEST_F(CapacityDemandTest, ADrainingOrUnheardMachineIsNoCapacity) {
  addMachine("m-1", "small", "a").draining = true;
  auto& unheard = addMachine("m-2", "small", "a");
  unheard.cordoned = true;
  for (const auto* id : {"m-1", "m-2"}) state_.reindex(*state_.machine(MachineId{id}));
  addJob("one", 1, {1, 0, 1});
  wait(11);
  EXPECT_EQ(totalLacking(), 1U);
}

TEST_F(CapacityDemandTest, ASpotMachineIsNoCapacityForWorkThatAvoidsSpot) {
  addMachine("m-1", "large", "a", true);
  addJob("one", 1, {1, 0, 1}, [](JobSpec& spec) { spec.spotAllowed = true; });
  EXPECT_EQ(totalLacking(), 0U);
  avoidSpot_ = true;
  ASSERT_EQ(groups().size(), 1U);
  EXPECT_FALSE(groups()[0].spotAllowed);
  EXPECT_EQ(totalLacking(), 1U);
}

TEST_F(CapacityDemandTest, ABootingMachineIsCapacityUntilItIsOverdue) {
  addBootingMachine("m-1", "small", "a");
  addJob("one", 1, {1, 0, 1}, [](JobSpec& spec) { spec.types = Types{"small"}; });
  addJob("two", 1, {8, 0, 1}, [](JobSpec& spec) { spec.types = Types{"small"}; });
  EXPECT_EQ(totalLacking(), 1U);  // together they need two machines
  wait(66);                       // twice the boot time and a margin
  EXPECT_EQ(totalLacking(), 2U);
}

// Guards against machines for arrays that only wait for each other's tasks to end.
TEST_F(CapacityDemandTest, WaitingArraysOnFullMachinesLackOneMachineAtATime) {
  auto& machine = addMachine("m-1", "small", "a");
  auto& job = addJob("one", 100, {1, 0, 1}, [](JobSpec& spec) { spec.spotAllowed = true; });
  for (int task = 0; task < 8; ++task) placeOn(machine, job);
  wait(11);
  EXPECT_EQ(totalLacking(), 0U);
  wait(20);
  EXPECT_EQ(totalLacking(), 1U);
  addBootingMachine("m-2", "small", "b");
  EXPECT_EQ(totalLacking(), 0U);
}

TEST_F(CapacityDemandTest, ATeamsJobsShareItsQuota) {
  addJob("one", 15, {10, 0, 1});
  addJob("two", 15, {10, 0, 1}, [](JobSpec& spec) { spec.zone = Zone{"a"}; });
  auto reported = groups();
  ASSERT_EQ(reported.size(), 2U);
  EXPECT_EQ(reported[0].waiting + reported[1].waiting, 20U);
}

TEST_F(CapacityDemandTest, AGangBeyondItsTeamsQuotaIsNotCounted) {
  addJob("gang", 21, {10, 0, 1}, [](JobSpec& spec) { spec.kind = JobKind::Gang; });
  EXPECT_TRUE(groups().empty());
  EXPECT_EQ(demand_.excludedJobs().overQuota, 1U);
}

TEST_F(CapacityDemandTest, TasksThatFitNoTypeAreNotCounted) {
  addJob("memory", 1, {1, 0, 200});
  addJob("zoned", 1, {1, 1, 1}, [](JobSpec& spec) { spec.zone = Zone{"a"}; });  // GPUs are in zone b only
  EXPECT_TRUE(demand_.waitingJobs().empty());
  EXPECT_EQ(demand_.excludedJobs().unsuitable, 2U);
}

TEST_F(CapacityDemandTest, AJobThatFailsRepeatedlyGetsNoFurtherMachine) {
  auto& machine = addMachine("m-1", "small", "a");
  placeOn(machine, addJob("holder", 1, {8, 0, 1}));
  auto& job = addJob("one", 1, {1, 0, 1});
  for (const auto* failedOn : {"m-1", "m-2", "m-3"})
    failures_.recordFailure({job.id, 0}, MachineId{failedOn}, Duration{}, 10, runtime_.now());
  wait(60);
  EXPECT_EQ(totalLacking(), 0U);
}

TEST_F(CapacityDemandTest, AJobThatNeverSucceededCountsOneTaskAndNoneDuringItsBackoff) {
  auto& job = addJob("one", 3, {2, 0, 1});
  for (const auto* machine : {"m-1", "m-2", "m-3"})
    failures_.recordFailure({job.id, 0}, MachineId{machine}, Duration{}, 10, runtime_.now());
  ASSERT_EQ(groups().size(), 1U);
  EXPECT_EQ(groups()[0].waiting, 1U);
  job.notBefore = runtime_.now() + seconds(10);
  EXPECT_TRUE(groups().empty());
  EXPECT_EQ(demand_.excludedJobs().inBackoff, 1U);
}

TEST_F(CapacityDemandTest, SpreadTasksLackCapacityInOtherZones) {
  addMachine("m-1", "large", "a");
  addJob("one", 4, {1, 0, 1}, [](JobSpec& spec) {
    spec.kind = JobKind::Service;
    spec.spread = true;
  });
  wait(11);
  auto reported = groups();
  ASSERT_EQ(reported.size(), 1U);
  EXPECT_EQ(reported[0].lacking, 2U);
  ASSERT_EQ(reported[0].zones.size(), 1U);
  EXPECT_EQ(reported[0].zones[0].zone, "b");
}

TEST_F(CapacityDemandTest, AGangThatNeedsOneZoneLacksCapacityInEachZoneBySeparateNumbers) {
  addMachine("m-1", "small", "a");
  addMachine("m-2", "small", "b");
  addMachine("m-3", "small", "b");
  addJob("gang", 4, {8, 0, 8}, [](JobSpec& spec) {
    spec.kind = JobKind::Gang;
    spec.oneZone = true;
    spec.types = Types{"small"};
  });
  wait(11);
  auto reported = groups();
  ASSERT_EQ(reported.size(), 1U);
  EXPECT_TRUE(reported[0].oneZone);
  EXPECT_EQ(reported[0].lacking, 2U);
  ASSERT_EQ(reported[0].zones.size(), 2U);
  EXPECT_EQ(reported[0].zones[0].tasks, 3U);
  EXPECT_EQ(reported[0].zones[1].tasks, 2U);
}

// Guards against groups that hide others: a report holds a limited number, whatever the number of jobs.
TEST_F(CapacityDemandTest, MoreGroupsThanAReportHoldsAreReportedInTurn) {
  constexpr int kGroups = 150;
  for (int number = 0; number < kGroups; ++number)
    addJob("job-" + std::to_string(number), 1, {0.01 * (number + 1), 0, 1});
  std::set<double> seen;
  for (int report = 0; report < 3; ++report) {
    auto reported = groups();
    EXPECT_LE(reported.size(), 64U);
    for (const auto& group : reported) seen.insert(group.cores);
  }
  EXPECT_EQ(seen.size(), static_cast<std::size_t>(kGroups));
}

}  // namespace cherryloft
