#include "policy/waiting_tasks.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cherryloft::policy {
namespace {

constexpr unsigned kMaxPerRequest = 50;        // machines
constexpr double kUnusedCapacityWeight = 0.1;  // of capacity beyond that of the waiting tasks, against theirs

// A machine that the owner's report does not take into account.
struct UnreportedMachine {
  const MachineType* type = nullptr;
  Zone zone;
  bool spot = false;
  Resources free;
};

std::vector<UnreportedMachine> unreportedMachines(const ShardFleet& fleet, const Catalog& catalog) {
  std::vector<UnreportedMachine> machines;
  for (const auto& machine : fleet.machines) {
    const auto* type = machine.inReport ? nullptr : findType(catalog, machine.type);
    if (!type) continue;
    machines.insert(machines.end(), machine.count, {type, machine.zone, machine.spot, type->size});
  }
  return machines;
}

bool suits(const MachineType& type, const Zone& zone, bool spot, const TaskRequirements& needs) {
  return (!spot || needs.spotAllowed) && needs.allowsZone(zone) && !typeUnsuitable(type, needs);
}

// Whether the tasks can't use every type and zone that the cloud offers. For those that can, the targets in
// cores decide which machines are needed.
bool isRestricted(const TaskGroup& group, const Catalog& catalog) {
  return std::any_of(catalog.begin(), catalog.end(), [&](const MachineType& type) {
    return typeUnsuitable(type, group.needs) ||
           !std::all_of(type.zones.begin(), type.zones.end(),
                        [&](const Zone& zone) { return group.needs.allowsZone(zone); });
  });
}

// Assigns up to `wanted` tasks of the group to machines in the zone. Returns the number assigned.
unsigned assignInZone(std::vector<UnreportedMachine>& machines, const TaskRequirements& needs,
                      const Zone& zone, unsigned wanted) {
  unsigned assigned = 0;
  for (auto& machine : machines) {
    if (machine.zone != zone || !suits(*machine.type, machine.zone, machine.spot, needs)) continue;
    auto tasks = std::min(wanted - assigned, tasksThatFit(needs.each, machine.free));
    machine.free -= needs.each * tasks;
    assigned += tasks;
  }
  return assigned;
}

// The tasks that still lack capacity, all in the zone where they are fewest.
TaskShortage shortageInOneZone(const TaskGroup& group, std::vector<UnreportedMachine>& machines) {
  TaskShortage shortage{&group, group.lacking, {}};
  const std::vector<UnreportedMachine>* bestUse = nullptr;
  std::map<Zone, std::vector<UnreportedMachine>> uses;
  for (const auto& [zone, lacking] : group.tasksByZone) {
    auto& use = uses[zone] = machines;
    auto tasks = lacking - assignInZone(use, group.needs, zone, lacking);
    shortage.tasksByZone[zone] = tasks;
    if (bestUse && tasks >= shortage.tasks) continue;
    bestUse = &use;
    shortage.tasks = tasks;
  }
  if (bestUse) machines = *bestUse;
  return shortage;
}

TaskShortage shortageInAnyZone(const TaskGroup& group, std::vector<UnreportedMachine>& machines) {
  TaskShortage shortage{&group, group.lacking, group.tasksByZone};
  for (auto& [zone, allowed] : shortage.tasksByZone) {
    auto assigned = assignInZone(machines, group.needs, zone, std::min(allowed, shortage.tasks));
    allowed -= assigned;
    shortage.tasks -= assigned;
  }
  return shortage;
}

// How many cores of the fleet's machines of that kind are in each zone.
std::map<Zone, double> coresByZone(const ShardFleet& fleet, bool spot) {
  std::map<Zone, double> cores;
  for (const auto& machine : fleet.machines)
    if (machine.spot == spot) cores[machine.zone] += machine.cores;
  return cores;
}

unsigned divideRoundingUp(std::size_t number, std::size_t by) {
  return static_cast<unsigned>((number + by - 1) / by);
}

// Machines for so many tasks of the shortage, but only one zone's share of all machines that the group lacks,
// so that capacity spreads evenly.
unsigned machinesToRequest(const TaskShortage& shortage, unsigned tasks, unsigned perMachine) {
  const auto& group = *shortage.group;
  auto count = std::min(divideRoundingUp(tasks, perMachine), kMaxPerRequest);
  if (group.oneZone) return count;
  auto share = divideRoundingUp(divideRoundingUp(group.lacking, perMachine), group.tasksByZone.size());
  return std::min(count, share);
}

// The cheapest available offering for the shortage: of equally cheap ones, in the zone with fewest cores.
std::optional<ScaleOutRequest> cheapestFor(const TaskShortage& shortage, bool spot, const ShardFleet& fleet,
                                           const Catalog& catalog, const InstanceOfferings& unavailable) {
  constexpr double kEqualCost = 1e-12;
  const auto& needs = shortage.group->needs;
  auto zoneCores = coresByZone(fleet, spot);
  std::optional<ScaleOutRequest> best;
  double bestCost = 0;
  for (const auto& type : catalog) {
    if (typeUnsuitable(type, needs)) continue;
    auto perMachine = tasksThatFit(needs.each, type.size);
    for (const auto& zone : type.zones) {
      auto allowed = shortage.tasksByZone.find(zone);
      InstanceOffering offering{type.name, zone, spot};
      if (allowed == shortage.tasksByZone.end() || allowed->second == 0) continue;
      if (unavailable.count(offering) > 0) continue;
      auto tasks = std::min(allowed->second, shortage.tasks);
      double used = std::min(perMachine, tasks);
      double cost = (spot ? type.spotPrice : type.price) /
                    (used + kUnusedCapacityWeight * std::max(0.0, perMachine - used));
      bool better = !best || cost < bestCost - kEqualCost ||
                    (cost < bestCost + kEqualCost && zoneCores[zone] < zoneCores[best->offering.zone]);
      if (!better) continue;
      auto count = machinesToRequest(shortage, tasks, perMachine);
      best = ScaleOutRequest{offering, count, needs.each.cores * perMachine * count};
      bestCost = cost;
    }
  }
  return best;
}

std::optional<ScaleOutRequest> requestFor(const TaskShortage& shortage, const ShardFleet& fleet,
                                          const Catalog& catalog, const InstanceOfferings& unavailable) {
  const auto& group = *shortage.group;
  if (!group.needs.spotAllowed) return cheapestFor(shortage, false, fleet, catalog, unavailable);
  if (auto request = cheapestFor(shortage, true, fleet, catalog, unavailable)) return request;
  // Without spot machines tasks make way for each other: they get one on-demand machine at a time.
  bool anyOnTheWay = shortage.tasks < group.lacking;
  if (anyOnTheWay && !group.gang) return std::nullopt;
  auto request = cheapestFor(shortage, false, fleet, catalog, unavailable);
  if (request && !group.gang) {
    request->cores /= request->count;
    request->count = 1;
  }
  return request;
}

// The zones of a group that needs one, each by itself, those with the fewest lacking tasks first.
std::vector<TaskShortage> alternativesOf(const TaskShortage& shortage) {
  if (!shortage.group->oneZone) return {shortage};
  std::vector<TaskShortage> alternatives;
  for (const auto& [zone, tasks] : shortage.tasksByZone)
    alternatives.push_back({shortage.group, tasks, {{zone, tasks}}});
  std::stable_sort(alternatives.begin(), alternatives.end(),
                   [](const auto& a, const auto& b) { return a.tasks < b.tasks; });
  return alternatives;
}

}  // namespace

