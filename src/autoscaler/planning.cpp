// The leader's plan of the fleet: which shards scale out, which machines move between shards, which are
// drained or returned.
#include <algorithm>

#include "autoscaler/autoscaler.h"

namespace cherryloft {
namespace {

constexpr Duration kLoadStale{5'000};
constexpr Duration kAskAgain{5'000};
constexpr Duration kMoveAfterDrainAgain{20'000};
constexpr Duration kMoveTakes{20'000};  // after which a machine asked to move is taken to stay
constexpr double kMinIdleS = 10;
constexpr double kMinAgeS = 60;                   // what the cloud charges at least
constexpr unsigned kMaxReleased = 20;             // idle machines of a shard in a turn
constexpr std::size_t kMaxDrained = 8;            // busy ones
constexpr std::size_t kLeastMachinesToShare = 2;  // of a shard that gives one to a shard without any

}  // namespace

void Autoscaler::plan() {
  auto now = runtime_.now();
  std::map<ShardId, policy::ShardFleet> fleets;
  std::map<ShardId, policy::CapacityTargets> targets;
  for (std::uint32_t number = 0; number < settings_.size(); ++number) {
    ShardId shard{number};
    auto reported = loads_.find(shard);
    if (reported == loads_.end() || now - reported->second.at > kLoadStale) continue;
    fleets[shard] = fleetOf(shard);
    targets[shard] =
        policy::targets(fleets[shard], prices_, settings_.tuning.spareFraction, settings_.maxSpotWaitS());
  }
  bool rebalancingDue = now - lastRebalance_ >= settings_.tuning.idleMachineMoveInterval;
  if (rebalancingDue) lastRebalance_ = now;
  moveIdleMachines(fleets, targets, rebalancingDue ? MoveScope::AllSpare : MoveScope::OnePerShard);
  // Spare capacity is common to all shards, as idle machines are moved on request.
  double spareCores = 0;
  double largestArrival = 0;
  for (const auto& [shard, fleet] : fleets) {
    spareCores += policy::coresOf(fleet) - targets[shard].spotTarget;
    largestArrival = std::max(largestArrival, fleet.spotAllowed.largestJob);
  }
  scaleOutInTurn(fleets, targets);
  moveToEmptyShards(fleets);
  for (const auto& [shard, fleet] : fleets)
    planShard(shard, fleet, targets[shard], spareCores - largestArrival);
}

// A shard with work and no machine at all, while the cloud has none to give: the largest shard lets one go
// once it is drained, so that none of the teams starves.
void Autoscaler::moveToEmptyShards(const std::map<ShardId, policy::ShardFleet>& fleets) {
  auto now = runtime_.now();
  for (const auto& [needyShard, needy] : fleets) {
    bool hasMachines = std::any_of(needy.machines.begin(), needy.machines.end(),
                                   [](const auto& machine) { return machine.cores > 0; });
    double waitingCores = needy.onDemandOnly.waiting + needy.spotAllowed.waiting;
    if (hasMachines || waitingCores <= 0 || now - moveAfterDrainAt_[needyShard] < kMoveAfterDrainAgain)
      continue;
    auto largest = std::max_element(fleets.begin(), fleets.end(), [](const auto& a, const auto& b) {
      return a.second.machines.size() < b.second.machines.size();
    });
    if (largest->second.machines.size() < kLeastMachinesToShare) continue;
    for (const auto& machine : loads_[largest->first].load.machines) {
      if (!machine.usable || (machine.spot && needy.spotAllowed.waiting <= 0)) continue;
      moveAfterDrainAt_[needyShard] = now;
      log_->info("machine moves once drained: machine={} from_shard={} to_shard={}", machine.machine,
                 largest->first.value, needyShard.value);
      callbacks_.sendDirective(
          {largest->first.value, machine.machine, mesh::MachineDirective::MoveAfterDrain, needyShard.value});
      break;
    }
  }
}

// One request for each shard in turn, the most pressed first, so that the first in line does not take all
// there is.
void Autoscaler::scaleOutInTurn(const std::map<ShardId, policy::ShardFleet>& fleets,
                                const std::map<ShardId, policy::CapacityTargets>& targets) {
  auto planned = fleets;
  auto refused = unavailable();
  bool requested = true;
  while (requested && calls_ >= 1) {
    requested = false;
    for (auto shard : byPressure(planned, targets)) {
      auto& fleet = planned[shard];
      bool drains = std::any_of(fleet.machines.begin(), fleet.machines.end(),
                                [](const auto& machine) { return machine.draining; });
      // planShard takes a draining machine back into use first.
      if (calls_ < 1 || (drains && policy::isShort(fleet, targets.at(shard)))) continue;
      auto request = policy::nextScaleOut(fleet, targets.at(shard), prices_, refused);
      if (!request) continue;
      startScaleOut(shard, *request);
      policy::FleetMachine ordered;
      ordered.type = request->offer.type;
      ordered.zone = request->offer.zone;
      ordered.spot = request->offer.spot;
      ordered.cores = request->cores;
      ordered.counts = true;
      fleet.machines.push_back(ordered);
      requested = true;
    }
  }
}

std::vector<ShardId> Autoscaler::byPressure(const std::map<ShardId, policy::ShardFleet>& fleets,
                                            const std::map<ShardId, policy::CapacityTargets>& targets) {
  std::vector<ShardId> shards;
  shards.reserve(fleets.size());
  for (const auto& [shard, _] : fleets) shards.push_back(shard);
  std::stable_sort(shards.begin(), shards.end(), [&](ShardId a, ShardId b) {
    return policy::pressure(fleets.at(a), targets.at(a)) > policy::pressure(fleets.at(b), targets.at(b));
  });
  return shards;
}

void Autoscaler::planShard(ShardId shard, const policy::ShardFleet& fleet,
                           const policy::CapacityTargets& target, double spareSpotCores) {
  logShard(shard, fleet, target);
  returnDrained(shard);
  if (policy::isShort(fleet, target)) return cancelOneDrain(shard);
  if (auto small = policy::replacement(fleet, target, prices_, unavailable(), kMinAgeS); small && calls_ >= 1)
    return startScaleOut(shard, *small);
  releaseIdle(shard, fleet, target, spareSpotCores);
  drainSome(shard, fleet, target);
}

void Autoscaler::logShard(ShardId shard, const policy::ShardFleet& fleet,
                          const policy::CapacityTargets& target) const {
  if (!log_->should_log(spdlog::level::debug)) return;
  double onDemandCores = 0;
  double spotCores = 0;
  for (const auto& machine : fleet.machines)
    if (machine.counts) (machine.spot ? spotCores : onDemandCores) += machine.cores;
  log_->debug(
      "shard capacity: shard={} on_demand_used={} on_demand_waiting={} spot_used={} spot_waiting={} "
      "target_on_demand={} target_total={} has_on_demand={} has_spot={}",
      shard.value, fleet.onDemandOnly.used, fleet.onDemandOnly.waiting, fleet.spotAllowed.used,
      fleet.spotAllowed.waiting, target.onDemand, target.total, onDemandCores, spotCores);
}

// Whether the owner of a machine may be told again to give it up; counts as told.
bool Autoscaler::mayAskAgain(const MachineId& machine) {
  auto& asked = asked_[machine];
  if (asked != Time{} && runtime_.now() - asked < kAskAgain) return false;
  asked = runtime_.now();
  return true;
}

void Autoscaler::returnDrained(ShardId shard) {
  for (const auto& machine : loads_[shard].load.machines) {
    if (!machine.draining || machine.idleS <= 0) continue;
    if (!mayAskAgain(MachineId{machine.machine})) continue;
    callbacks_.sendDirective({shard.value, machine.machine, mesh::MachineDirective::Return, 0});
  }
}

// A machine that was to be drained is back in use at once, and paid for already.
void Autoscaler::cancelOneDrain(ShardId shard) {
  auto& machines = loads_[shard].load.machines;
  auto kept = std::find_if(machines.begin(), machines.end(),
                           [](const auto& machine) { return machine.draining && machine.idleS <= 0; });
  if (kept == machines.end()) return;
  kept->draining = false;
  callbacks_.sendDirective({shard.value, kept->machine, mesh::MachineDirective::Keep, 0});
}

void Autoscaler::releaseIdle(ShardId shard, const policy::ShardFleet& fleet,
                             const policy::CapacityTargets& target, double spareSpotCores) {
  auto remaining = fleet;
  for (unsigned released = 0; released < kMaxReleased; ++released) {
    auto index = policy::machineToRelease(remaining, target, prices_, kMinIdleS, spareSpotCores);
    if (!index) break;
    auto& machine = remaining.machines[*index];
    machine.counts = false;
    if (machine.spot) spareSpotCores -= machine.cores;
    if (!mayAskAgain(machine.id)) continue;
    log_->info("idle machine released: machine={} shard={}", machine.id.value, shard.value);
    callbacks_.sendDirective({shard.value, machine.id.value, mesh::MachineDirective::Return, 0});
  }
}

// Consolidates: machines that the others can do without take no more work.
void Autoscaler::drainSome(ShardId shard, const policy::ShardFleet& fleet,
                           const policy::CapacityTargets& target) {
  std::set<std::string> chosen;
  for (auto index : policy::machinesToDrain(fleet, target, prices_, kMinAgeS, kMaxDrained))
    chosen.insert(fleet.machines[index].id.value);
  for (auto& machine : loads_[shard].load.machines) {
    if (chosen.count(machine.machine) == 0) continue;
    machine.draining = true;
    log_->info("machine drains: machine={} shard={}", machine.machine, shard.value);
    callbacks_.sendDirective({shard.value, machine.machine, mesh::MachineDirective::Drain, 0});
  }
}

// Cores of machines that were asked to move to a shard and are not recorded there yet: a record may take its
// time, and a shard that waits for it must not be sent ever more machines.
double Autoscaler::coresMovingTo(ShardId to) {
  std::erase_if(moving_, [&](const auto& entry) {
    const auto& [id, moving] = entry;
    auto machine = view_.machines.find(id);
    return machine == view_.machines.end() || machine->second.record.shard == moving.to ||
           runtime_.now() - moving.at > kMoveTakes;
  });
  double cores = 0;
  for (const auto& [_, moving] : moving_)
    if (moving.to == to) cores += moving.cores;
  return cores;
}

// The design's rebalancing: idle machines of shards that can spare them go to waiting work. Between two beats
// the same is done for one machine a shard and turn, on request (DESIGN.md, exceptions).
void Autoscaler::moveIdleMachines(const std::map<ShardId, policy::ShardFleet>& fleets,
                                  const std::map<ShardId, policy::CapacityTargets>& targets,
                                  MoveScope scope) {
  for (auto to : byPressure(fleets, targets)) {
    const auto& needy = fleets.at(to);
    double missingCores = needy.onDemandOnly.waiting + needy.spotAllowed.waiting - coresMovingTo(to);
    for (const auto& [from, fleet] : fleets) {
      if (from == to) continue;
      double spareCores = policy::coresOf(fleet) - targets.at(from).total;
      moveFrom(from, {to, needy.spotAllowed.waiting > 0}, spareCores, missingCores, scope);
    }
  }
}

void Autoscaler::moveFrom(ShardId from, const MoveDestination& destination, double spareCores,
                          double& missingCores, MoveScope scope) {
  for (auto& machine : loads_[from].load.machines) {
    const auto* type = findType(prices_, machine.type);
    bool canBeSpared = machine.draining || (machine.usable && type && type->size.cores <= spareCores);
    if (missingCores <= 0 || !type || machine.idleS <= 0 || !canBeSpared) continue;
    if (machine.spot && !destination.takesSpot) continue;
    if (!mayAskAgain(MachineId{machine.machine})) continue;
    if (!machine.draining) spareCores -= type->size.cores;
    missingCores -= type->size.cores;
    machine.idleS = 0;
    moving_[MachineId{machine.machine}] = {destination.shard, runtime_.now(), type->size.cores};
    log_->info("idle machine moves: machine={} from_shard={} to_shard={}", machine.machine, from.value,
               destination.shard.value);
    callbacks_.sendDirective(
        {from.value, machine.machine, mesh::MachineDirective::Move, destination.shard.value});
    if (scope == MoveScope::OnePerShard) break;
  }
}

}  // namespace cherryloft
