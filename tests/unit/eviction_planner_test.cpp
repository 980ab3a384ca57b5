// Tests of preemption planning: victims and machines.
#include "scheduler/eviction_planner.h"

#include "placement_fixture.h"

namespace cherryloft {
namespace {

class EvictionPlannerTest : public PlacementFixture {
 protected:
  // Adds a best-effort job whose tasks the preemptor may evict.
  Job& addVictimJob(const std::string& id, double cores, std::uint32_t tasks = 1) {
    return addJob(id, tasks, [&](JobSpec& spec) {
      spec.priority = PriorityClass::BestEffort;
      spec.each.cores = cores;
    });
  }
  Job& addPreemptor(std::uint32_t tasks, double cores, bool oneZone = false) {
    return addJob("preemptor", tasks, [&](JobSpec& spec) {
      spec.priority = PriorityClass::High;
      spec.each.cores = cores;
      spec.oneZone = oneZone;
    });
  }
  EvictionPlanner planner() const { return {settings_, state_, constraints_, runtime_.now()}; }

  CapacityForecast forecast_;
};

TEST_F(EvictionPlannerTest, EvictsTaskWithLeastProgress) {
  auto& first = addMachine("first");
  auto& second = addMachine("second");
  auto& batch = addVictimJob("batch", 8, 2);
  runTask(batch, first, 500);
  runTask(batch, second, 20);
  auto& job = addPreemptor(1, 8);
  auto eviction = planner().planForTask({&job, {}}, {&first, &second}, forecast_);
  ASSERT_TRUE(eviction);
  EXPECT_EQ(eviction->machine, &second);
  EXPECT_DOUBLE_EQ(eviction->lostCoreSeconds, 160);
  EXPECT_EQ(eviction->victims, (std::vector<TaskId>{{batch.id, 1}}));
}

TEST_F(EvictionPlannerTest, LostProgressIsBoundedByCheckpointInterval) {
  auto& machine = addMachine("machine");
  auto& batch = addJob("batch", 1, [](JobSpec& spec) {
    spec.priority = PriorityClass::BestEffort;
    spec.each.cores = 8;
    spec.checkpointIntervalSeconds = 30;
  });
  runTask(batch, machine, 500);
  auto& job = addPreemptor(1, 8);
  EXPECT_DOUBLE_EQ(planner().planForTask({&job, {}}, {&machine}, forecast_)->lostCoreSeconds, 240);
}

// Guards against two jobs that displace each other indefinitely within placement rounds.
TEST_F(EvictionPlannerTest, UncommittedPlacementIsNotEvicted) {
  auto& machine = addMachine("machine");
  auto& batch = addVictimJob("batch", 8);
  state_.place(batch, 0, machine, Attempt{1}, runtime_.now());
  auto& job = addPreemptor(1, 8);
  EXPECT_FALSE(planner().planForTask({&job, {}}, {&machine}, forecast_));
}

TEST_F(EvictionPlannerTest, CapacityReservedInRoundIsNotReservedAgain) {
  auto& machine = addMachine("machine");
  auto& job = addPreemptor(1, 8);
  EXPECT_TRUE(planner().planForTask({&job, {}}, {&machine}, forecast_));
  forecast_.availableOn(machine) -= job.spec->each;
  EXPECT_FALSE(planner().planForTask({&job, {}}, {&machine}, forecast_));
}

TEST_F(EvictionPlannerTest, ForecastIncludesCapacityOfTasksBeingStopped) {
  auto& machine = addMachine("machine");
  auto& batch = addVictimJob("batch", 8);
  runTask(batch, machine, 500).desired = false;
  auto& job = addPreemptor(1, 8);
  auto eviction = planner().planForTask({&job, {}}, {&machine}, forecast_);
  ASSERT_TRUE(eviction);
  EXPECT_TRUE(eviction->victims.empty());
}

TEST_F(EvictionPlannerTest, OneZoneGangIsPlannedInCheapestZoneThatFitsAllMembers) {
  auto& inTooSmallZone = addMachine("a-1", "a");
  auto& first = addMachine("b-1", "b");
  auto& second = addMachine("b-2", "b");
  auto& batch = addVictimJob("batch", 8, 3);
  runTask(batch, inTooSmallZone, 1);
  runTask(batch, first, 100);
  runTask(batch, second, 100);
  auto& gang = addPreemptor(2, 8, true);
  auto plan = planner().planForGang({&gang, {}}, {&inTooSmallZone, &first, &second}, forecast_);
  ASSERT_TRUE(plan);
  ASSERT_EQ(plan->size(), 2U);
  for (const auto& eviction : *plan) EXPECT_EQ(eviction.machine->zone(), Zone{"b"});
  EXPECT_FALSE(planner().planForGang({&gang, {}}, {&inTooSmallZone, &first}, forecast_));
}

TEST_F(EvictionPlannerTest, CheckpointIsSkippedOnlyIfItMakesTheStartLate) {
  settings_.startObjectives = {{"plain", 20}};
  auto& machine = addMachine("machine");
  auto& job = addPreemptor(1, 8);
  JobSpec victim;
  PendingJob pending{&job, {}};
  pending.orderKey.ageSeconds = 4;  // leaves 5.5 s: 20, minus 4, 10 for the fetch and 0.5 to start
  victim.checkpointSeconds = 5;
  EXPECT_TRUE(planner().leavesTimeForCheckpoint(pending, machine, victim));
  victim.checkpointSeconds = 6;
  EXPECT_FALSE(planner().leavesTimeForCheckpoint(pending, machine, victim));
  pending.orderKey.ageSeconds = 30;  // late even without a checkpoint
  EXPECT_TRUE(planner().leavesTimeForCheckpoint(pending, machine, victim));
}

}  // namespace
}  // namespace cherryloft
