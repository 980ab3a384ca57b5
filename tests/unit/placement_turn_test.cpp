// Which machine takes a job's next task.
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

TEST_F(PlacementTurnTest, AHolderOfTheImageComesFirstAndTakesNoDraw) {
  auto& job = addJob("job", 1);
  addMachine("without-image");
  auto& holder = addMachine("holder");
  cacheImage(holder, job);
  EXPECT_EQ(turnOf(job).nextMachine(), &holder);
  EXPECT_EQ(rng_, std::mt19937_64{1});
}

TEST_F(PlacementTurnTest, TheFullestHolderThatFitsComesFirst) {
  auto& job = addJob("job", 1, [](JobSpec& spec) { spec.each = {4, 0, 4}; });
  auto& other = addJob("other", 8);
  auto& idle = addMachine("idle");
  auto& half = addMachine("half");
  auto& full = addMachine("full");
  for (auto* machine : {&idle, &half, &full}) cacheImage(*machine, job);
  for (int task = 0; task < 3; ++task) runTask(other, half, 0);
  for (int task = 0; task < 5; ++task) runTask(other, full, 0);
  EXPECT_EQ(turnOf(job).nextMachine(), &half);
}

TEST_F(PlacementTurnTest, ReplicasGoToTheZoneWithFewerOfThem) {
  auto& job = addJob("job", 3, [](JobSpec& spec) { spec.kind = JobKind::Service; });
  auto& inA = addMachine("machine-a", "a");
  auto& inB = addMachine("machine-b", "b");
  cacheImage(inA, job);
  cacheImage(inB, job);
  runTask(job, inA, 0);
  EXPECT_EQ(turnOf(job).nextMachine(), &inB);
}

// No holder has capacity: formula (3) gives a probability of one.
TEST_F(PlacementTurnTest, WithoutAHolderAnyMachineInScopeTakesTheTask) {
  auto& job = addJob("job", 1);
  auto& machine = addMachine("machine");
  EXPECT_EQ(turnOf(job).nextMachine(), &machine);
  scope_ = {false, {}};
  EXPECT_EQ(turnOf(job).nextMachine(), nullptr);
  scope_ = {false, {machine.id}};
  EXPECT_EQ(turnOf(job).nextMachine(), &machine);
}

TEST_F(PlacementTurnTest, WaitsForAHolderThatIsWorthPreempting) {
  settings_.startObjectives = {{"plain", 5}};
  auto& batch = addJob("batch", 8, [](JobSpec& spec) { spec.priority = PriorityClass::BestEffort; });
  auto& job = addJob("job", 1);
  auto& holder = addMachine("holder");
  cacheImage(holder, job);
  for (int task = 0; task < 8; ++task) runTask(batch, holder, 10);
  auto& other = addMachine("other");
  EXPECT_EQ(turnOf(job).nextMachine(), nullptr);
  job.ignoreImageAffinityUntil = runtime_.now() + Duration{1000};
  EXPECT_EQ(turnOf(job).nextMachine(), &other);
}

}  // namespace
}  // namespace cherryloft
