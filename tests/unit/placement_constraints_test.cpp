// Where tasks may run.
#include "scheduler/placement_constraints.h"

#include "placement_fixture.h"

namespace cherryloft {
namespace {

using PlacementConstraintsTest = PlacementFixture;

TEST_F(PlacementConstraintsTest, AJobForOneZoneStaysInTheZoneOfItsFirstTask) {
  auto& job = addJob("job", 4, [](JobSpec& spec) { spec.oneZone = true; });
  EXPECT_TRUE(constraints_.allowsZone(job, Zone{"b"}));
  runTask(job, addMachine("machine"), 0);
  EXPECT_TRUE(constraints_.allowsZone(job, Zone{"a"}));
  EXPECT_FALSE(constraints_.allowsZone(job, Zone{"b"}));
}

TEST_F(PlacementConstraintsTest, AZoneTakesAtMostHalfOfAJobThatSpreads) {
  auto& job = addJob("job", 4, [](JobSpec& spec) { spec.spread = true; });
  runTask(job, addMachine("machine"), 0);
  EXPECT_TRUE(constraints_.allowsZone(job, Zone{"a"}));
  EXPECT_FALSE(constraints_.allowsZone(job, Zone{"a"}, 1));  // one is planned to go there already
}

TEST_F(PlacementConstraintsTest, SpotMachinesOnlyForJobsThatMayUseThem) {
  auto& machine = addMachine("machine", "a", true);
  EXPECT_TRUE(constraints_.allowsMachine(addJob("spot", 1), machine));
  auto& onDemand = addJob("on-demand", 1, [](JobSpec& spec) { spec.spotAllowed = false; });
  EXPECT_FALSE(constraints_.allowsMachine(onDemand, machine));
  EXPECT_FALSE(constraints_.hasCapacity(onDemand));
}

TEST_F(PlacementConstraintsTest, ADrainingMachineHasNoCapacity) {
  auto& job = addJob("job", 1);
  auto& machine = addMachine("machine");
  EXPECT_TRUE(constraints_.hasCapacity(job));
  machine.draining = true;
  state_.reindex(machine);
  EXPECT_FALSE(constraints_.allowsMachine(job, machine));
  EXPECT_FALSE(constraints_.hasCapacity(job));
}

TEST_F(PlacementConstraintsTest, OnlyAMachineWithoutTheImageMissesTheStartObjective) {
  settings_.startObjectives = {{"plain", 5}};
  auto& job = addJob("job", 1);
  auto& machine = addMachine("machine");
  EXPECT_TRUE(constraints_.fetchMissesStartObjective(job, machine));
  cacheImage(machine, job);
  EXPECT_FALSE(constraints_.fetchMissesStartObjective(job, machine));
}

TEST_F(PlacementConstraintsTest, ALongRunAvoidsSpotWhileItsObjectiveCanBeMet) {
  settings_.finishObjectives = {{"plain", 100}};
  auto jobOf = [&](const std::string& id, double runSeconds) -> Job& {
    return addJob(id, 1, [&](JobSpec& spec) { spec.expectedRunSeconds = runSeconds; });
  };
  EXPECT_FALSE(constraints_.shouldAvoidSpot(jobOf("short", 60)));
  EXPECT_TRUE(constraints_.shouldAvoidSpot(jobOf("long", 80)));
  EXPECT_FALSE(constraints_.shouldAvoidSpot(jobOf("hopeless", 140)));
  auto& lostOne = jobOf("lost-one", 60);
  lostOne.lost = 1;
  EXPECT_TRUE(constraints_.shouldAvoidSpot(lostOne));
}

}  // namespace
}  // namespace cherryloft
