// The machines that are requested and kept for waiting tasks.
#include "policy/waiting_tasks.h"

#include <gtest/gtest.h>

#include "autoscaler/shard_fleet.h"
#include "policy/autoscaling.h"

namespace cherryloft::policy {
namespace {

const Zone kA{"a"};
const Zone kB{"b"};
const Catalog kCatalog{{"small", {8, 0, 16}, 30, 1, 0.48, 0.13, 30, {kA, kB}},
                       {"medium", {16, 0, 64}, 35, 1, 1.1, 0.31, 35, {kA, kB}},
                       {"large", {32, 0, 128}, 20, 1, 2.18, 0.61, 20, {kA, kB}}};

TaskGroup groupOf(const Resources& each, unsigned lacking, const std::vector<std::string>& types = {},
                  const std::vector<Zone>& zones = {kA, kB}) {
  TaskGroup group;
  group.needs.each = each;
  group.needs.types = types;
  group.needs.zones = zones;
  group.waiting = group.lacking = lacking;
  for (const auto& zone : zones) group.tasksByZone[zone] = lacking;
  return group;
}

ShardFleet fleetWith(const std::vector<TaskGroup>& groups) {
  ShardFleet fleet;
  fleet.waitingTasks = groups;
  fleet.waitingTasksKnown = true;
  fleet.neededOfferings = neededOfferings(groups, kCatalog);
  return fleet;
}

std::optional<ScaleOutRequest> requestFor(const ShardFleet& fleet,
                                          const InstanceOfferings& unavailable = {}) {
  return requestForShortages(shortagesOf(fleet, kCatalog), fleet, kCatalog, unavailable);
}

FleetMachine unreported(const std::string& type, const Zone& zone, bool spot = false, unsigned count = 1) {
  FleetMachine machine{type, zone, spot};
  machine.inReport = false;
  machine.count = count;
  return machine;
}

FleetMachine idle(const std::string& type, const Zone& zone) {
  return {type, zone, false, findType(kCatalog, type)->size.cores, true, 100, 0, 200};
}

FleetMachine busy(const std::string& type, const Zone& zone) {
  return {type, zone, false, findType(kCatalog, type)->size.cores, true, -1, 1, 200};
}

}  // namespace

// Guards against a request for a task that combines the needs of several: it may fit no type.
TEST(WaitingTasks, TasksOfDifferentSizesEachGetASuitableMachine) {
  auto fleet = fleetWith({groupOf({1, 0, 12}, 1), groupOf({12, 0, 12}, 1), groupOf({1, 0, 120}, 1)});
  auto first = requestFor(fleet);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->offering.type, "small");
  fleet.machines.push_back(unreported(first->offering.type, first->offering.zone));
  auto second = requestFor(fleet);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->offering.type, "medium");
  fleet.machines.push_back(unreported(second->offering.type, second->offering.zone));
  auto third = requestFor(fleet);
  ASSERT_TRUE(third);
  EXPECT_EQ(third->offering.type, "large");
  fleet.machines.push_back(unreported(third->offering.type, third->offering.zone));
  EXPECT_FALSE(requestFor(fleet));
}

TEST(WaitingTasks, AFractionOfACoreGetsAMachine) {
  auto request = requestFor(fleetWith({groupOf({0.2, 0, 0.5}, 1)}));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->count, 1U);
}

TEST(WaitingTasks, ARefusedOfferingIsReplacedByTheNextBest) {
  auto fleet = fleetWith({groupOf({12, 0, 12}, 1, {}, {kA})});
  EXPECT_EQ(requestFor(fleet)->offering.type, "medium");
  EXPECT_EQ(requestFor(fleet, {{"medium", kA, false}})->offering.type, "large");
  EXPECT_FALSE(requestFor(fleet, {{"medium", kA, false}, {"large", kA, false}}));
}

TEST(WaitingTasks, AGroupThatNoOfferingIsAvailableForDoesNotHideTheNext) {
  auto fleet = fleetWith({groupOf({1, 0, 1}, 1, {"large"}), groupOf({1, 0, 1}, 1, {"small"})});
  auto request = requestFor(fleet, {{"large", kA, false}, {"large", kB, false}});
  ASSERT_TRUE(request);
  EXPECT_EQ(request->offering.type, "small");
}

