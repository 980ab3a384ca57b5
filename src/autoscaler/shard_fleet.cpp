#include "autoscaler/shard_fleet.h"

#include <map>
#include <string>

namespace cherryloft {
namespace {

constexpr double kLateBoot = 2.0;  // boot times after which a machine is no longer counted on
constexpr double kLateBootPlusS = 5;
constexpr double kNotYetTold = 3;  // a record so young may not be in its owner's load yet
constexpr double kMsPerSecond = 1000;

policy::Workload workOf(const mesh::Demand& demand) {
  policy::Workload work{
      demand.used,        demand.waiting,    demand.arriving,   demand.departing, demand.expectedRunS,
      demand.largestTask, demand.largestJob, demand.ramPerCore, demand.types,     {}};
  for (const auto& zone : demand.stuckZones) work.stuckZones.push_back(Zone{zone});
  return work;
}

// What the owner says of a machine.
void applyLoad(const mesh::MachineLoad& load, bool boots, policy::FleetMachine& machine) {
  machine.draining = load.draining;
  machine.pinned = load.pinned;
  machine.ageS = load.ageS;
  machine.usedCores = machine.cores - load.freeCores;
  if (load.usable) machine.idleS = load.idleS > 0 ? load.idleS : -1;
  machine.counts = !machine.draining && !load.decommissioning && (load.usable || boots);
}

}  // namespace

policy::ShardFleet describeShardFleet(ShardId shard, const mesh::ShardLoad* load,
                                      const ClusterView& clusterView, const Catalog& prices, WallTime now) {
  policy::ShardFleet fleet;
  std::map<std::string, const mesh::MachineLoad*> reported;
  if (load) {
    fleet.onDemandOnly = workOf(load->onDemandOnly);
    fleet.spotAllowed = workOf(load->spotAllowed);
    for (const auto& machine : load->machines) reported[machine.machine] = &machine;
  }
  for (const auto& [id, known] : clusterView.machines) {
    const auto& record = known.record;
    if (record.shard != shard || record.phase != wire::MachinePhase::InUse) continue;
    const auto* type = findType(prices, record.type);
    policy::FleetMachine machine{record.type, record.zone, record.spot, type ? type->size.cores : 0,
                                 true,        -1};
    double ageS = static_cast<double>(now.value - record.since.value) / kMsPerSecond;
    bool boots = type && ageS < kLateBoot * type->bootS + kLateBootPlusS;
    auto it = reported.find(id.value);
    if (it != reported.end()) {
      applyLoad(*it->second, boots, machine);
    } else {
      // In plain use, as the owner does not name it; or not yet seen by it.
      machine.counts = load || boots;
      machine.usedCores = ageS < kNotYetTold ? 0 : machine.cores;
      machine.pinned = true;
    }
    machine.id = id;
    fleet.machines.push_back(machine);
  }
  return fleet;
}

}  // namespace cherryloft
