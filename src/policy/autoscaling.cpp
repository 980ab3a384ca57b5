#include "policy/autoscaling.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cherryloft::policy {
namespace {

constexpr double kEnough = 0.5;        // cores
constexpr double kIdleBoots = 1.0;     // boot times for which an idle machine is kept
constexpr double kPaidS = 55;          // the cloud charges a minute at least
constexpr double kMaxPerRequest = 50;  // machines that one request may ask for
constexpr double kSurplus =
    0.1;  // fraction of the total that must be left over before a busy machine is drained
// A fleet is far too large beyond so many times what is there and comes, and some machines: in a small one
// replicas would move in vain.
constexpr double kOversizedFactor = 1.35;
constexpr double kOversizedMachines = 8;
constexpr double kSteadySurplus = 0.02;  // the same in a large fleet, and two machines

struct Capacity {
  double onDemand = 0;  // cores
  double spot = 0;      // cores
};

Capacity capacityOf(const ShardFleet& fleet) {
  Capacity capacity;
  for (const auto& machine : fleet.machines)
    if (machine.counts) (machine.spot ? capacity.spot : capacity.onDemand) += machine.cores;
  return capacity;
}

// What must be left over before a machine is given up: a tenth in a small fleet, hardly more than two
// machines in a large one, whose load is steadier.
double surplus(double total, const Catalog& catalog) {
  double largest = 0;
  for (const auto& type : catalog) largest = std::max(largest, type.size.cores);
  return std::min(kSurplus * total, kSteadySurplus * total + 2 * largest);
}

// Cores of a machine that such work can fill before its memory is full.
double usableCores(const MachineType& type, const Workload& workload) {
  if (workload.largestTask > type.size.cores + 1e-9 ||
      workload.largestTask * workload.ramPerCore > type.size.ram + 1e-9)
    return 0;
  return workload.ramPerCore > 0 ? std::min(type.size.cores, type.size.ram / workload.ramPerCore)
                                 : type.size.cores;
}

bool listed(const Workload& workload, const std::string& type) {
  return workload.types.empty() ||
         std::find(workload.types.begin(), workload.types.end(), type) != workload.types.end();
}

std::optional<ScaleOutRequest> cheapest(const ShardFleet& fleet, const Workload& workload, double missing,
                                        bool spot, const Catalog& catalog,
                                        const std::set<InstanceOffering>& unavailable) {
  std::map<Zone, double> inZone;  // cores of that kind
  for (const auto& machine : fleet.machines)
    if (machine.spot == spot) inZone[machine.zone] += machine.cores;
  std::optional<ScaleOutRequest> best;
  double bestCost = 0;
  double bestZone = 0;
  for (const auto& type : catalog) {
    double usable = listed(workload, type.name) ? usableCores(type, workload) : 0;
    if (usable <= 0) continue;
    double price = spot ? type.spotPrice : type.price;
    // A machine larger than what is missing is worth its rest only in part.
    double worth = std::min(usable, missing) + 0.5 * std::max(0.0, usable - missing);
    double cost = price / worth;
    for (const auto& zone : type.zones) {
      InstanceOffering offering{type.name, zone, spot};
      if (unavailable.count(offering) > 0) continue;
      bool better = !best || cost < bestCost - 1e-12 || (cost < bestCost + 1e-12 && inZone[zone] < bestZone);
      if (!better) continue;
      // Part of it only, so that the zones fill evenly.
      auto part = missing / usable / static_cast<double>(type.zones.size());
      auto count = static_cast<unsigned>(std::clamp(std::floor(part), 1.0, kMaxPerRequest));
      best = ScaleOutRequest{offering, count, usable * count};
      bestCost = cost;
      bestZone = inZone[zone];
    }
  }
  return best;
}

}  // namespace