TEST(WaitingTasks, SpotIsRequestedFirstAndOnDemandIfThereIsNone) {
  auto group = groupOf({12, 0, 12}, 1, {"large"}, {kA});
  group.needs.spotAllowed = true;
  EXPECT_TRUE(requestFor(fleetWith({group}))->offering.spot);
  auto onDemand = requestFor(fleetWith({group}), {{"large", kA, true}});
  ASSERT_TRUE(onDemand);
  EXPECT_FALSE(onDemand->offering.spot);
}

// Guards against on-demand machines for a whole queue of arrays that only wait for each other.
TEST(WaitingTasks, WithoutSpotMachinesArraysGetOneOnDemandMachineAtATime) {
  auto group = groupOf({8, 0, 8}, 100, {"small"}, {kA});
  group.needs.spotAllowed = true;
  auto fleet = fleetWith({group});
  InstanceOfferings noSpot{{"small", kA, true}};
  auto request = requestFor(fleet, noSpot);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->count, 1U);
  EXPECT_EQ(request->cores, 8);
  fleet.machines.push_back(unreported("small", kA));
  EXPECT_FALSE(requestFor(fleet, noSpot));
  fleet.waitingTasks[0].gang = true;  // its members can't run one after the other
  EXPECT_TRUE(requestFor(fleet, noSpot));
}

// Guards against renting twice for one shortage: the owner's report is older than the request.
TEST(WaitingTasks, MachinesThatTheReportDoesNotKnowAreSubtracted) {
  auto fleet = fleetWith({groupOf({8, 0, 8}, 5, {"small"})});
  fleet.machines = {unreported("small", kA, false, 3)};
  auto shortages = shortagesOf(fleet, kCatalog);
  ASSERT_EQ(shortages.size(), 1U);
  EXPECT_EQ(shortages[0].tasks, 2U);
  fleet.machines.push_back(unreported("large", kA, false, 9));  // not allowed
  fleet.machines.push_back(unreported("small", kB, true, 9));   // spot
  EXPECT_EQ(shortagesOf(fleet, kCatalog)[0].tasks, 2U);
  fleet.machines.push_back(unreported("small", kB, false, 2));
  EXPECT_TRUE(shortagesOf(fleet, kCatalog).empty());
}

TEST(WaitingTasks, AGangInOneZoneGetsItsMachinesWhereFewestAreMissing) {
  auto gang = groupOf({12, 0, 50}, 2, {"medium"});
  gang.gang = gang.oneZone = true;
  gang.tasksByZone = {{kA, 4}, {kB, 2}};
  auto fleet = fleetWith({gang});
  auto request = requestFor(fleet);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->offering.zone, kB);
  EXPECT_EQ(request->count, 2U);
  auto elsewhere = requestFor(fleet, {{"medium", kB, false}});
  ASSERT_TRUE(elsewhere);
  EXPECT_EQ(elsewhere->offering.zone, kA);
  EXPECT_EQ(elsewhere->count, 4U);
  fleet.machines = {unreported("medium", kB, false, 2)};
  EXPECT_TRUE(shortagesOf(fleet, kCatalog).empty());
}

// Guards against returning a machine that was rented for a waiting task.
TEST(WaitingTasks, AnIdleMachineThatATaskWaitsForIsNotReleased) {
  auto fleet = fleetWith({groupOf({1, 0, 1}, 1, {"small"}, {kA})});
  fleet.machines = {idle("small", kA), idle("large", kA)};
  CapacityTargets target;
  EXPECT_EQ(machineToRelease(fleet, target, kCatalog, 10, 0), std::optional<std::size_t>(1));
  fleet.machines.pop_back();
  EXPECT_FALSE(machineToRelease(fleet, target, kCatalog, 10, 0));
}

