// Tests of the feasibility rules for placement.
#include "scheduler/placement_constraints.h"

#include "placement_fixture.h"

namespace cherryloft {
namespace {

using PlacementConstraintsTest = PlacementFixture;

TEST_F(PlacementConstraintsTest, OneZoneJobStaysInZoneOfItsFirstTask) {
  auto& job = addJob("job", 4, [](JobSpec& spec) { spec.oneZone = true; });
  EXPECT_TRUE(constraints_.allowsZone(job, Zone{"b"}));
  runTask(job, addMachine("machine"), 0);
  EXPECT_TRUE(constraints_.allowsZone(job, Zone{"a"}));
  EXPECT_FALSE(constraints_.allowsZone(job, Zone{"b"}));
}

TEST_F(PlacementConstraintsTest, ZoneTakesAtMostHalfOfSpreadJob) {
  auto& job = addJob("job", 4, [](JobSpec& spec) { spec.spread = true; });
  runTask(job, addMachine("machine"), 0);
  EXPECT_TRUE(constraints_.allowsZone(job, Zone{"a"}));
  EXPECT_FALSE(constraints_.allowsZone(job, Zone{"a"}, 1));  // with one more planned for the zone
}

TEST_F(PlacementConstraintsTest, SpotMachinesAreOnlyForJobsThatAllowThem) {
  auto& machine = addMachine("machine", "a", true);
  EXPECT_TRUE(constraints_.allowsMachine(addJob("spot", 1), machine));
  auto& onDemand = addJob("on-demand", 1, [](JobSpec& spec) { spec.spotAllowed = false; });
  EXPECT_FALSE(constraints_.allowsMachine(onDemand, machine));
  EXPECT_FALSE(constraints_.hasCapacity(onDemand));
}

TEST_F(PlacementConstraintsTest, DrainingMachineHasNoCapacity) {
  auto& job = addJob("job", 1);
  auto& machine = addMachine("machine");
  EXPECT_TRUE(constraints_.hasCapacity(job));
  machine.draining = true;
  state_.reindex(machine);
  EXPECT_FALSE(constraints_.allowsMachine(job, machine));
  EXPECT_FALSE(constraints_.hasCapacity(job));
}

TEST_F(PlacementConstraintsTest, FetchMissesStartObjectiveOnlyWithoutCachedImage) {
  settings_.startObjectives = {{"plain", 5}};
  auto& job = addJob("job", 1);
  auto& machine = addMachine("machine");
  EXPECT_TRUE(constraints_.fetchMissesStartObjective(job, machine));
  cacheImage(machine, job);
  EXPECT_FALSE(constraints_.fetchMissesStartObjective(job, machine));
}

TEST_F(PlacementConstraintsTest, LongJobAvoidsSpotWhileItsObjectiveIsFeasible) {
  settings_.finishObjectives = {{"plain", 100}};
  auto addJobOfLength = [&](const std::string& id, double runSeconds) -> Job& {
    return addJob(id, 1, [&](JobSpec& spec) { spec.expectedRunSeconds = runSeconds; });
  };
  EXPECT_FALSE(constraints_.shouldAvoidSpot(addJobOfLength("short", 60)));
  EXPECT_TRUE(constraints_.shouldAvoidSpot(addJobOfLength("long", 80)));
  EXPECT_FALSE(constraints_.shouldAvoidSpot(addJobOfLength("infeasible", 140)));
  auto& withLostTask = addJobOfLength("with-lost-task", 60);
  withLostTask.lost = 1;
  EXPECT_TRUE(constraints_.shouldAvoidSpot(withLostTask));
}

}  // namespace
}  // namespace cherryloft
