// The jobs of a shard that wait for placement, with the keys that order them.
#pragma once

#include <vector>

#include "policy/placement_order.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

struct PendingJob {
  Job* job = nullptr;  // owned by the shard's state
  policy::PlacementOrderKey orderKey;
};

// Jobs with waiting tasks whose backoff has passed, in no particular order. A team's guaranteed capacity is
// attributed to its oldest jobs first.
[[nodiscard]] std::vector<PendingJob> collectPendingJobs(const ShardState& state, const Settings& settings,
                                                         Time now, WallTime wallTime);

// The job to place next; pending.end() if the list is empty.
[[nodiscard]] std::vector<PendingJob>::iterator firstInOrder(std::vector<PendingJob>& pending);

}  // namespace cherryloft
