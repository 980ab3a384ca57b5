// Tests of the machine selection for a job's next task.
#include "scheduler/placement_turn.h"

#include "placement_fixture.h"

namespace cherryloft {
namespace {

class PlacementTurnTest : public PlacementFixture {
 protected:
  PlacementTurn turnOf(const Job& job) {
    return PlacementTurn({settings_, state_, constraints_, runtime_, rng_, counters_}, scope_, job);
  }

  std::mt19937_64 rng_{1};
  ShardCounters counters_;
  RoundScope scope_{true, {}};
};

TEST_F(PlacementTurnTest, PrefersMachineWithImageWithoutRandomDraw) {
  auto& job = addJob("job", 1);
  addMachine("without-image");
  auto& withImage = addMachine("with-image");
  cacheImage(withImage, job);
  EXPECT_EQ(turnOf(job).nextMachine(), &withImage);
  EXPECT_EQ(rng_, std::mt19937_64{1});
}

TEST_F(PlacementTurnTest, SelectsBestFitAmongMachinesWithImage) {
  auto& job = addJob("job", 1, [](JobSpec& spec) { spec.each = {4, 0, 4}; });
  auto& otherJob = addJob("other", 8);
  auto& idle = addMachine("idle");
  auto& half = addMachine("half");
  auto& full = addMachine("full");
  for (auto* machine : {&idle, &half, &full}) cacheImage(*machine, job);
  for (int task = 0; task < 3; ++task) runTask(otherJob, half, 0);
  for (int task = 0; task < 5; ++task) runTask(otherJob, full, 0);
  EXPECT_EQ(turnOf(job).nextMachine(), &half);
}

TEST_F(PlacementTurnTest, SpreadsReplicasOverZones) {
  auto& job = addJob("job", 3, [](JobSpec& spec) { spec.kind = JobKind::Service; });
  auto& inA = addMachine("machine-a", "a");
  auto& inB = addMachine("machine-b", "b");
  cacheImage(inA, job);
  cacheImage(inB, job);
  runTask(job, inA, 0);
  EXPECT_EQ(turnOf(job).nextMachine(), &inB);
}

// If no machine with the image has capacity, formula (3) yields a probability of one.
TEST_F(PlacementTurnTest, SelectsAnyMachineInScopeIfNoneHasTheImage) {
  auto& job = addJob("job", 1);
  auto& machine = addMachine("machine");
  EXPECT_EQ(turnOf(job).nextMachine(), &machine);
  scope_ = {false, {}};
  EXPECT_EQ(turnOf(job).nextMachine(), nullptr);
  scope_ = {false, {machine.id}};
  EXPECT_EQ(turnOf(job).nextMachine(), &machine);
}

TEST_F(PlacementTurnTest, WaitsForMachineWithImageThatIsWorthPreempting) {
  settings_.startObjectives = {{"plain", 5}};
  auto& batch = addJob("batch", 8, [](JobSpec& spec) { spec.priority = PriorityClass::BestEffort; });
  auto& job = addJob("job", 1);
  auto& withImage = addMachine("with-image");
  cacheImage(withImage, job);
  for (int task = 0; task < 8; ++task) runTask(batch, withImage, 10);
  auto& withoutImage = addMachine("without-image");
  EXPECT_EQ(turnOf(job).nextMachine(), nullptr);
  job.ignoreImageAffinityUntil = runtime_.now() + Duration{1000};
  EXPECT_EQ(turnOf(job).nextMachine(), &withoutImage);
}

}  // namespace
}  // namespace cherryloft
