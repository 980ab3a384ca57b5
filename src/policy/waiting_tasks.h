// The machines that the waiting tasks of a shard need. Pure functions.
//
// The owner of the shard reports which tasks its machines have no capacity for. Machines that the report does
// not take into account yet, as they are being provisioned or just were, are subtracted here, so that nothing
// is requested twice for one shortage.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "policy/fleet.h"

namespace cherryloft::policy {

// The offerings that suit waiting tasks that lack capacity, or that can't use any machine.
InstanceOfferings neededOfferings(const std::vector<TaskGroup>& groups, const Catalog& catalog);
// Whether the machine's offering is one that waiting tasks depend on.
bool isNeededByWaitingTasks(const ShardFleet& fleet, const FleetMachine& machine);
// Whether some waiting task of the shard can use a machine of the offering; true if its tasks are not known.
bool suitsWaitingTasks(const ShardFleet& fleet, const Catalog& catalog, const InstanceOffering& offering);

// Tasks of a group that no machine of the shard or on its way to it has capacity for.
struct TaskShortage {
  const TaskGroup* group = nullptr;
  unsigned tasks = 0;
  // Where they may be placed, and how many; alternatives to each other if the group needs one zone.
  std::map<Zone, unsigned> tasksByZone;
};
// Shortages in the order of the groups. The result refers to the groups of the fleet.
std::vector<TaskShortage> shortagesOf(const ShardFleet& fleet, const Catalog& catalog);

// The machines to request for the first shortage that an available offering suits: the cheapest ones by the
// capacity that the tasks use.
std::optional<ScaleOutRequest> requestForShortages(const std::vector<TaskShortage>& shortages,
                                                   const ShardFleet& fleet, const Catalog& catalog,
                                                   const InstanceOfferings& unavailable);
// Index of a busy machine whose drain should be cancelled, as it suits the tasks of a shortage.
std::optional<std::size_t> drainToCancel(const std::vector<TaskShortage>& shortages, const ShardFleet& fleet,
                                         const Catalog& catalog);

}  // namespace cherryloft::policy
