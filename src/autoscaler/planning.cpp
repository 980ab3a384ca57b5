// What the fleet should become: which shards rent, which machines move between shards, and which go.
#include <algorithm>

#include "autoscaler/autoscaler.h"

namespace cherryloft {
namespace {

constexpr Duration kLoadStale{5'000};
constexpr Duration kAskAgain{5'000};
constexpr Duration kMoveAfterDrainAgain{20'000};
constexpr Duration kMoveTakes{20'000};  // after which a machine asked to move is taken to stay
constexpr double kMinIdleS = 10;
constexpr double kMinAgeS = 60;         // what the cloud charges at least
constexpr unsigned kMostLetGo = 20;     // idle machines of a shard in a turn
constexpr std::size_t kMaxDrained = 8;  // busy ones

}  // namespace

void Autoscaler::plan() {
  auto now = runtime_.now();
  std::map<ShardId, policy::ShardFleet> fleets;
  std::map<ShardId, policy::CapacityTargets> targets;
  for (std::uint32_t k = 0; k < settings_.size(); ++k) {
    auto s = loads_.find(ShardId{k});
    if (s == loads_.end() || now - s->second.at > kLoadStale) continue;
    fleets[ShardId{k}] = fleetOf(ShardId{k});
    targets[ShardId{k}] =
        policy::targets(fleets[ShardId{k}], prices_, settings_.tuning.spareFraction, settings_.patienceS());
  }
  bool beat = now - moveAt_ >= settings_.tuning.moveEvery;
  if (beat) moveAt_ = now;
  move(fleets, targets, beat);
  // Spare room is common to all shards, as idle machines are moved on request.
  double spare = 0, burst = 0;
  for (const auto& [k, f] : fleets) {
    spare += policy::coresOf(f) - targets[k].spotTarget;
    burst = std::max(burst, f.spotAllowed.largestJob);
  }
  rentInTurn(fleets, targets);
  moveAfterDrain(fleets);
  for (const auto& [k, f] : fleets) planShard(k, f, targets[k], spare - burst);
}

// A shard with work and no machine at all, while the cloud has none to give: the largest shard cedes one, so
// that none of its teams starves.
void Autoscaler::moveAfterDrain(const std::map<ShardId, policy::ShardFleet>& fleets) {
  auto now = runtime_.now();
  for (const auto& [to, need] : fleets) {
    bool has =
        std::any_of(need.machines.begin(), need.machines.end(), [](const auto& h) { return h.cores > 0; });
    if (has || need.onDemandOnly.waiting + need.spotAllowed.waiting <= 0 ||
        now - moveAfterDrainAt_[to] < kMoveAfterDrainAgain)
      continue;
    auto rich = std::max_element(fleets.begin(), fleets.end(), [](const auto& a, const auto& b) {
      return a.second.machines.size() < b.second.machines.size();
    });
    if (rich->second.machines.size() < 2) continue;
    for (const auto& h : loads_[rich->first].load.machines) {
      if (!h.usable || (h.spot && need.spotAllowed.waiting <= 0)) continue;
      moveAfterDrainAt_[to] = now;
      log_->info("share {} cedes {} to share {}", rich->first.value, h.machine, to.value);
      callbacks_.sendDirective({rich->first.value, h.machine, mesh::MachineDirective::MoveAfterDrain, to.value});
      break;
    }
  }
}

// One rental for each shard in turn, the most pressed first, so that the first in line does not take all
// there is.
void Autoscaler::rentInTurn(const std::map<ShardId, policy::ShardFleet>& fleets,
                            const std::map<ShardId, policy::CapacityTargets>& targets) {
  auto planned = fleets;
  auto offers = unavailable();
  for (bool any = true; any && calls_ >= 1;) {
    any = false;
    for (auto k : byPressure(planned, targets)) {
      auto& f = planned[k];
      bool keeps =
          std::any_of(f.machines.begin(), f.machines.end(), [](const auto& h) { return h.draining; });
      if (calls_ < 1 || (keeps && policy::isShort(f, targets.at(k)))) continue;  // planShare keeps that one
      auto request = policy::rent(f, targets.at(k), prices_, offers);
      if (!request) continue;
      startRental(k, *request);
      f.machines.push_back({request->offer.type,
                            request->offer.zone,
                            request->offer.spot,
                            request->cores,
                            true,
                            -1,
                            0,
                            0,
                            false,
                            false,
                            {}});
      any = true;
    }
  }
}

std::vector<ShardId> Autoscaler::byPressure(const std::map<ShardId, policy::ShardFleet>& fleets,
                                            const std::map<ShardId, policy::CapacityTargets>& targets) {
  std::vector<ShardId> out;
  out.reserve(fleets.size());
  for (const auto& [k, _] : fleets) out.push_back(k);
  std::stable_sort(out.begin(), out.end(), [&](ShardId a, ShardId b) {
    return policy::pressure(fleets.at(a), targets.at(a)) > policy::pressure(fleets.at(b), targets.at(b));
  });
  return out;
}

void Autoscaler::planShard(ShardId k, const policy::ShardFleet& f, const policy::CapacityTargets& t,
                           double spareSpot) {
  auto now = runtime_.now();
  if (log_->should_log(spdlog::level::debug)) {
    double ordinary = 0, spot = 0;
    for (const auto& h : f.machines)
      if (h.counts) (h.spot ? spot : ordinary) += h.cores;
    log_->debug("share {}: firm {}+{} lendable {}+{} wants {} of {}, has {}+{} spot", k.value,
                f.onDemandOnly.used, f.onDemandOnly.waiting, f.spotAllowed.used, f.spotAllowed.waiting,
                t.ordinary, t.total, ordinary, spot);
  }
  for (auto& h : loads_[k].load.machines) {
    if (!h.draining || h.idleS <= 0) continue;
    auto& asked = asked_[MachineId{h.machine}];
    if (asked != Time{} && now - asked < kAskAgain) continue;
    asked = now;
    callbacks_.sendDirective({k.value, h.machine, mesh::MachineDirective::Return, 0});
  }
  if (policy::isShort(f, t)) {
    // A machine that was to empty itself is back at once, and paid for already.
    auto& machines = loads_[k].load.machines;
    auto kept = std::find_if(machines.begin(), machines.end(),
                             [](const auto& h) { return h.draining && h.idleS <= 0; });
    if (kept != machines.end()) {
      kept->draining = false;
      callbacks_.sendDirective({k.value, kept->machine, mesh::MachineDirective::Keep, 0});
    }
    return;
  }
  if (auto small = policy::replacement(f, t, prices_, unavailable(), kMinAgeS); small && calls_ >= 1)
    return startRental(k, *small);
  auto left = f;
  unsigned gone = 0;
  while (gone < kMostLetGo) {
    auto go = policy::machineToRelease(left, t, prices_, kMinIdleS, spareSpot);
    if (!go) break;
    auto& want = left.machines[*go];
    want.counts = false;
    if (want.spot) spareSpot -= want.cores;
    ++gone;
    auto& asked = asked_[want.id];
    if (asked != Time{} && now - asked < kAskAgain) continue;
    asked = now;
    log_->info("letting go of idle {}", want.id.value);
    callbacks_.sendDirective({k.value, want.id.value, mesh::MachineDirective::Return, 0});
  }
  drainSome(k, f, t);
}

// Consolidates: machines that the others can do without take no more work.
void Autoscaler::drainSome(ShardId k, const policy::ShardFleet& f, const policy::CapacityTargets& t) {
  std::set<std::string> chosen;
  for (auto index : policy::machinesToDrain(f, t, prices_, kMinAgeS, kMaxDrained))
    chosen.insert(f.machines[index].id.value);
  for (auto& h : loads_[k].load.machines) {
    if (chosen.count(h.machine) == 0) continue;
    h.draining = true;
    log_->info("share {} empties {}", k.value, h.machine);
    callbacks_.sendDirective({k.value, h.machine, mesh::MachineDirective::Drain, 0});
  }
}

// Cores of machines that were asked to move to a shard and are not recorded there yet: a record may take its
// time, and a shard that waits for it must not be sent ever more machines.
double Autoscaler::comingTo(ShardId to) {
  double cores = 0;
  std::erase_if(moving_, [&](const auto& m) {
    auto h = view_.machines.find(m.first);
    return h == view_.machines.end() || h->second.record.shard == m.second.to ||
           runtime_.now() - m.second.at > kMoveTakes;
  });
  for (const auto& [_, m] : moving_)
    if (m.to == to) cores += m.cores;
  return cores;
}

// The design's rebalancing: idle machines of shards that can spare them go to waiting work. Between two beats
// the same is done for one machine a shard and turn, on request (DESIGN.md, exceptions).
void Autoscaler::move(const std::map<ShardId, policy::ShardFleet>& fleets,
                      const std::map<ShardId, policy::CapacityTargets>& targets, bool beat) {
  auto now = runtime_.now();
  for (auto to : byPressure(fleets, targets)) {
    const auto& need = fleets.at(to);
    double missing = need.onDemandOnly.waiting + need.spotAllowed.waiting - comingTo(to);
    for (const auto& [from, spare] : fleets) {
      if (from == to) continue;
      const auto& t = targets.at(from);
      double left = policy::coresOf(spare) - t.total;
      for (auto& h : loads_[from].load.machines) {
        const auto* type = findType(prices_, h.type);
        bool spareable = h.draining || (h.usable && type && type->size.cores <= left);
        if (missing <= 0 || !type || h.idleS <= 0 || !spareable) continue;
        if (h.spot && need.spotAllowed.waiting <= 0) continue;
        auto& asked = asked_[MachineId{h.machine}];
        if (asked != Time{} && now - asked < kAskAgain) continue;
        asked = now;
        if (!h.draining) left -= type->size.cores;
        missing -= type->size.cores;
        h.idleS = 0;
        moving_[MachineId{h.machine}] = {to, now, type->size.cores};
        log_->info("moving {} from share {} to {}", h.machine, from.value, to.value);
        callbacks_.sendDirective({from.value, h.machine, mesh::MachineDirective::Move, to.value});
        if (!beat) break;
      }
    }
  }
}

}  // namespace cherryloft
