// Which tasks are stopped for a job without capacity, and where.
#include "scheduler/eviction_planner.h"

#include "placement_fixture.h"

namespace cherryloft {
namespace {

class EvictionPlannerTest : public PlacementFixture {
 protected:
  // Low-priority tasks of the given size in cores, for the job that preempts to stop.
  Job& addBatch(const std::string& id, double cores, std::uint32_t tasks = 1) {
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

TEST_F(EvictionPlannerTest, TheTaskThatRanLeastIsStopped) {
  auto& first = addMachine("first");
  auto& second = addMachine("second");
  auto& batch = addBatch("batch", 8, 2);
  runTask(batch, first, 500);
  runTask(batch, second, 20);
  auto& job = addPreemptor(1, 8);
  auto eviction = planner().planForTask({&job, {}}, {&first, &second}, forecast_);
  ASSERT_TRUE(eviction);
  EXPECT_EQ(eviction->machine, &second);
  EXPECT_DOUBLE_EQ(eviction->lostCoreSeconds, 160);
  EXPECT_EQ(eviction->victims, (std::vector<TaskId>{{batch.id, 1}}));
}

TEST_F(EvictionPlannerTest, NoMoreThanACheckpointIntervalIsLost) {
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

// The two jobs would displace each other for ever.
TEST_F(EvictionPlannerTest, WhatIsNotCommittedYetIsNoVictim) {
  auto& machine = addMachine("machine");
  auto& batch = addBatch("batch", 8);
  state_.place(batch, 0, machine, Attempt{1}, runtime_.now());
  auto& job = addPreemptor(1, 8);
  EXPECT_FALSE(planner().planForTask({&job, {}}, {&machine}, forecast_));
}

TEST_F(EvictionPlannerTest, CapacityPromisedInTheRoundIsNotPromisedAgain) {
  auto& machine = addMachine("machine");
  auto& job = addPreemptor(1, 8);
  EXPECT_TRUE(planner().planForTask({&job, {}}, {&machine}, forecast_));
  forecast_.of(machine) -= job.spec->each;
  EXPECT_FALSE(planner().planForTask({&job, {}}, {&machine}, forecast_));
}

TEST_F(EvictionPlannerTest, CapacityOfTasksBeingStoppedIsForecast) {
  auto& machine = addMachine("machine");
  auto& batch = addBatch("batch", 8);
  runTask(batch, machine, 500).desired = false;
  auto& job = addPreemptor(1, 8);
  auto eviction = planner().planForTask({&job, {}}, {&machine}, forecast_);
  ASSERT_TRUE(eviction);
  EXPECT_TRUE(eviction->victims.empty());
}

TEST_F(EvictionPlannerTest, AGangForOneZoneIsPlannedWholeInTheCheapestZoneThatFitsIt) {
  auto& cheapButSmall = addMachine("a-1", "a");
  auto& first = addMachine("b-1", "b");
  auto& second = addMachine("b-2", "b");
  auto& batch = addBatch("batch", 8, 3);
  runTask(batch, cheapButSmall, 1);
  runTask(batch, first, 100);
  runTask(batch, second, 100);
  auto& gang = addPreemptor(2, 8, true);
  auto plan = planner().planForGang({&gang, {}}, {&cheapButSmall, &first, &second}, forecast_);
  ASSERT_TRUE(plan);
  ASSERT_EQ(plan->size(), 2U);
  for (const auto& eviction : *plan) EXPECT_EQ(eviction.machine->zone(), Zone{"b"});
  EXPECT_FALSE(planner().planForGang({&gang, {}}, {&cheapButSmall, &first}, forecast_));
}

TEST_F(EvictionPlannerTest, ACheckpointIsSkippedOnlyIfItMakesTheStartLate) {
  settings_.startObjectives = {{"plain", 20}};
  auto& machine = addMachine("machine");
  auto& job = addPreemptor(1, 8);
  JobSpec victim;
  PendingJob pending{&job, {}};
  pending.orderKey.ageSeconds = 4;  // 5.5 s are left: 20, less 4, 10 of fetch and 0.5 to start
  victim.checkpointSeconds = 5;
  EXPECT_TRUE(planner().leavesTimeForCheckpoint(pending, machine, victim));
  victim.checkpointSeconds = 6;
  EXPECT_FALSE(planner().leavesTimeForCheckpoint(pending, machine, victim));
  pending.orderKey.ageSeconds = 30;  // it is late anyway
  EXPECT_TRUE(planner().leavesTimeForCheckpoint(pending, machine, victim));
}

}  // namespace
}  // namespace cherryloft
