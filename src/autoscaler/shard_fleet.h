// The machines of one share and its work as the leader knows them, from records and from the owner's reports.
#pragma once

#include "cluster/cluster_view.h"
#include "mesh/messages.h"
#include "policy/autoscaling.h"

namespace cherryloft {

// Without a load the share's owner has not reported yet.
policy::ShareFleet describeShareFleet(ShareNo share, const mesh::ShareLoad* load, const Directory& directory,
                                      const Catalog& prices, WallTime now);

}  // namespace cherryloft
