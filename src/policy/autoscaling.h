// Sizing the fleet of one share: what to rent, which idle machine to let go.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/job.h"

namespace cherryloft::policy {

struct Work {
  double used = 0, waiting = 0;  // cores
  double arriving = 0;           // cores per second of late
  double departing = 0;          // cores per second that came free of late
  double runS = 0;               // how long tasks take, as their owners say
  double largestTask = 0;
  double largestJob = 0;  // of those that came of late
  double ramPerCore = 0;
  std::vector<std::string> types;  // empty: any
  std::vector<Zone> stuckZones;    // where machines are missing for tasks that may go nowhere else
};

struct FleetMachine {
  std::string type;
  Zone zone;
  bool spot = false;
  double cores = 0;
  bool counts = false;  // in use or about to be
  double idleS = -1;    // negative: busy or not up
  double usedCores = 0;
  double ageS = 0;
  bool draining = false;
  bool pinned = false;  // can't be drained now
  MachineId id{};       // empty: still being rented
};

struct ShardFleet {
  Work onDemandOnly, spotAllowed;
  std::vector<FleetMachine> machines;
};

struct CapacityTargets {
  double ordinary = 0;    // cores of ordinary machines at least
  double total = 0;       // cores in all, for which ordinary machines are rented too
  double spotTarget = 0;  // cores in all as long as they are cheap
  double busy = 0;        // cores in all above which several busy machines are drained at a time
};
// Room for what is there, for what comes while a machine boots, and for one more task of each kind; beyond
// that, the cheaper spot machines are, the more room is kept on them.
// Dear machines are not for work that finds room on the cheap ones within its patience.
CapacityTargets targets(const ShardFleet& f, const Catalog& catalog, double spareFraction, double patienceS);

struct InstanceOffering {
  std::string type;
  Zone zone;
  bool spot = false;
  friend auto operator<=>(const InstanceOffering&, const InstanceOffering&) = default;
};
struct ScaleOutRequest {
  InstanceOffering offer;
  unsigned count = 1;
  double cores = 0;
};
// What ordinary machines would be rented for is not there.
bool isShort(const ShardFleet& f, const CapacityTargets& t);
// The next rental, or nothing when the targets are met or nothing fitting is on offer.
std::optional<ScaleOutRequest> rent(const ShardFleet& f, const CapacityTargets& t, const Catalog& catalog,
                                    const std::set<InstanceOffering>& unavailable);

// Index of an idle machine that may go, the dearest first; nothing if all are needed. Of spot machines,
// spareSpot cores in all may go.
std::optional<std::size_t> machineToRelease(const ShardFleet& f, const CapacityTargets& t,
                                            const Catalog& catalog, double minIdleS, double spareSpot);
// A small ordinary machine to put in the place of a large one that little runs on.
std::optional<ScaleOutRequest> replacement(const ShardFleet& f, const CapacityTargets& t,
                                           const Catalog& catalog,
                                           const std::set<InstanceOffering>& unavailable, double minAgeS);
double coresOf(const ShardFleet& f);
// How much of what a share wants it lacks: 1 is balance.
double pressure(const ShardFleet& f, const CapacityTargets& t);

// Indices of busy machines that should take no more work, as the others have room enough for all without
// those that are idle: the dearest for what runs on them first, and at most so many.
std::vector<std::size_t> machinesToDrain(const ShardFleet& f, const CapacityTargets& t,
                                         const Catalog& catalog, double minAgeS, std::size_t most);

}  // namespace cherryloft::policy
