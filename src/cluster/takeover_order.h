// The order in which living controllers take over what has lost its owner.
#pragma once

#include "cluster/cluster_view.h"

namespace cherryloft {

// How long this controller waits before it takes over a shard without a living owner: one step for each
// living controller that comes before it in the ring, which begins at the shard's preferred owner. Attempts
// of several at once would be harmless, as only one can succeed, but would cost writes.
[[nodiscard]] Duration takeoverDelay(const Settings& settings, const ClusterView& view, ShardId shard);

}  // namespace cherryloft
