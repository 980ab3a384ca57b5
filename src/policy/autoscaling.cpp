#include "policy/autoscaling.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "policy/waiting_tasks.h"

namespace cherryloft::policy {
namespace {

constexpr double kShortageTolerance = 0.5;     // cores below a target that trigger no request
constexpr double kIdleBootTimes = 1.0;         // boot times for which an idle machine is kept
constexpr double kMinBilledS = 55;             // the cloud charges for at least one minute
constexpr double kMaxPerRequest = 50;          // machines in one request
constexpr double kBootTimeoutBootTimes = 2.0;  // a machine that boots for longer is not expected any more
constexpr double kBootTimeoutMarginS = 5;
// Headroom above the target that must remain when a machine is given up, as a fraction of the target: in a
// small fleet, and in a large one, where two machines are added.
constexpr double kHeadroomSmallFleet = 0.1;
constexpr double kHeadroomLargeFleet = 0.02;
constexpr double kHeadroomMachines = 2;
// Several machines are drained at a time only if the capacity exceeds this multiple of the target by a number
// of machines as well: in a small fleet replicas would be moved for no gain.
constexpr double kOversizedFactor = 1.35;
constexpr double kOversizedMachines = 8;

struct Capacity {
  double onDemand = 0;  // cores
  double spot = 0;      // cores
};

Capacity capacityOf(const ShardFleet& fleet) {
  Capacity capacity;
  for (const auto& machine : fleet.machines)
    if (machine.countsAsCapacity) (machine.spot ? capacity.spot : capacity.onDemand) += machine.cores;
  return capacity;
}

// Headroom above a target of `total` cores that must remain when a machine is given up: a tenth in a small
// fleet, little more than two machines in a large one, whose load is steadier.
double headroom(double total, const Catalog& catalog) {
  double largest = 0;
  for (const auto& type : catalog) largest = std::max(largest, type.size.cores);
  return std::min(kHeadroomSmallFleet * total, kHeadroomLargeFleet * total + kHeadroomMachines * largest);
}

// Cores of a machine that the workload can use before its memory is exhausted; 0 if a task does not fit.
double usableCores(const MachineType& type, const Workload& workload) {
  if (workload.largestTask > type.size.cores + 1e-9 ||
      workload.largestTask * workload.ramPerCore > type.size.ram + 1e-9)
    return 0;
  return workload.ramPerCore > 0 ? std::min(type.size.cores, type.size.ram / workload.ramPerCore)
                                 : type.size.cores;
}

bool allowsType(const Workload& workload, const std::string& type) {
  return workload.types.empty() ||
         std::find(workload.types.begin(), workload.types.end(), type) != workload.types.end();
}

// The cheapest available offering for the missing cores; of equally cheap ones, in the zone with
// fewest cores.
std::optional<ScaleOutRequest> cheapestRequest(const ShardFleet& fleet, const Workload& workload,
                                               double missing, bool spot, const Catalog& catalog,
                                               const InstanceOfferings& unavailable) {
  std::map<Zone, double> zoneCores;  // on machines of the same kind, spot or on-demand
  for (const auto& machine : fleet.machines)
    if (machine.spot == spot) zoneCores[machine.zone] += machine.cores;
  std::optional<ScaleOutRequest> best;
  double bestCost = 0;
  double bestZoneCores = 0;
  for (const auto& type : catalog) {
    double usable = allowsType(workload, type.name) ? usableCores(type, workload) : 0;
    if (usable <= 0) continue;
    double price = spot ? type.spotPrice : type.price;
    // Cores beyond the missing ones count half.
    double effectiveCores = std::min(usable, missing) + 0.5 * std::max(0.0, usable - missing);
    double cost = price / effectiveCores;
    for (const auto& zone : type.zones) {
      InstanceOffering offering{type.name, zone, spot};
      if (unavailable.count(offering) > 0) continue;
      bool better =
          !best || cost < bestCost - 1e-12 || (cost < bestCost + 1e-12 && zoneCores[zone] < bestZoneCores);
      if (!better) continue;
      // Requests only one zone's share, so that capacity spreads evenly over zones.
      auto zoneShare = missing / usable / static_cast<double>(type.zones.size());
      auto count = static_cast<unsigned>(std::clamp(std::floor(zoneShare), 1.0, kMaxPerRequest));
      best = ScaleOutRequest{offering, count, usable * count};
      bestCost = cost;
      bestZoneCores = zoneCores[zone];
    }
  }
  return best;
}

}  // namespace

bool isExpectedToBoot(const MachineType& type, double ageS) {
  return ageS < kBootTimeoutBootTimes * type.bootSeconds + kBootTimeoutMarginS;
}

CapacityTargets computeCapacityTargets(const ShardFleet& fleet, const Catalog& catalog, double spareFraction,
                                       double maxQueueWaitS) {
  double bootSeconds = 0;
  double priceRatio = 0;  // on-demand to spot price, the highest of all types
  for (const auto& type : catalog) {
    bootSeconds += type.bootSeconds / static_cast<double>(catalog.size());
    if (type.spotPrice > 0) priceRatio = std::max(priceRatio, type.price / type.spotPrice);
  }
  double demand = fleet.onDemandOnly.used + fleet.onDemandOnly.waiting + fleet.spotAllowed.used +
                  fleet.spotAllowed.waiting;
  CapacityTargets target;
  target.onDemand = fleet.onDemandOnly.used + fleet.onDemandOnly.waiting + fleet.onDemandOnly.largestTask +
                    fleet.onDemandOnly.arriving * bootSeconds;
  // Arrays, which make up the spot work, finish about as fast as they arrive: no arrivals are added for them.
  target.total = demand + fleet.onDemandOnly.arriving * bootSeconds + fleet.onDemandOnly.largestTask +
                 fleet.spotAllowed.largestTask;
  double spotWork = fleet.spotAllowed.used + fleet.spotAllowed.waiting;
  double largest = 0;
  for (const auto& type : catalog) largest = std::max(largest, type.size.cores);
  target.bulkDrainThreshold = kOversizedFactor * target.total + kOversizedMachines * largest;
  target.totalWithSpot = target.total + spotWork * spareFraction * std::max(0.0, priceRatio - 1);
  // Tasks free capacity at least as fast as their mean run time implies for the present or booting machines.
  double turnover = fleet.spotAllowed.departing;
  if (fleet.spotAllowed.runS > 0)
    turnover = std::max(turnover, std::min(spotWork, capacityCores(fleet) - fleet.onDemandOnly.used) /
                                      fleet.spotAllowed.runS);
  target.total -= std::clamp(turnover * maxQueueWaitS, 0.0, spotWork);
  return target;
}

bool isBelowTarget(const ShardFleet& fleet, const CapacityTargets& target) {
  auto have = capacityOf(fleet);
  return target.onDemand - have.onDemand > kShortageTolerance ||
         target.total - have.onDemand - have.spot > kShortageTolerance;
}

std::optional<ScaleOutRequest> nextScaleOut(const ShardFleet& fleet, const CapacityTargets& target,
                                            const Catalog& catalog, const InstanceOfferings& unavailable) {
  auto have = capacityOf(fleet);
  if (target.onDemand - have.onDemand > kShortageTolerance) {
    auto request = cheapestRequest(fleet, fleet.onDemandOnly, target.onDemand - have.onDemand, false, catalog,
                                   unavailable);
    if (request) return request;
  }
  double capacity = have.onDemand + have.spot;
  const auto& workload = fleet.spotAllowed.used + fleet.spotAllowed.waiting + fleet.spotAllowed.arriving > 0
                             ? fleet.spotAllowed
                             : fleet.onDemandOnly;
  if (&workload == &fleet.spotAllowed && target.totalWithSpot - capacity > kShortageTolerance)
    if (auto request =
            cheapestRequest(fleet, workload, target.totalWithSpot - capacity, true, catalog, unavailable))
      return request;
  if (target.total - capacity <= kShortageTolerance) return std::nullopt;
  return cheapestRequest(fleet, workload, target.total - capacity, false, catalog, unavailable);
}

double capacityCores(const ShardFleet& fleet) {
  auto capacity = capacityOf(fleet);
  return capacity.onDemand + capacity.spot;
}

double targetToCapacityRatio(const ShardFleet& fleet, const CapacityTargets& target) {
  return target.total / std::max(capacityCores(fleet), 1.0);
}

std::optional<ScaleOutRequest> cheaperReplacement(const ShardFleet& fleet, const CapacityTargets& target,
                                                  const Catalog& catalog,
                                                  const InstanceOfferings& unavailable, double minAgeS) {
  constexpr double kMaxPriceFraction = 0.6;  // of the replaced machine's price
  constexpr unsigned kMaxReplacements = 4;   // machines that replace one
  auto have = capacityOf(fleet);
  for (const auto& machine : fleet.machines) {
    const auto* type = findType(catalog, machine.type);
    if (machine.spot || machine.pinned || !machine.countsAsCapacity || !type || machine.ageS < minAgeS)
      continue;
    if (isNeededByWaitingTasks(fleet, machine)) continue;
    double missing = std::max(
        target.onDemand - (have.onDemand - machine.cores),
        target.total + headroom(target.total, catalog) - (have.onDemand + have.spot - machine.cores));
    if (missing <= kShortageTolerance) continue;
    auto request = cheapestRequest(fleet, fleet.onDemandOnly, missing, false, catalog, unavailable);
    const auto* small = request ? findType(catalog, request->offering.type) : nullptr;
    if (!small) continue;
    request->count = static_cast<unsigned>(std::ceil(missing / small->size.cores - 1e-9));
    request->cores = request->count * small->size.cores;
    if (request->count <= kMaxReplacements && small->price * request->count < kMaxPriceFraction * type->price)
      return request;
  }
  return std::nullopt;
}

std::optional<std::size_t> machineToRelease(const ShardFleet& fleet, const CapacityTargets& target,
                                            const Catalog& catalog, double minIdleS,
                                            double releasableSpotCores) {
  auto have = capacityOf(fleet);
  std::optional<std::size_t> best;
  double bestPrice = 0;
  for (std::size_t i = 0; i < fleet.machines.size(); ++i) {
    const auto& machine = fleet.machines[i];
    if (!machine.countsAsCapacity || machine.idleS < minIdleS || isNeededByWaitingTasks(fleet, machine))
      continue;
    const auto* type = findType(catalog, machine.type);
    // If the capacity were needed again, a new machine would have to boot, and would be paid for meanwhile.
    // On-demand machines are not kept for that while there is ample capacity.
    bool ampleCapacity = !machine.spot && have.onDemand + have.spot - machine.cores >
                                              target.total + headroom(target.total, catalog);
    double keepS = ampleCapacity ? 0 : kIdleBootTimes * (type ? type->bootSeconds : 0);
    if (minIdleS > 0 && (machine.idleS < keepS || machine.ageS < kMinBilledS)) continue;
    if (have.onDemand + have.spot - machine.cores < target.total ||
        (machine.spot && machine.cores > releasableSpotCores))
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
                                         const Catalog& catalog, double minAgeS, std::size_t maxMachines) {
  bool anyIdle = machineToRelease(fleet, target, catalog, 0, capacityCores(fleet)).has_value();
  auto have = capacityOf(fleet);
  std::vector<std::pair<double, std::size_t>> choices;  // price per used core, index
  for (std::size_t i = 0; i < fleet.machines.size(); ++i) {
    const auto& machine = fleet.machines[i];
    if (!machine.countsAsCapacity) continue;
    // Idle machines are released first and need no draining: their capacity is not counted on.
    if (machine.idleS >= 0) (machine.spot ? have.spot : have.onDemand) -= machine.cores;
    if (machine.draining || machine.pinned || machine.idleS >= 0 || machine.ageS < minAgeS) continue;
    if (isNeededByWaitingTasks(fleet, machine)) continue;
    if (const auto* type = findType(catalog, machine.type))
      choices.emplace_back((machine.spot ? type->spotPrice : type->price) / (machine.usedCores + 1), i);
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::size_t> chosen;
  for (const auto& [_, i] : choices) {
    if (chosen.size() >= maxMachines) break;
    const auto& machine = fleet.machines[i];
    double required = machine.spot ? target.totalWithSpot : target.total;
    double remaining = have.onDemand + have.spot - machine.cores;
    if (remaining < required + headroom(required, catalog)) continue;
    if (!machine.spot && have.onDemand - machine.cores < target.onDemand) continue;
    // Near the target one machine at a time: with bursty arrivals the capacity may soon be needed again.
    bool oneAtATime = remaining < target.bulkDrainThreshold;
    if (oneAtATime && (anyIdle || !chosen.empty())) continue;
    (machine.spot ? have.spot : have.onDemand) -= machine.cores;
    chosen.push_back(i);
  }
  return chosen;
}

}  // namespace cherryloft::policy
