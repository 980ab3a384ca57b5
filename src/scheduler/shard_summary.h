// Summary of a shard's state and recent activity as one log line for operators (OPERATING.md).
#pragma once

#include <string>

#include "base/types.h"
#include "scheduler/capacity_demand.h"
#include "scheduler/shard_state.h"
#include "scheduler/start_latencies.h"

namespace cherryloft {

// Returns a fixed text followed by key=value pairs: the current jobs and machines of the shard, and its
// scheduling activity since the last call. Resets the activity counters and latency histograms.
// excludedJobs: jobs whose waiting tasks are not counted as demand.
std::string summarizeShard(ShardId shard, const ShardState& state,
                           const CapacityDemand::ExcludedJobs& excludedJobs, StartLatencies& latencies);

}  // namespace cherryloft
