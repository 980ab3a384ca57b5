#include "autoscaler/shard_fleet.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "policy/autoscaling.h"
#include "policy/waiting_tasks.h"

namespace cherryloft {
namespace {

constexpr double kReportDelayS = 3;  // a younger record may be missing from its owner's load report
constexpr double kMsPerSecond = 1000;

policy::Workload toWorkload(const mesh::Demand& demand) {
  return {demand.used,        demand.waiting,    demand.arriving,   demand.departing, demand.expectedRunS,
          demand.largestTask, demand.largestJob, demand.ramPerCore, demand.types};
}

policy::TaskGroup toTaskGroup(const mesh::WaitingTaskGroup& reported) {
  policy::TaskGroup group;
  group.needs.each = {reported.cores, reported.gpus, reported.ramGb};
  group.needs.types = reported.types;
  group.needs.spotAllowed = reported.spotAllowed;
  group.gang = reported.gang;
  group.oneZone = reported.oneZone;
  group.waiting = reported.waiting;
  group.lacking = reported.lacking;
  for (const auto& zone : reported.zones) {
    group.needs.zones.push_back(Zone{zone.zone});
    group.tasksByZone[Zone{zone.zone}] = zone.tasks;
  }
  return group;
}

// --- reports of owners of a version that reports only sums ---

// The sums are the maxima of all tasks, which together may describe a task that does not exist and fits no
// type. Then the memory is reduced to what the largest task can have.
void limitToCatalog(policy::Workload& workload, const Catalog& catalog) {
  if (workload.largestTask <= 0) return;
  double maxRamPerCore = 0;
  policy::TaskRequirements task;
  task.types = workload.types;
  task.each.cores = workload.largestTask;
  for (const auto& type : catalog)
    if (!policy::typeUnsuitable(type, task))
      maxRamPerCore = std::max(maxRamPerCore, type.size.ram / workload.largestTask);
  if (maxRamPerCore > 0) workload.ramPerCore = std::min(workload.ramPerCore, maxRamPerCore);
}

// One task that lacks capacity in the zones that are short of machines.
void addTaskForZones(const mesh::Demand& demand, const policy::Workload& workload,
                     policy::ShardFleet& fleet) {
  if (demand.stuckZones.empty()) return;
  policy::TaskGroup group;
  group.needs.each = {workload.largestTask, 0, workload.largestTask * workload.ramPerCore};
  group.needs.types = workload.types;
  group.waiting = group.lacking = 1;
  for (const auto& zone : demand.stuckZones) {
    group.needs.zones.push_back(Zone{zone});
    group.tasksByZone[Zone{zone}] = 1;
  }
  fleet.waitingTasks.push_back(std::move(group));
}

void applySums(const mesh::ShardLoad& load, const Catalog& catalog, policy::ShardFleet& fleet) {
  fleet.onDemandOnly = toWorkload(load.onDemandOnly);
  fleet.spotAllowed = toWorkload(load.spotAllowed);
  limitToCatalog(fleet.onDemandOnly, catalog);
  limitToCatalog(fleet.spotAllowed, catalog);
  addTaskForZones(load.onDemandOnly, fleet.onDemandOnly, fleet);
  addTaskForZones(load.spotAllowed, fleet.spotAllowed, fleet);
}

// ---

void applyDetails(const mesh::LoadDetails& details, policy::ShardFleet& fleet) {
  fleet.onDemandOnly = toWorkload(details.onDemandOnly);
  fleet.spotAllowed = toWorkload(details.spotAllowed);
  for (const auto& group : details.waiting) fleet.waitingTasks.push_back(toTaskGroup(group));
  fleet.waitingTasksKnown = true;
}

// Applies the owner's report on a machine.
void applyLoad(const mesh::MachineLoad& load, bool booting, policy::FleetMachine& machine) {
  machine.draining = load.draining && !load.decommissioning;
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
    if (load->details)
      applyDetails(*load->details, fleet);
    else
      applySums(*load, catalog, fleet);
    fleet.neededOfferings = policy::neededOfferings(fleet.waitingTasks, catalog);
    for (const auto& machine : load->machines) reported[machine.machine] = &machine;
  }
  for (const auto& [id, entry] : clusterView.machines) {
    const auto& record = entry.record;
    if (record.shard != shard || record.phase != wire::MachinePhase::InUse) continue;
    const auto* type = findType(catalog, record.type);
    policy::FleetMachine machine{record.type, record.zone, record.spot, type ? type->size.cores : 0,
                                 true,        -1};
    double ageS = static_cast<double>(now.value - record.since.value) / kMsPerSecond;
    bool booting = type && policy::isExpectedToBoot(*type, ageS);
    auto it = reported.find(id.value);
    if (it != reported.end()) {
      applyLoad(*it->second, booting, machine);
    } else {
      // The owner does not report the machine: it is fully in use, or the owner does not know it yet.
      machine.countsAsCapacity = load || booting;
      bool tooYoungForReport = ageS < kReportDelayS;
      machine.usedCores = tooYoungForReport ? 0 : machine.cores;
      machine.inReport =
          load && load->details ? entry.version.value <= load->details->machinesVersion : !tooYoungForReport;
      machine.pinned = true;
    }
    machine.id = id;
    fleet.machines.push_back(machine);
  }
  return fleet;
}

}  // namespace cherryloft
