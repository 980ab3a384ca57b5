#include "scheduler/unplaced_tasks.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {

using wire::Command;
using wire::TaskPhase;

// A worker reports at once when it sees a higher token, at most once in this fraction of its lease.
constexpr double kTokenRaiseIntervalInLeases = 0.5;
// Exited tasks in a heartbeat, whose size is limited to 64 KiB, that make the token rise at once.
constexpr std::ptrdiff_t kMaxWaitingToBeForgotten = 100;

}  // namespace

std::vector<Command> UnplacedTasks::stops(Machine& machine,
                                          const std::vector<wire::ReportedTask>& reportedTasks) {
  std::vector<Command> commands;
  for (const auto& reported : reportedTasks) {
    if (reported.phase == TaskPhase::Exited || machine.placementOf(reported)) continue;
    commands.push_back({Command::Verb::Stop, reported.task, reported.attempt, 0});
  }
  return commands;
}

void UnplacedTasks::addCommands(Machine& machine, std::vector<Command>& commands, std::size_t limit,
                                Time now) const {
  for (auto& stop : stops(machine, machine.reported)) {
    if (commands.size() >= limit) return;
    commands.push_back(std::move(stop));
  }
  auto attempts = forgettableAttempts(machine);
  raiseTokenIfDue(machine, attempts, now);
  for (const auto& attempt : attempts) {
    if (commands.size() >= limit) return;
    if (machine.fence.mayForget(attempt))
      commands.push_back({Command::Verb::Forget, attempt.task, attempt.attempt, 0});
  }
}

// Exited attempts that are needed no more, in the worker's reports as well as here.
std::vector<TaskAttempt> UnplacedTasks::forgettableAttempts(Machine& machine) const {
  std::vector<TaskAttempt> attempts;
  // A command in flight carries the present token, and would be rejected after a higher one.
  if (!machine.noCommandInDoubt() || machine.commandInFlight) return attempts;
  for (const auto& reported : machine.reported) {
    if (reported.phase != TaskPhase::Exited || machine.placementOf(reported)) continue;
    if (!isCompletionUncommitted(reported.task)) attempts.push_back({reported.task, reported.attempt});
  }
  return attempts;
}

// A task's completion must be committed before the worker is told to forget the task (invariant 8).
bool UnplacedTasks::isCompletionUncommitted(const TaskId& id) const {
  auto job = state_.jobs().find(id.job);
  if (job == state_.jobs().end() || id.index >= job->second.tasks.size()) return false;
  const Task& task = job->second.tasks[id.index];
  return task.state == TaskState::Done && !task.doneCommitted && job->second.status == JobStatus::Open;
}

void UnplacedTasks::raiseTokenIfDue(Machine& machine, const std::vector<TaskAttempt>& attempts,
                                    Time now) const {
  auto waiting = std::count_if(attempts.begin(), attempts.end(),
                               [&](const TaskAttempt& attempt) { return !machine.fence.mayForget(attempt); });
  if (waiting == 0) return;
  auto interval = seconds(settings_.workerLeaseS * kTokenRaiseIntervalInLeases);
  bool due = !machine.tokenRaisedToForgetAt || now - *machine.tokenRaisedToForgetAt >= interval;
  if (!due && waiting < kMaxWaitingToBeForgotten) return;
  if (!machine.fence.raiseToken()) return;
  machine.tokenRaisedToForgetAt = now;
  audit_.tokenRaised(machine, TokenRaiseReason::AttemptsToForget);
}

}  // namespace cherryloft
