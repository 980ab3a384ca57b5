#include "policy/autoscaling.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cherryloft::policy {
namespace {

constexpr double kEnough = 0.5;     // cores
constexpr double kIdleBoots = 1.0;  // boot times for which an idle machine is kept
constexpr double kPaidS = 55;       // the cloud charges a minute at least
constexpr double kMostAtOnce = 50;  // machines that one request may ask for
constexpr double kSurplus = 0.1;  // share of the total that must be left over before a machine empties itself
// A fleet is far too large beyond so many times what is there and comes, and some machines: in a small one
// replicas would move in vain.
constexpr double kBusyRoom = 1.35;
constexpr double kBusyMachines = 8;
constexpr double kSteadySurplus = 0.02;  // the same in a large fleet, and two machines

struct Capacity {
  double ordinary = 0, spot = 0;
};

Capacity capacityOf(const ShardFleet& f) {
  Capacity c;
  for (const auto& h : f.machines)
    if (h.counts) (h.spot ? c.spot : c.ordinary) += h.cores;
  return c;
}

// What must be left over before a machine is given up: a tenth in a small fleet, hardly more than two
// machines in a large one, whose load is steadier.
double surplus(double total, const Catalog& catalog) {
  double largest = 0;
  for (const auto& t : catalog) largest = std::max(largest, t.size.cores);
  return std::min(kSurplus * total, kSteadySurplus * total + 2 * largest);
}

// Cores of a machine that such work can fill before its memory is full.
double usableCores(const MachineType& t, const Work& w) {
  if (w.largestTask > t.size.cores + 1e-9 || w.largestTask * w.ramPerCore > t.size.ram + 1e-9) return 0;
  return w.ramPerCore > 0 ? std::min(t.size.cores, t.size.ram / w.ramPerCore) : t.size.cores;
}

bool listed(const Work& w, const std::string& type) {
  return w.types.empty() || std::find(w.types.begin(), w.types.end(), type) != w.types.end();
}

std::optional<ScaleOutRequest> cheapest(const ShardFleet& f, const Work& w, double missing, bool spot,
                                        const Catalog& catalog,
                                        const std::set<InstanceOffering>& unavailable) {
  std::map<Zone, double> inZone;  // cores of that kind
  for (const auto& h : f.machines)
    if (h.spot == spot) inZone[h.zone] += h.cores;
  std::optional<ScaleOutRequest> best;
  double bestCost = 0;
  double bestZone = 0;
  for (const auto& t : catalog) {
    double usable = listed(w, t.name) ? usableCores(t, w) : 0;
    if (usable <= 0) continue;
    double price = spot ? t.spotPrice : t.price;
    // A machine larger than what is missing is worth its rest only in part.
    double worth = std::min(usable, missing) + 0.5 * std::max(0.0, usable - missing);
    double cost = price / worth;
    for (const auto& z : t.zones) {
      InstanceOffering o{t.name, z, spot};
      if (unavailable.count(o) > 0) continue;
      bool better = !best || cost < bestCost - 1e-12 || (cost < bestCost + 1e-12 && inZone[z] < bestZone);
      if (!better) continue;
      // Part of it only, so that the zones fill evenly.
      auto part = missing / usable / static_cast<double>(t.zones.size());
      auto count = static_cast<unsigned>(std::clamp(std::floor(part), 1.0, kMostAtOnce));
      best = ScaleOutRequest{o, count, usable * count};
      bestCost = cost;
      bestZone = inZone[z];
    }
  }
  return best;
}

}  // namespace