InstanceOfferings neededOfferings(const std::vector<TaskGroup>& groups, const Catalog& catalog) {
  InstanceOfferings offerings;
  for (const auto& group : groups) {
    if (group.lacking == 0 && !isRestricted(group, catalog)) continue;
    for (const auto& type : catalog)
      for (const auto& zone : type.zones)
        for (bool spot : {false, true})
          if (suits(type, zone, spot, group.needs)) offerings.insert({type.name, zone, spot});
  }
  return offerings;
}

bool isNeededByWaitingTasks(const ShardFleet& fleet, const FleetMachine& machine) {
  if (fleet.neededOfferings.empty()) return false;
  return fleet.neededOfferings.count({machine.type, machine.zone, machine.spot}) > 0;
}

bool suitsWaitingTasks(const ShardFleet& fleet, const Catalog& catalog, const InstanceOffering& offering) {
  if (!fleet.waitingTasksKnown) return true;
  const auto* type = findType(catalog, offering.type);
  return type && std::any_of(fleet.waitingTasks.begin(), fleet.waitingTasks.end(), [&](const auto& group) {
           return suits(*type, offering.zone, offering.spot, group.needs);
         });
}

std::vector<TaskShortage> shortagesOf(const ShardFleet& fleet, const Catalog& catalog) {
  auto machines = unreportedMachines(fleet, catalog);
  std::vector<TaskShortage> shortages;
  for (const auto& group : fleet.waitingTasks) {
    if (group.lacking == 0) continue;
    auto shortage = group.oneZone ? shortageInOneZone(group, machines) : shortageInAnyZone(group, machines);
    if (shortage.tasks > 0) shortages.push_back(std::move(shortage));
  }
  return shortages;
}

std::optional<ScaleOutRequest> requestForShortages(const std::vector<TaskShortage>& shortages,
                                                   const ShardFleet& fleet, const Catalog& catalog,
                                                   const InstanceOfferings& unavailable) {
  for (const auto& shortage : shortages)
    for (const auto& alternative : alternativesOf(shortage))
      if (auto request = requestFor(alternative, fleet, catalog, unavailable)) return request;
  return std::nullopt;
}

std::optional<std::size_t> drainToCancel(const std::vector<TaskShortage>& shortages, const ShardFleet& fleet,
                                         const Catalog& catalog) {
  for (const auto& shortage : shortages) {
    const auto& needs = shortage.group->needs;
    for (std::size_t i = 0; i < fleet.machines.size(); ++i) {
      const auto& machine = fleet.machines[i];
      const auto* type = findType(catalog, machine.type);
      bool busy = machine.draining && machine.idleS < 0;
      if (!busy || !type || !suits(*type, machine.zone, machine.spot, needs)) continue;
      if (needs.each.cores <= machine.cores - machine.usedCores + kResourceTolerance) return i;
    }
  }
  return std::nullopt;
}

}  // namespace cherryloft::policy
