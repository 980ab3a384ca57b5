// Capacity planning for one shard: target capacity, instances to request, machines to drain or release. Pure
// functions.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/job.h"
#include "policy/offerings.h"

namespace cherryloft::policy {

// Demand for one class of capacity in a shard, in cores unless stated otherwise.
struct Workload {
  double used = 0;
  double waiting = 0;
  double arriving = 0;   // recent arrival rate, cores per second
  double departing = 0;  // recent completion rate, cores per second
  double runS = 0;       // mean run time of tasks, as declared by users
  double largestTask = 0;
  double largestJob = 0;  // of the recent arrivals
  double ramPerCore = 0;
  std::vector<std::string> types;  // allowed machine types; empty: any
  // The only zones allowed for some waiting tasks, and short of machines.
  std::vector<Zone> zonesLackingCapacity;
};

// A machine of a shard, as known to the leader.
struct FleetMachine {
  std::string type;
  Zone zone;
  bool spot = false;
  double cores = 0;
  bool countsAsCapacity = false;  // in use, or booting and expected to be
  double idleS = -1;              // negative: busy or not up yet
  double usedCores = 0;
  double ageS = 0;
  bool draining = false;
  bool pinned = false;  // must not be drained at present
  MachineId id{};       // empty: still being provisioned
};

// The demand and the machines of a shard.
struct ShardFleet {
  Workload onDemandOnly;  // work that must not run on spot machines
  Workload spotAllowed;
  std::vector<FleetMachine> machines;
};

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

// A request for a number of machines of one offering.
struct ScaleOutRequest {
  InstanceOffering offering;
  unsigned count = 1;
  double cores = 0;  // that the work can use, of all requested machines
};
// Capacity is below a target for which on-demand machines are requested.
bool isBelowTarget(const ShardFleet& fleet, const CapacityTargets& target);
// The next scale-out request; nothing if the targets are met or no suitable offering is available.
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