CapacityTargets targets(const ShardFleet& fleet, const Catalog& catalog, double spareFraction,
                        double patienceS) {
  double bootSeconds = 0;
  double ratio = 0;  // of ordinary to spot price
  for (const auto& type : catalog) {
    bootSeconds += type.bootSeconds / static_cast<double>(catalog.size());
    if (type.spotPrice > 0) ratio = std::max(ratio, type.price / type.spotPrice);
  }
  double need = fleet.onDemandOnly.used + fleet.onDemandOnly.waiting + fleet.spotAllowed.used +
                fleet.spotAllowed.waiting;
  CapacityTargets target;
  target.onDemand = fleet.onDemandOnly.used + fleet.onDemandOnly.waiting + fleet.onDemandOnly.largestTask +
                    fleet.onDemandOnly.arriving * bootSeconds;
  // Arrays end about as fast as they come, so what is there tells what will be needed.
  target.total = need + fleet.onDemandOnly.arriving * bootSeconds + fleet.onDemandOnly.largestTask +
                 fleet.spotAllowed.largestTask;
  double spotWork = fleet.spotAllowed.used + fleet.spotAllowed.waiting;
  double largest = 0;
  for (const auto& type : catalog) largest = std::max(largest, type.size.cores);
  target.busy = kOversizedFactor * target.total + kOversizedMachines * largest;
  target.spotTarget = target.total + spotWork * spareFraction * std::max(0.0, ratio - 1);
  // What is there, or about to be, frees capacity at least as fast as its tasks take on average.
  double turnover = fleet.spotAllowed.departing;
  if (fleet.spotAllowed.runS > 0)
    turnover = std::max(
        turnover, std::min(spotWork, coresOf(fleet) - fleet.onDemandOnly.used) / fleet.spotAllowed.runS);
  target.total -= std::clamp(turnover * patienceS, 0.0, spotWork);
  return target;
}

bool isShort(const ShardFleet& fleet, const CapacityTargets& target) {
  auto have = capacityOf(fleet);
  return target.onDemand - have.onDemand > kEnough || target.total - have.onDemand - have.spot > kEnough;
}

std::optional<ScaleOutRequest> nextScaleOut(const ShardFleet& fleet, const CapacityTargets& target,
                                            const Catalog& catalog,
                                            const std::set<InstanceOffering>& unavailable) {
  auto have = capacityOf(fleet);
  for (const auto* workload : {&fleet.onDemandOnly, &fleet.spotAllowed}) {
    auto covered = [&](const Zone& zone) {
      return std::any_of(fleet.machines.begin(), fleet.machines.end(), [&](const auto& machine) {
        // One that boots is not used yet; those that are up and full help nobody.
        return machine.counts && machine.zone == zone && (!machine.spot || workload == &fleet.spotAllowed) &&
               machine.cores - machine.usedCores >= workload->largestTask - kResourceTolerance;
      });
    };
    if (workload->stuckZones.empty() ||
        std::any_of(workload->stuckZones.begin(), workload->stuckZones.end(), covered))
      continue;
    auto elsewhere = unavailable;
    for (const auto& type : catalog)
      for (const auto& zone : type.zones)
        for (bool spot : {false, true})
          if (std::find(workload->stuckZones.begin(), workload->stuckZones.end(), zone) ==
              workload->stuckZones.end())
            elsewhere.insert({type.name, zone, spot});
    if (auto request = cheapest(fleet, *workload, workload->largestTask, false, catalog, elsewhere))
      return request;
  }
  if (target.onDemand - have.onDemand > kEnough) {
    auto request =
        cheapest(fleet, fleet.onDemandOnly, target.onDemand - have.onDemand, false, catalog, unavailable);
    if (request) return request;
  }
  double all = have.onDemand + have.spot;
  const auto& kind = fleet.spotAllowed.used + fleet.spotAllowed.waiting + fleet.spotAllowed.arriving > 0
                         ? fleet.spotAllowed
                         : fleet.onDemandOnly;
  if (&kind == &fleet.spotAllowed && target.spotTarget - all > kEnough)
    if (auto request = cheapest(fleet, kind, target.spotTarget - all, true, catalog, unavailable))
      return request;
  if (target.total - all <= kEnough) return std::nullopt;
  return cheapest(fleet, kind, target.total - all, false, catalog, unavailable);
}

double coresOf(const ShardFleet& fleet) {
  auto capacity = capacityOf(fleet);
  return capacity.onDemand + capacity.spot;
}

double pressure(const ShardFleet& fleet, const CapacityTargets& target) {
  return target.total / std::max(coresOf(fleet), 1.0);
}

