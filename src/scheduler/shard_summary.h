// What a shard's owner did in the last minute, as one log line for operators (OPERATING.md).
#pragma once

#include <string>

#include "base/types.h"
#include "scheduler/shard_state.h"
#include "scheduler/start_latencies.h"

namespace cherryloft {

// Fixed text and key=value pairs of the shard's jobs and machines as they are now, and of what was decided
// since the last call, whose counts begin anew.
std::string summarizeShard(ShardId shard, const ShardState& state, StartLatencies& latencies);

}  // namespace cherryloft
