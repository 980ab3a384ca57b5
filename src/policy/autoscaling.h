// Sizing the fleet of one shard: which instances to request, which idle machine to release.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/job.h"

namespace cherryloft::policy {

// The work of one kind in a shard. Cores unless said otherwise.
struct Workload {
  double used = 0;
  double waiting = 0;
  double arriving = 0;   // cores per second of late
  double departing = 0;  // cores per second that came free of late
  double runS = 0;       // how long tasks take, as their owners say
  double largestTask = 0;
  double largestJob = 0;  // of those that came of late
  double ramPerCore = 0;
  std::vector<std::string> types;  // empty: any
  std::vector<Zone> stuckZones;    // where machines are missing for tasks that may go nowhere else
};

// A machine of a shard as the leader knows it.
struct FleetMachine {
  std::string type;
  Zone zone;
  bool spot = false;
  double cores = 0;
  bool countsAsCapacity = false;  // in use or about to be
  double idleS = -1;              // negative: busy or not up
  double usedCores = 0;
  double ageS = 0;
  bool draining = false;
  bool pinned = false;  // can'target be drained now
  MachineId id{};       // empty: still being provisioned
};

// A shard's work and its machines.
struct ShardFleet {
  Workload onDemandOnly;  // that spot machines may not run
  Workload spotAllowed;
  std::vector<FleetMachine> machines;
};

// What a shard should have.
struct CapacityTargets {
  double onDemand = 0;       // cores of ordinary machines at least
  double total = 0;          // cores in all, for which ordinary machines are requested too
  double totalWithSpot = 0;  // cores in all as long as they are cheap
  double busy = 0;           // cores in all above which several busy machines are drained at a time
};
// Capacity for what is there, for what comes while a machine boots, and for one more task of each kind;
// beyond that, the cheaper spot machines are, the more capacity is kept on them. Dear machines are not for
// work that finds capacity on the cheap ones within its patience.
CapacityTargets computeCapacityTargets(const ShardFleet& fleet, const Catalog& catalog, double spareFraction,
                                       double patienceS);

// A kind of machine that the cloud offers in a zone.
struct InstanceOffering {
  std::string type;
  Zone zone;
  bool spot = false;
  friend auto operator<=>(const InstanceOffering&, const InstanceOffering&) = default;
};
// So many machines of one offering.
struct ScaleOutRequest {
  InstanceOffering offering;
  unsigned count = 1;
  double cores = 0;  // of all of them that the work can fill
};
// What ordinary machines would be requested for is not there.
bool isBelowTarget(const ShardFleet& fleet, const CapacityTargets& target);
// The next scale-out request, or nothing when the computeCapacityTargets are met or nothing fitting is on
// offering.
std::optional<ScaleOutRequest> nextScaleOut(const ShardFleet& fleet, const CapacityTargets& target,
                                            const Catalog& catalog,
                                            const std::set<InstanceOffering>& unavailable);

// Index of an idle machine that may go, the dearest first; nothing if all are needed. Of spot machines,
// spareSpot cores in all may go.
std::optional<std::size_t> machineToRelease(const ShardFleet& fleet, const CapacityTargets& target,
                                            const Catalog& catalog, double minIdleS, double spareSpot);
// A small ordinary machine to put in the place of a large one that little runs on.
std::optional<ScaleOutRequest> cheaperReplacement(const ShardFleet& fleet, const CapacityTargets& target,
                                                  const Catalog& catalog,
                                                  const std::set<InstanceOffering>& unavailable,
                                                  double minAgeS);
// Of all machines that count.
double capacityCores(const ShardFleet& fleet);
// How much of what a shard wants it lacks: 1 is balance.
double targetToCapacityRatio(const ShardFleet& fleet, const CapacityTargets& target);

// Indices of busy machines that should take no more work, as the others have capacity enough for all without
// those that are idle: the dearest for what runs on them first, and at most so many.
std::vector<std::size_t> machinesToDrain(const ShardFleet& fleet, const CapacityTargets& target,
                                         const Catalog& catalog, double minAgeS, std::size_t most);

}  // namespace cherryloft::policy
