// The order in which live controllers take over shards and leadership without an owner.
#pragma once

#include "cluster/cluster_view.h"

namespace cherryloft {

// How long this controller waits before it takes over a shard without a live owner: one step for each live
// controller that precedes it in the ring, which starts at the shard's preferred owner. Concurrent attempts
// would be safe, as only one can succeed, but would waste writes.
[[nodiscard]] Duration takeoverDelay(const Settings& settings, const ClusterView& view, ShardId shard);

}  // namespace cherryloft
