// The jobs of a shard that wait for placement, with what decides on their order.
#pragma once

#include <vector>

#include "policy/placement_order.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

struct PendingJob {
  Job* job = nullptr;  // owned by the shard's state
  policy::PlacementOrderKey orderKey;
};

// Jobs with waiting tasks that may be tried now, in no particular order. Teams' guarantees go to their oldest
// jobs first.
[[nodiscard]] std::vector<PendingJob> collectPendingJobs(const ShardState& state, const Settings& settings,
                                                         Time now, WallTime wallTime);

// The one that is to be placed next; the end of the list if it is empty.
[[nodiscard]] std::vector<PendingJob>::iterator firstInOrder(std::vector<PendingJob>& pending);

}  // namespace cherryloft