std::optional<ScaleOutRequest> replacement(const ShardFleet& fleet, const CapacityTargets& target,
                                           const Catalog& catalog,
                                           const std::set<InstanceOffering>& unavailable, double minAgeS) {
  constexpr double kWorthReplacing = 0.6;  // of the price, at most
  auto have = capacityOf(fleet);
  for (const auto& machine : fleet.machines) {
    const auto* type = findType(catalog, machine.type);
    if (machine.spot || machine.pinned || !machine.counts || !type || machine.ageS < minAgeS) continue;
    double missing =
        std::max(target.onDemand - (have.onDemand - machine.cores),
                 target.total + surplus(target.total, catalog) - (have.onDemand + have.spot - machine.cores));
    if (missing <= kEnough) continue;
    auto request = cheapest(fleet, fleet.onDemandOnly, missing, false, catalog, unavailable);
    const auto* small = request ? findType(catalog, request->offer.type) : nullptr;
    if (!small) continue;
    request->count = static_cast<unsigned>(std::ceil(missing / small->size.cores - 1e-9));
    request->cores = request->count * small->size.cores;
    if (request->count <= 4 && small->price * request->count < kWorthReplacing * type->price) return request;
  }
  return std::nullopt;
}

std::optional<std::size_t> machineToRelease(const ShardFleet& fleet, const CapacityTargets& target,
                                            const Catalog& catalog, double minIdleS, double spareSpot) {
  auto have = capacityOf(fleet);
  std::optional<std::size_t> best;
  double bestPrice = 0;
  for (std::size_t i = 0; i < fleet.machines.size(); ++i) {
    const auto& machine = fleet.machines[i];
    if (!machine.counts || machine.idleS < minIdleS) continue;
    const auto* type = findType(catalog, machine.type);
    // Where it is wanted again, another would have to boot, and is paid for meanwhile. A dear machine is not
    // kept for that while there is plenty.
    bool plenty = !machine.spot &&
                  have.onDemand + have.spot - machine.cores > target.total + surplus(target.total, catalog);
    double keepS = plenty ? 0 : kIdleBoots * (type ? type->bootSeconds : 0);
    if (minIdleS > 0 && (machine.idleS < keepS || machine.ageS < kPaidS)) continue;
    if (have.onDemand + have.spot - machine.cores < target.total ||
        (machine.spot && machine.cores > spareSpot))
      continue;
    if (!machine.spot && have.onDemand - machine.cores < target.onDemand) continue;
    double price =
        type && machine.cores > 0 ? (machine.spot ? type->spotPrice : type->price) / machine.cores : 0;
    if (best && price <= bestPrice) continue;
    best = i;
    bestPrice = price;
  }
  return best;
}

std::vector<std::size_t> machinesToDrain(const ShardFleet& fleet, const CapacityTargets& target,
                                         const Catalog& catalog, double minAgeS, std::size_t most) {
  bool anyIdle = machineToRelease(fleet, target, catalog, 0, coresOf(fleet)).has_value();
  auto have = capacityOf(fleet);
  std::vector<std::pair<double, std::size_t>> choices;  // what is gained by each
  for (std::size_t i = 0; i < fleet.machines.size(); ++i) {
    const auto& machine = fleet.machines[i];
    if (!machine.counts) continue;
    // Idle machines will go first; nothing need be moved for them.
    if (machine.idleS >= 0) (machine.spot ? have.spot : have.onDemand) -= machine.cores;
    if (machine.draining || machine.pinned || machine.idleS >= 0 || machine.ageS < minAgeS) continue;
    // Dear machines with little on them first.
    if (const auto* type = findType(catalog, machine.type))
      choices.emplace_back((machine.spot ? type->spotPrice : type->price) / (machine.usedCores + 1), i);
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::size_t> chosen;
  for (const auto& [_, i] : choices) {
    if (chosen.size() >= most) break;
    const auto& machine = fleet.machines[i];
    double keep = machine.spot ? target.spotTarget : target.total;
    double left = have.onDemand + have.spot - machine.cores;
    if (left < keep + surplus(keep, catalog)) continue;
    if (!machine.spot && have.onDemand - machine.cores < target.onDemand) continue;
    // Near the target one at a time: what is drained in vain is missed where work comes in bursts.
    bool single = left < target.busy;
    if (single && (anyIdle || !chosen.empty())) continue;
    (machine.spot ? have.spot : have.onDemand) -= machine.cores;
    chosen.push_back(i);
  }
  return chosen;
}

}  // namespace cherryloft::policy
