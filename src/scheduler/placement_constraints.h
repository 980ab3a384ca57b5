// Feasibility rules: the machines, pools and zones where a job's tasks may run.
//
// Reads the shard state and never modifies it; the shard scheduler owns an instance along with that state.
#pragma once

#include "runtime/runtime.h"
#include "scheduler/failure_attribution.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

class PlacementConstraints {
 public:
  // All must outlive this object.
  PlacementConstraints(const Settings& settings, const ShardState& state, const FailureAttribution& failures,
                       const Runtime& runtime)
      : settings_(settings), state_(state), failures_(failures), runtime_(runtime) {}

  // Whether the job's zone rules allow one more task in the zone, besides `planned` ones not yet placed
  // there.
  [[nodiscard]] bool allowsZone(const Job& job, const Zone& zone, unsigned planned = 0) const;
  // How many more tasks of the job its zone rules allow in the zone.
  [[nodiscard]] std::uint32_t tasksAllowedIn(const Job& job, const Zone& zone) const;
  // Checks machine type, image cache, spot or on-demand, and zone, which all machines of a pool share.
  [[nodiscard]] bool allowsPool(const Job& job, const MachinePool& pool) const;
  // Checks machine type, image cache, spot or on-demand, and the job's failure history on the machine; not
  // the zone.
  [[nodiscard]] bool allowsMachineIgnoringZone(const Job& job, const Machine& machine) const;
  // Checks everything except free capacity: the machine accepts work, and is allowed for the job.
  [[nodiscard]] bool allowsMachine(const Job& job, const Machine& machine) const;

  // Whether some machine could take the job's next task now; examines up to K machines of each pool.
  [[nodiscard]] bool hasCapacity(const Job& job) const;
  // A cheap necessary condition: some allowed pool has a machine with enough free cores.
  [[nodiscard]] bool hasFreeCores(const Job& job) const;

  // Whether the image fetch alone takes longer than the start objective of the job's class.
  [[nodiscard]] bool fetchMissesStartObjective(const Job& job, const Machine& machine) const;
  // Whether the job should prefer on-demand machines: the loss of one more spot machine would make it miss
  // the finish objective of its class, which it can still meet.
  [[nodiscard]] bool shouldAvoidSpot(const Job& job) const;

 private:
  const Settings& settings_;
  const ShardState& state_;
  const FailureAttribution& failures_;
  const Runtime& runtime_;
};

}  // namespace cherryloft
