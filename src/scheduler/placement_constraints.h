// Feasibility: where a job's tasks may run, whatever the random sample says.
//
// Reads the state of the shard and changes nothing; the scheduler of the shard holds one beside that state.
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

  // The job's rules about zones allow one more task there, beside `planned` ones that are to go there
  // already.
  [[nodiscard]] bool allowsZone(const Job& job, const Zone& zone, unsigned planned = 0) const;
  // Machine type, spot or on demand, and zone, for all machines of a pool at once.
  [[nodiscard]] bool allowsPool(const Job& job, const Pool& pool) const;
  // Machine type, spot or on demand, and the job's failures there; not the zone.
  [[nodiscard]] bool allowsMachineIgnoringZone(const Job& job, const Machine& machine) const;
  // Everything but free capacity: the machine takes work, and its zone and kind are allowed.
  [[nodiscard]] bool allowsMachine(const Job& job, const Machine& machine) const;

  // Some machine could take the job's next task now; looks at up to K machines of each pool.
  [[nodiscard]] bool hasCapacity(const Job& job) const;
  // A quick test before a turn: some allowed pool has a machine with cores enough.
  [[nodiscard]] bool hasFreeCores(const Job& job) const;

  // The image fetch alone takes longer than the job's class may take to start.
  [[nodiscard]] bool fetchMissesStartObjective(const Job& job, const Machine& machine) const;
  // One more lost spot machine would make the job miss its class's objective: it prefers on-demand machines,
  // as long as it can still meet it.
  [[nodiscard]] bool shouldAvoidSpot(const Job& job) const;

 private:
  const Settings& settings_;
  const ShardState& state_;
  const FailureAttribution& failures_;
  const Runtime& runtime_;
};

}  // namespace cherryloft
