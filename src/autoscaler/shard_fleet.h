// The machines and the workload of one shard as known to the leader, from machine records and from the load
// reports of the shard's owner.
#pragma once

#include "cluster/cluster_view.h"
#include "mesh/messages.h"
#include "policy/autoscaling.h"

namespace cherryloft {

// load: null if the shard's owner has not reported yet.
policy::ShardFleet describeShardFleet(ShardId shard, const mesh::ShardLoad* load,
                                      const ClusterView& clusterView, const Catalog& catalog, WallTime now);

}  // namespace cherryloft
