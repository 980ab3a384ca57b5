// Capacity planning for one shard: target capacity, instances to request, machines to drain or release. Pure
// functions.
#pragma once

#include <optional>
#include <vector>

#include "policy/fleet.h"

namespace cherryloft::policy {

// Whether a booting machine of that age still counts as capacity.
bool isExpectedToBoot(const MachineType& type, double ageS);

// The capacity that a shard should have, in cores.
struct CapacityTargets {
  double onDemand = 0;            // minimum on on-demand machines
  double total = 0;               // minimum on all machines, with on-demand ones requested if necessary
  double totalWithSpot = 0;       // on all machines, with only spot machines requested beyond `total`
  double bulkDrainThreshold = 0;  // capacity above this: several busy machines are drained at a time
};
// Covers the present demand, arrivals during one machine boot, and one more task of each kind. Adds spare
// spot capacity in proportion to the discount of spot machines. Excludes from `total` the work that will find
// capacity freed by finished tasks within `maxQueueWaitS`, so that no on-demand machine is requested for it.
CapacityTargets computeCapacityTargets(const ShardFleet& fleet, const Catalog& catalog, double spareFraction,
                                       double maxQueueWaitS);

// Capacity is below a target for which on-demand machines are requested.
bool isBelowTarget(const ShardFleet& fleet, const CapacityTargets& target);
// The next scale-out request for the targets; nothing if they are met or no suitable offering is available.
std::optional<ScaleOutRequest> nextScaleOut(const ShardFleet& fleet, const CapacityTargets& target,
                                            const Catalog& catalog, const InstanceOfferings& unavailable);

// Index of the most expensive idle machine that can be released; nothing if all are needed. A spot machine is
// released only if it has at most `releasableSpotCores`.
std::optional<std::size_t> machineToRelease(const ShardFleet& fleet, const CapacityTargets& target,
                                            const Catalog& catalog, double minIdleS,
                                            double releasableSpotCores);
// A request for smaller on-demand machines that can replace an oversized one at a much lower price.
std::optional<ScaleOutRequest> cheaperReplacement(const ShardFleet& fleet, const CapacityTargets& target,
                                                  const Catalog& catalog,
                                                  const InstanceOfferings& unavailable, double minAgeS);
// The cores of all machines that count as capacity.
double capacityCores(const ShardFleet& fleet);
// Target over present capacity: 1 if they are equal, more if the shard lacks capacity.
double targetToCapacityRatio(const ShardFleet& fleet, const CapacityTargets& target);

// Indices of at most `maxMachines` busy machines that can be drained because the remaining ones, without the
// idle machines, have sufficient capacity. Highest price per used core first.
std::vector<std::size_t> machinesToDrain(const ShardFleet& fleet, const CapacityTargets& target,
                                         const Catalog& catalog, double minAgeS, std::size_t maxMachines);

}  // namespace cherryloft::policy
