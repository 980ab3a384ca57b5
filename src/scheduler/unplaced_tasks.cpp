#include "scheduler/unplaced_tasks.h"

#include <utility>

namespace cherryloft {
namespace {

using wire::Command;
using wire::TaskPhase;

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

void UnplacedTasks::addCommands(Machine& machine, std::vector<Command>& commands, std::size_t limit) const {
  for (auto& stop : stops(machine, machine.reported)) {
    if (commands.size() >= limit) return;
    commands.push_back(std::move(stop));
  }
  // Exited attempts that are needed no more, here as well as in the worker's heartbeats.
  for (const auto& reported : machine.reported) {
    if (commands.size() >= limit) return;
    bool needed = reported.phase != TaskPhase::Exited || machine.placementOf(reported) ||
                  isCompletionUncommitted(reported.task);
    if (!needed) commands.push_back({Command::Verb::Forget, reported.task, reported.attempt, 0});
  }
}

// A task's completion must be committed before the worker is told to forget the task (invariant 8).
bool UnplacedTasks::isCompletionUncommitted(const TaskId& id) const {
  auto job = state_.jobs().find(id.job);
  if (job == state_.jobs().end() || id.index >= job->second.tasks.size()) return false;
  const Task& task = job->second.tasks[id.index];
  return task.state == TaskState::Done && !task.doneCommitted && job->second.status == JobStatus::Open;
}

}  // namespace cherryloft