TEST(WaitingTasks, AMachineThatATaskWaitsForIsNotDrainedOrReplaced) {
  auto fleet = fleetWith({groupOf({20, 0, 20}, 1, {}, {kA})});
  fleet.machines = {busy("large", kA), busy("large", kB), busy("large", kB)};
  fleet.onDemandOnly.largestTask = 1;
  CapacityTargets target;
  target.onDemand = target.total = 3;
  for (auto index : machinesToDrain(fleet, target, kCatalog, 60, 8)) EXPECT_NE(index, 0U);
  fleet.machines = {busy("large", kA)};
  EXPECT_FALSE(cheaperReplacement(fleet, target, kCatalog, {}, 60));
  fleet.neededOfferings.clear();
  EXPECT_TRUE(cheaperReplacement(fleet, target, kCatalog, {}, 60));
}

TEST(WaitingTasks, TheDrainOfASuitableMachineIsCancelledBeforeAnythingIsRequested) {
  auto fleet = fleetWith({groupOf({4, 0, 4}, 1, {"large"}, {kA})});
  fleet.machines = {busy("small", kA), busy("large", kB), busy("large", kA)};
  for (auto& machine : fleet.machines) machine.draining = true;
  EXPECT_EQ(drainToCancel(shortagesOf(fleet, kCatalog), fleet, kCatalog), std::optional<std::size_t>(2));
  fleet.machines[2].usedCores = 30;  // too full for the task
  EXPECT_FALSE(drainToCancel(shortagesOf(fleet, kCatalog), fleet, kCatalog));
}

TEST(WaitingTasks, OnlyMachinesThatATaskCanUseSuitAShard) {
  auto fleet = fleetWith({groupOf({1, 0, 1}, 1, {"small"}, {kA})});
  EXPECT_TRUE(suitsWaitingTasks(fleet, kCatalog, {"small", kA, false}));
  EXPECT_FALSE(suitsWaitingTasks(fleet, kCatalog, {"small", kB, false}));
  EXPECT_FALSE(suitsWaitingTasks(fleet, kCatalog, {"large", kA, false}));
  EXPECT_FALSE(suitsWaitingTasks(fleet, kCatalog, {"small", kA, true}));
  fleet.waitingTasksKnown = false;  // a report of an earlier version
  EXPECT_TRUE(suitsWaitingTasks(fleet, kCatalog, {"large", kA, false}));
}

// Reports of an owner of an earlier version hold the maxima of all tasks only.
TEST(WaitingTasks, MaximaThatFitNoTypeTogetherStillLeadToAMachine) {
  mesh::ShardLoad load;
  load.onDemandOnly.waiting = 13;
  load.onDemandOnly.largestTask = 12;
  load.onDemandOnly.ramPerCore = 12;
  auto fleet = describeShardFleet(ShardId{0}, &load, ClusterView{}, kCatalog, WallTime{0});
  auto target = computeCapacityTargets(fleet, kCatalog, 0, 0);
  auto request = nextScaleOut(fleet, target, kCatalog, {});
  ASSERT_TRUE(request);
  EXPECT_EQ(request->offering.type, "large");
}

TEST(WaitingTasks, ZonesShortOfMachinesInAnEarlierReportLeadToOneMachine) {
  mesh::ShardLoad load;
  load.onDemandOnly.largestTask = 2;
  load.onDemandOnly.ramPerCore = 1;
  load.onDemandOnly.stuckZones = {"b"};
  auto fleet = describeShardFleet(ShardId{0}, &load, ClusterView{}, kCatalog, WallTime{0});
  auto request = requestFor(fleet);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->offering.zone, kB);
  fleet.machines.push_back(unreported(request->offering.type, kB));
  EXPECT_FALSE(requestFor(fleet));
}

TEST(WaitingTasks, AMachineWithARecordLaterThanTheReportIsNotInIt) {
  ClusterView view;
  auto& entry = view.machines[MachineId{"host-1"}];
  entry.record = {ShardId{0}, Epoch{}, wire::MachinePhase::InUse, "small", kA, false, "", WallTime{0}};
  entry.version = Version{12};
  mesh::ShardLoad load;
  auto& details = load.details.emplace();
  details.machinesVersion = 11;
  WallTime later{60'000};
  EXPECT_FALSE(describeShardFleet(ShardId{0}, &load, view, kCatalog, later).machines.at(0).inReport);
  details.machinesVersion = 12;
  EXPECT_TRUE(describeShardFleet(ShardId{0}, &load, view, kCatalog, later).machines.at(0).inReport);
}

}  // namespace cherryloft::policy