CapacityTargets targets(const ShardFleet& f, const Catalog& catalog, double spareFraction, double patienceS) {
  double bootS = 0, ratio = 0;  // ratio: ordinary to spot price
  for (const auto& t : catalog) {
    bootS += t.bootS / static_cast<double>(catalog.size());
    if (t.spotPrice > 0) ratio = std::max(ratio, t.price / t.spotPrice);
  }
  double need = f.onDemandOnly.used + f.onDemandOnly.waiting + f.spotAllowed.used + f.spotAllowed.waiting;
  CapacityTargets t;
  t.ordinary = f.onDemandOnly.used + f.onDemandOnly.waiting + f.onDemandOnly.largestTask +
               f.onDemandOnly.arriving * bootS;
  // Arrays end about as fast as they come, so what is there tells what will be needed.
  t.total = need + f.onDemandOnly.arriving * bootS + f.onDemandOnly.largestTask + f.spotAllowed.largestTask;
  double spotAllowed = f.spotAllowed.used + f.spotAllowed.waiting;
  double largest = 0;
  for (const auto& type : catalog) largest = std::max(largest, type.size.cores);
  t.busy = kBusyRoom * t.total + kBusyMachines * largest;
  t.spotTarget = t.total + spotAllowed * spareFraction * std::max(0.0, ratio - 1);
  // What is there, or about to be, frees room at least as fast as its tasks take on average.
  double turnover = f.spotAllowed.departing;
  if (f.spotAllowed.runS > 0)
    turnover =
        std::max(turnover, std::min(spotAllowed, coresOf(f) - f.onDemandOnly.used) / f.spotAllowed.runS);
  t.total -= std::clamp(turnover * patienceS, 0.0, spotAllowed);
  return t;
}

bool isShort(const ShardFleet& f, const CapacityTargets& t) {
  auto have = capacityOf(f);
  return t.ordinary - have.ordinary > kEnough || t.total - have.ordinary - have.spot > kEnough;
}

std::optional<ScaleOutRequest> rent(const ShardFleet& f, const CapacityTargets& t, const Catalog& catalog,
                                    const std::set<InstanceOffering>& unavailable) {
  auto have = capacityOf(f);
  for (const auto* w : {&f.onDemandOnly, &f.spotAllowed}) {
    auto covered = [&](const Zone& z) {
      return std::any_of(f.machines.begin(), f.machines.end(), [&](const auto& h) {
        // One that boots is not used yet; those that are up and full help nobody.
        return h.counts && h.zone == z && (!h.spot || w == &f.spotAllowed) &&
               h.cores - h.usedCores >= w->largestTask - kResourceSlack;
      });
    };
    if (w->stuckZones.empty() || std::any_of(w->stuckZones.begin(), w->stuckZones.end(), covered)) continue;
    auto elsewhere = unavailable;
    for (const auto& t : catalog)
      for (const auto& z : t.zones)
        for (bool spot : {false, true})
          if (std::find(w->stuckZones.begin(), w->stuckZones.end(), z) == w->stuckZones.end())
            elsewhere.insert({t.name, z, spot});
    if (auto request = cheapest(f, *w, w->largestTask, false, catalog, elsewhere)) return request;
  }
  if (t.ordinary - have.ordinary > kEnough) {
    auto w = cheapest(f, f.onDemandOnly, t.ordinary - have.ordinary, false, catalog, unavailable);
    if (w) return w;
  }
  double all = have.ordinary + have.spot;
  const auto& kind = f.spotAllowed.used + f.spotAllowed.waiting + f.spotAllowed.arriving > 0 ? f.spotAllowed
                                                                                             : f.onDemandOnly;
  if (&kind == &f.spotAllowed && t.spotTarget - all > kEnough)
    if (auto w = cheapest(f, kind, t.spotTarget - all, true, catalog, unavailable)) return w;
  if (t.total - all <= kEnough) return std::nullopt;
  return cheapest(f, kind, t.total - all, false, catalog, unavailable);
}

double coresOf(const ShardFleet& f) {
  auto c = capacityOf(f);
  return c.ordinary + c.spot;
}

double pressure(const ShardFleet& f, const CapacityTargets& t) { return t.total / std::max(coresOf(f), 1.0); }

