#include "autoscaler/shard_fleet.h"

#include <map>
#include <string>

namespace cherryloft {
namespace {

constexpr double kLateBoot = 2.0;  // boot times after which a machine is no longer counted on
constexpr double kLateBootPlusS = 5;
constexpr double kNotYetTold = 3;  // a record so young may not be in its owner's load yet
constexpr double kMsPerSecond = 1000;

policy::Work workOf(const mesh::Demand& demand) {
  policy::Work work{demand.used,        demand.waiting,    demand.arriving,   demand.leaving, demand.runS,
                    demand.largestTask, demand.largestJob, demand.ramPerCore, demand.types,   {}};
  for (const auto& zone : demand.stuckZones) work.stuckZones.push_back(Zone{zone});
  return work;
}

// What the owner says of a machine.
void applyLoad(const mesh::HostLoad& load, bool boots, policy::FleetHost& host) {
  host.emptying = load.emptying;
  host.pinned = load.pinned;
  host.ageS = load.ageS;
  host.usedCores = host.cores - load.freeCores;
  if (load.usable) host.idleS = load.idleS > 0 ? load.idleS : -1;
  host.counts = !host.emptying && !load.draining && (load.usable || boots);
}

}  // namespace

policy::ShareFleet describeShareFleet(ShareNo share, const mesh::ShareLoad* load, const Directory& directory,
                                      const Catalog& prices, WallTime now) {
  policy::ShareFleet fleet;
  std::map<std::string, const mesh::HostLoad*> reported;
  if (load) {
    fleet.firm = workOf(load->firm);
    fleet.lendable = workOf(load->lendable);
    for (const auto& host : load->hosts) reported[host.host] = &host;
  }
  for (const auto& [id, known] : directory.hosts) {
    const auto& record = known.record;
    if (record.share != share || record.phase != wire::HostPhase::InUse) continue;
    const auto* type = findType(prices, record.type);
    policy::FleetHost host{record.type, record.zone, record.spot, type ? type->size.cores : 0, true, -1};
    double ageS = static_cast<double>(now.value - record.since.value) / kMsPerSecond;
    bool boots = type && ageS < kLateBoot * type->bootS + kLateBootPlusS;
    auto it = reported.find(id.value);
    if (it != reported.end()) {
      applyLoad(*it->second, boots, host);
    } else {
      // In plain use, as the owner does not name it; or not yet seen by it.
      host.counts = load || boots;
      host.usedCores = ageS < kNotYetTold ? 0 : host.cores;
      host.pinned = true;
    }
    host.id = id;
    fleet.hosts.push_back(host);
  }
  return fleet;
}

}  // namespace cherryloft
