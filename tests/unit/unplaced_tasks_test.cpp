// UnplacedTasks: which exited attempts a worker may forget, and how often the machine's token rises for it.
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

  static TaskAttempt attempt(std::uint32_t index) { return {{JobId{"job-1"}, index}, Attempt{index + 1}}; }
  void startDirectly(std::uint32_t first, std::uint32_t count) {
    for (auto index = first; index < first + count; ++index) machine_.fence.recordDirectStart(attempt(index));
  }
  // The worker's reports list so many of the attempts from then on, in that phase.
  void report(std::uint32_t first, std::uint32_t count, TaskPhase phase = TaskPhase::Exited) {
    for (auto index = first; index < first + count; ++index)
      machine_.reported.push_back({attempt(index).task, attempt(index).attempt, phase});
  }
  std::size_t commandsOf(Command::Verb verb, Duration at) {
    std::vector<Command> commands;
    unplacedTasks_.addCommands(machine_, commands, kNoLimit, Time{at});
    return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(),
                                                  [&](const auto& command) { return command.verb == verb; }));
  }
  std::size_t forgets(Duration at) { return commandsOf(Command::Verb::Forget, at); }
  // Attempt 0, started directly and exited, makes the token rise at time 0.
  void raiseForOneAttempt() {
    startDirectly(0, 1);
    report(0, 1);
    EXPECT_EQ(forgets(Duration{0}), 1U);
    EXPECT_EQ(machine_.token(), FencingToken{kOwnToken.value + 1});
  }

  Machine& machine_ = addMachine("m-1");
  ShardCounters counters_;
  CommandAudit audit_{silentLog(), ShardId{0}, counters_};
  UnplacedTasks unplacedTasks_{settings_, state_, audit_};
  Duration halfALease_ = seconds(settings_.workerLeaseS / 2);
};

TEST_F(UnplacedTasksTest, AttemptsStartedByAnswersAloneAreForgottenWithoutARise) {
  report(0, 5);
  EXPECT_EQ(forgets(Duration{0}), 5U);
  EXPECT_EQ(machine_.token(), kOwnToken);
}

TEST_F(UnplacedTasksTest, AttemptsStartedDirectlyAreForgottenTogetherUnderAHigherToken) {
  startDirectly(0, 5);
  report(0, 5);
  EXPECT_EQ(forgets(Duration{0}), 5U);
  EXPECT_EQ(machine_.token(), FencingToken{kOwnToken.value + 1});
}

TEST_F(UnplacedTasksTest, RepeatingAForgetWhoseAnswerWasLostNeedsNoFurtherRise) {
  startDirectly(0, 5);
  report(0, 5);
  EXPECT_EQ(forgets(Duration{0}), 5U);
  EXPECT_EQ(forgets(2 * halfALease_), 5U);
  EXPECT_EQ(counters_.tokenRaises, 1U);
}

TEST_F(UnplacedTasksTest, TokenRisesOnceInHalfALease) {
  raiseForOneAttempt();
  startDirectly(1, 1);
  report(1, 1);
  EXPECT_EQ(forgets(halfALease_ - Duration{1}), 1U);
  EXPECT_EQ(counters_.tokenRaises, 1U);
  EXPECT_EQ(forgets(halfALease_), 2U);
  EXPECT_EQ(counters_.tokenRaises, 2U);
}

TEST_F(UnplacedTasksTest, AHundredExitedAttemptsDoNotWait) {
  raiseForOneAttempt();
  startDirectly(1, 100);
  report(1, 99);
  EXPECT_EQ(forgets(Duration{1}), 1U);
  report(100, 1);
  EXPECT_EQ(forgets(Duration{1}), 101U);
}

TEST_F(UnplacedTasksTest, AMachineWhoseTokenRoseToForgetTakesWork) {
  raiseForOneAttempt();
  EXPECT_TRUE(machine_.open());
}

TEST_F(UnplacedTasksTest, NothingIsForgottenAndNoTokenRisesBesideACommandInFlight) {
  startDirectly(0, 2);
  report(0, 2);
  machine_.commandInFlight = true;
  EXPECT_EQ(forgets(Duration{0}), 0U);
  EXPECT_EQ(machine_.token(), kOwnToken);
}

TEST_F(UnplacedTasksTest, RunningAttemptsWithoutAPlacementAreStopped) {
  report(0, 3, TaskPhase::Running);
  EXPECT_EQ(commandsOf(Command::Verb::Stop, Duration{0}), 3U);
}

}  // namespace
}  // namespace cherryloft