std::optional<ScaleOutRequest> replacement(const ShardFleet& f, const CapacityTargets& t,
                                           const Catalog& catalog,
                                           const std::set<InstanceOffering>& unavailable, double minAgeS) {
  constexpr double worthIt = 0.6;  // of the price, at most
  auto have = capacityOf(f);
  for (const auto& h : f.machines) {
    const auto* type = findType(catalog, h.type);
    if (h.spot || h.pinned || !h.counts || !type || h.ageS < minAgeS) continue;
    double missing = std::max(t.ordinary - (have.ordinary - h.cores),
                              t.total + surplus(t.total, catalog) - (have.ordinary + have.spot - h.cores));
    if (missing <= kEnough) continue;
    auto w = cheapest(f, f.onDemandOnly, missing, false, catalog, unavailable);
    const auto* small = w ? findType(catalog, w->offer.type) : nullptr;
    if (!small) continue;
    w->count = static_cast<unsigned>(std::ceil(missing / small->size.cores - 1e-9));
    w->cores = w->count * small->size.cores;
    if (w->count <= 4 && small->price * w->count < worthIt * type->price) return w;
  }
  return std::nullopt;
}

std::optional<std::size_t> machineToRelease(const ShardFleet& f, const CapacityTargets& t,
                                            const Catalog& catalog, double minIdleS, double spareSpot) {
  auto have = capacityOf(f);
  std::optional<std::size_t> best;
  double bestPrice = 0;
  for (std::size_t i = 0; i < f.machines.size(); ++i) {
    const auto& h = f.machines[i];
    if (!h.counts || h.idleS < minIdleS) continue;
    const auto* type = findType(catalog, h.type);
    // Where it is wanted again, another would have to boot, and is paid for meanwhile. A dear machine is not
    // kept for that while there is plenty.
    bool plenty = !h.spot && have.ordinary + have.spot - h.cores > t.total + surplus(t.total, catalog);
    double keepS = plenty ? 0 : kIdleBoots * (type ? type->bootS : 0);
    if (minIdleS > 0 && (h.idleS < keepS || h.ageS < kPaidS)) continue;
    if (have.ordinary + have.spot - h.cores < t.total || (h.spot && h.cores > spareSpot)) continue;
    if (!h.spot && have.ordinary - h.cores < t.ordinary) continue;
    double price = type && h.cores > 0 ? (h.spot ? type->spotPrice : type->price) / h.cores : 0;
    if (best && price <= bestPrice) continue;
    best = i;
    bestPrice = price;
  }
  return best;
}

std::vector<std::size_t> machinesToDrain(const ShardFleet& f, const CapacityTargets& t,
                                         const Catalog& catalog, double minAgeS, std::size_t most) {
  bool anyIdle = machineToRelease(f, t, catalog, 0, coresOf(f)).has_value();
  auto have = capacityOf(f);
  std::vector<std::pair<double, std::size_t>> choices;  // what is gained by each
  for (std::size_t i = 0; i < f.machines.size(); ++i) {
    const auto& h = f.machines[i];
    if (!h.counts) continue;
    // Idle machines will go first; nothing need be moved for them.
    if (h.idleS >= 0) (h.spot ? have.spot : have.ordinary) -= h.cores;
    if (h.draining || h.pinned || h.idleS >= 0 || h.ageS < minAgeS) continue;
    // Dear machines with little on them first.
    if (const auto* type = findType(catalog, h.type))
      choices.emplace_back((h.spot ? type->spotPrice : type->price) / (h.usedCores + 1), i);
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::size_t> chosen;
  for (const auto& [_, i] : choices) {
    if (chosen.size() >= most) break;
    const auto& h = f.machines[i];
    double keep = h.spot ? t.spotTarget : t.total;
    double left = have.ordinary + have.spot - h.cores;
    if (left < keep + surplus(keep, catalog)) continue;
    if (!h.spot && have.ordinary - h.cores < t.ordinary) continue;
    // Near the target one at a time: what is drained in vain is missed where work comes in bursts.
    bool single = left < t.busy;
    if (single && (anyIdle || !chosen.empty())) continue;
    (h.spot ? have.spot : have.ordinary) -= h.cores;
    chosen.push_back(i);
  }
  return chosen;
}

}  // namespace cherryloft::policy
