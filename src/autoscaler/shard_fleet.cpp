#include "autoscaler/shard_fleet.h"

#include <map>
#include <string>

namespace cherryloft {
namespace {

constexpr double kBootTimeoutBootTimes = 2.0;  // a machine not usable by then no longer counts as capacity
constexpr double kBootTimeoutMarginS = 5;
constexpr double kReportDelayS = 3;  // a younger record may be missing from its owner's load report
constexpr double kMsPerSecond = 1000;

policy::Workload toWorkload(const mesh::Demand& demand) {
  policy::Workload workload{
      demand.used,        demand.waiting,    demand.arriving,   demand.departing, demand.expectedRunS,
      demand.largestTask, demand.largestJob, demand.ramPerCore, demand.types,     {}};
  for (const auto& zone : demand.stuckZones) workload.zonesLackingCapacity.push_back(Zone{zone});
  return workload;
}

// Applies the owner's report on a machine.
void applyLoad(const mesh::MachineLoad& load, bool booting, policy::FleetMachine& machine) {
  machine.draining = load.draining;
  machine.pinned = load.pinned;
  machine.ageS = load.ageS;
  machine.usedCores = machine.cores - load.freeCores;
  if (load.usable) machine.idleS = load.idleS > 0 ? load.idleS : -1;
  machine.countsAsCapacity = !machine.draining && !load.decommissioning && (load.usable || booting);
}

}  // namespace

policy::ShardFleet describeShardFleet(ShardId shard, const mesh::ShardLoad* load,
                                      const ClusterView& clusterView, const Catalog& catalog, WallTime now) {
  policy::ShardFleet fleet;
  std::map<std::string, const mesh::MachineLoad*> reported;
  if (load) {
    fleet.onDemandOnly = toWorkload(load->onDemandOnly);
    fleet.spotAllowed = toWorkload(load->spotAllowed);
    for (const auto& machine : load->machines) reported[machine.machine] = &machine;
  }
  for (const auto& [id, entry] : clusterView.machines) {
    const auto& record = entry.record;
    if (record.shard != shard || record.phase != wire::MachinePhase::InUse) continue;
    const auto* type = findType(catalog, record.type);
    policy::FleetMachine machine{record.type, record.zone, record.spot, type ? type->size.cores : 0,
                                 true,        -1};
    double ageS = static_cast<double>(now.value - record.since.value) / kMsPerSecond;
    bool booting = type && ageS < kBootTimeoutBootTimes * type->bootSeconds + kBootTimeoutMarginS;
    auto it = reported.find(id.value);
    if (it != reported.end()) {
      applyLoad(*it->second, booting, machine);
    } else {
      // The owner does not report the machine: it is fully in use, or the owner does not know it yet.
      machine.countsAsCapacity = load || booting;
      machine.usedCores = ageS < kReportDelayS ? 0 : machine.cores;
      machine.pinned = true;
    }
    machine.id = id;
    fleet.machines.push_back(machine);
  }
  return fleet;
}

}  // namespace cherryloft
