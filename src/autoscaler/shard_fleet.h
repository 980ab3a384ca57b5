// The machines of one shard and its work as the leader knows them, from records and from the owner's load
// reports.
#pragma once

#include "cluster/cluster_view.h"
#include "mesh/messages.h"
#include "policy/autoscaling.h"

namespace cherryloft {

// Without a load the shard's owner has not reported yet.
policy::ShardFleet describeShardFleet(ShardId shard, const mesh::ShardLoad* load,
                                      const ClusterView& clusterView, const Catalog& prices, WallTime now);

}  // namespace cherryloft
