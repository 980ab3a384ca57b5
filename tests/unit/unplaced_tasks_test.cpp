// UnplacedTasks: which reported tasks without a placement are stopped or forgotten.
#include "scheduler/unplaced_tasks.h"

#include <algorithm>

#include "unit/placement_fixture.h"

namespace cherryloft {
namespace {

using wire::Command;
using wire::TaskPhase;

constexpr FencingToken kOwnToken{100};
constexpr std::size_t kNoLimit = 1'000;

class UnplacedTasksTest : public PlacementFixture {
 protected:
  UnplacedTasksTest() { machine_.fence = CommandFence{kOwnToken}; }

  // The worker's reports list so many attempts of a job, in that phase.
  void report(std::uint32_t count, TaskPhase phase = TaskPhase::Exited) {
    for (std::uint32_t index = 0; index < count; ++index)
      machine_.reported.push_back({TaskId{JobId{"job-1"}, index}, Attempt{index + 1}, phase});
  }
  std::size_t commandsOf(Command::Verb verb, std::size_t limit = kNoLimit) {
    std::vector<Command> commands;
    unplacedTasks_.addCommands(machine_, commands, limit);
    return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(),
                                                  [&](const auto& command) { return command.verb == verb; }));
  }
  std::size_t forgets() { return commandsOf(Command::Verb::Forget); }

  Machine& machine_ = addMachine("m-1");
  UnplacedTasks unplacedTasks_{state_};
};

TEST_F(UnplacedTasksTest, ExitedAttemptsAreForgottenWithoutAHigherToken) {
  report(5);
  EXPECT_EQ(forgets(), 5U);
  EXPECT_EQ(machine_.token(), kOwnToken);
}

TEST_F(UnplacedTasksTest, AForgetWhoseAnswerWasLostIsRepeated) {
  report(5);
  EXPECT_EQ(forgets(), 5U);
  EXPECT_EQ(forgets(), 5U);
}

TEST_F(UnplacedTasksTest, ACommandInFlightOrWithoutAnAnswerDelaysNoForget) {
  report(2);
  machine_.commandInFlight = true;
  machine_.fence.requireAcknowledgement();
  EXPECT_EQ(forgets(), 2U);
}

TEST_F(UnplacedTasksTest, ARefusedWakeUpIsForgotten) {
  auto wakeUp = wire::wakeUpCommand(Attempt{7});
  machine_.reported.push_back({wakeUp.task, wakeUp.attempt, TaskPhase::Exited, wire::ExitCause::Unknown});
  EXPECT_EQ(forgets(), 1U);
}

TEST_F(UnplacedTasksTest, CommandsStayWithinTheLimit) {
  report(5);
  EXPECT_EQ(commandsOf(Command::Verb::Forget, 3), 3U);
}

TEST_F(UnplacedTasksTest, RunningAttemptsWithoutAPlacementAreStopped) {
  report(3, TaskPhase::Running);
  EXPECT_EQ(commandsOf(Command::Verb::Stop), 3U);
}

}  // namespace
}  // namespace cherryloft
