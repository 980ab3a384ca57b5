// Commands for tasks that a worker reports although the shard state places nothing of them there: running
// ones are stopped, exited ones are forgotten, refused wake-ups among them.
#pragma once

#include <vector>

#include "scheduler/shard_state.h"

namespace cherryloft {

class UnplacedTasks {
 public:
  // The state must outlive this object.
  explicit UnplacedTasks(const ShardState& state) : state_(state) {}

  // Stops for those of the reported tasks that run although nothing of them is placed on the machine. An
  // attempt that is known to be gone never comes back, so this may be sent in the answer to any heartbeat,
  // even a delayed one.
  static std::vector<wire::Command> stops(Machine& machine,
                                          const std::vector<wire::ReportedTask>& reportedTasks);
  // Appends the commands for the answer to the machine's last accepted heartbeat, to at most `limit` in all.
  // Nothing can start a forgotten attempt again, as only answers start tasks (invariant 3).
  void addCommands(Machine& machine, std::vector<wire::Command>& commands, std::size_t limit) const;

 private:
  bool isCompletionUncommitted(const TaskId& id) const;

  const ShardState& state_;
};

}  // namespace cherryloft
