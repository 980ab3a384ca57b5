// Commands for tasks that a worker reports although the shard state places nothing of them there: running
// ones are stopped, exited ones are forgotten.
#pragma once

#include <vector>

#include "scheduler/command_audit.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

// After a worker has forgotten an attempt, a copy of the command that started it would start it again, unless
// the worker has seen a higher token since (invariant 3). So the machine's token is raised before attempts
// that direct commands started under it are forgotten; they wait for one another, as each rise makes the
// worker report once more.
class UnplacedTasks {
 public:
  // All must outlive this object.
  UnplacedTasks(const Settings& settings, const ShardState& state, CommandAudit& audit)
      : settings_(settings), state_(state), audit_(audit) {}

  // Stops for those of the reported tasks that run although nothing of them is placed on the machine. An
  // attempt that is known to be gone never comes back, so this may be sent in the answer to any heartbeat,
  // even a delayed one.
  static std::vector<wire::Command> stops(Machine& machine,
                                          const std::vector<wire::ReportedTask>& reportedTasks);
  // Appends the commands for the answer to the machine's last accepted heartbeat, to at most `limit` in all.
  // May raise the machine's token.
  void addCommands(Machine& machine, std::vector<wire::Command>& commands, std::size_t limit, Time now) const;

 private:
  std::vector<TaskAttempt> forgettableAttempts(Machine& machine) const;
  bool isCompletionUncommitted(const TaskId& id) const;
  void raiseTokenIfDue(Machine& machine, const std::vector<TaskAttempt>& attempts, Time now) const;

  const Settings& settings_;
  const ShardState& state_;
  CommandAudit& audit_;
};

}  // namespace cherryloft
