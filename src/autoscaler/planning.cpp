// The leader's capacity planning: which shards scale out, and which machines are moved between shards,
// drained or returned.
#include <algorithm>

#include "autoscaler/autoscaler.h"

namespace cherryloft {
namespace {

constexpr Duration kMaxLoadAge{5'000};
constexpr Duration kDirectiveRetryInterval{5'000};
constexpr Duration kMoveAfterDrainInterval{20'000};
constexpr Duration kMoveTimeout{20'000};  // a move not recorded by then is assumed to have failed
constexpr Duration kLogInterval{30'000};  // between two lines about the same lasting condition
constexpr double kMinIdleS = 10;
constexpr double kMinAgeS = 60;                   // minimum billing period of the cloud
constexpr unsigned kMaxReleasedPerRun = 20;       // idle machines of a shard per planning run
constexpr std::size_t kMaxDrainedPerRun = 8;      // busy machines of a shard per planning run
constexpr std::size_t kMinMachinesToGiveOne = 2;  // of a shard that gives one to a shard without machines
constexpr std::size_t kMaxShortagesLogged = 4;    // of a shard at a time

std::string joinedNames(const std::vector<Zone>& zones) {
  std::string names;
  for (const auto& zone : zones) names += (names.empty() ? "" : ",") + zone.value;
  return names;
}

}  // namespace

void Autoscaler::plan() {
  auto now = runtime_.now();
  std::map<ShardId, policy::ShardFleet> fleets;
  std::map<ShardId, policy::CapacityTargets> targets;
  for (std::uint32_t number = 0; number < settings_.size(); ++number) {
    ShardId shard{number};
    auto reported = loads_.find(shard);
    if (reported == loads_.end() || now - reported->second.at > kMaxLoadAge) continue;
    fleets[shard] = fleetOf(shard);
    targets[shard] = policy::computeCapacityTargets(fleets[shard], machineTypes_,
                                                    settings_.tuning.spareFraction, settings_.maxSpotWaitS());
  }
  bool rebalancingDue = now - lastRebalance_ >= settings_.tuning.idleMachineMoveInterval;
  if (rebalancingDue) lastRebalance_ = now;
  moveIdleMachines(fleets, targets, rebalancingDue ? MoveScope::AllSpare : MoveScope::OnePerShard);
  addMachinesOnTheMove(fleets);
  // Spare capacity is pooled over all shards, as idle machines are moved on demand.
  double spareCores = 0;
  double largestArrival = 0;
  for (const auto& [shard, fleet] : fleets) {
    spareCores += policy::capacityCores(fleet) - targets[shard].totalWithSpot;
    largestArrival = std::max(largestArrival, fleet.spotAllowed.largestJob);
  }
  scaleOutInTurn(fleets, targets);
  moveToEmptyShards(fleets);
  for (const auto& [shard, fleet] : fleets)
    planShard(shard, fleet, targets[shard], spareCores - largestArrival);
}

// Handles shards that have work but no machine when the cloud has no capacity: the largest shard drains a
// machine and hands it over, so that no team starves.
void Autoscaler::moveToEmptyShards(const std::map<ShardId, policy::ShardFleet>& fleets) {
  auto now = runtime_.now();
  for (const auto& [recipientShard, recipient] : fleets) {
    bool hasMachines = std::any_of(recipient.machines.begin(), recipient.machines.end(),
                                   [](const auto& machine) { return machine.cores > 0; });
    double waitingCores = recipient.onDemandOnly.waiting + recipient.spotAllowed.waiting;
    if (hasMachines || waitingCores <= 0 ||
        now - lastMoveAfterDrainAt_[recipientShard] < kMoveAfterDrainInterval)
      continue;
    auto largest = std::max_element(fleets.begin(), fleets.end(), [](const auto& a, const auto& b) {
      return a.second.machines.size() < b.second.machines.size();
    });
    if (largest->second.machines.size() < kMinMachinesToGiveOne) continue;
    for (const auto& machine : loads_[largest->first].load.machines) {
      if (!machine.usable || (machine.spot && recipient.spotAllowed.waiting <= 0)) continue;
      policy::InstanceOffering offering{machine.type, Zone{machine.zone}, machine.spot};
      if (!policy::suitsWaitingTasks(recipient, machineTypes_, offering)) continue;
      lastMoveAfterDrainAt_[recipientShard] = now;
      log_->info("machine moves once drained: machine={} from_shard={} to_shard={}", machine.machine,
                 largest->first.value, recipientShard.value);
      callbacks_.sendDirective({largest->first.value, machine.machine, mesh::MachineDirective::MoveAfterDrain,
                                recipientShard.value});
      break;
    }
  }
}

// Round-robin: one request per shard and round, the shard furthest below its targets first, so that no shard
// takes all available machines.
void Autoscaler::scaleOutInTurn(const std::map<ShardId, policy::ShardFleet>& fleets,
                                const std::map<ShardId, policy::CapacityTargets>& targets) {
  auto planned = fleets;
  auto unavailable = unavailableOfferings();
  bool requested = true;
  while (requested && cloudCallBudget_ >= 1) {
    requested = false;
    for (auto shard : shardsByPressure(planned, targets)) {
      auto& fleet = planned[shard];
      if (cloudCallBudget_ < 1) break;
      auto request = nextRequest(shard, fleet, targets.at(shard), unavailable);
      if (!request) continue;
      startScaleOut(shard, *request);
      policy::FleetMachine pending;
      pending.type = request->offering.type;
      pending.zone = request->offering.zone;
      pending.spot = request->offering.spot;
      pending.cores = request->cores;
      pending.countsAsCapacity = true;
      pending.inReport = false;
      pending.count = request->count;
      fleet.machines.push_back(pending);
      requested = true;
    }
  }
}

// Tasks that no machine has capacity for come first, as the targets in cores do not tell what a machine's
// free capacity is good for.
std::optional<policy::ScaleOutRequest> Autoscaler::nextRequest(ShardId shard, const policy::ShardFleet& fleet,
                                                               const policy::CapacityTargets& target,
                                                               const policy::InstanceOfferings& unavailable) {
  bool hasDrainingMachine = std::any_of(fleet.machines.begin(), fleet.machines.end(),
                                        [](const auto& machine) { return machine.draining; });
  auto shortages = policy::shortagesOf(fleet, machineTypes_);
  // planShard first cancels the drain of a machine.
  if (policy::drainToCancel(shortages, fleet, machineTypes_)) return std::nullopt;
  auto request = policy::requestForShortages(shortages, fleet, machineTypes_, unavailable);
  bool belowTarget = policy::isBelowTarget(fleet, target);
  if (hasDrainingMachine && belowTarget) return request;
  auto forTargets = policy::nextScaleOut(fleet, target, machineTypes_, unavailable);
  // One call for both, as calls to the cloud are limited.
  bool sameOffering = request && forTargets && request->offering == forTargets->offering;
  if (request) return sameOffering && forTargets->count > request->count ? forTargets : request;
  if (!forTargets && (belowTarget || !shortages.empty()))
    logNothingToRequest(shard, fleet, shortages, unavailable);
  return forTargets;
}

bool Autoscaler::LogInterval::due(Time now) {
  if (loggedAt_ && now - *loggedAt_ < kLogInterval) return false;
  loggedAt_ = now;
  return true;
}

// Tells why no machine is requested for work that waits, at most once per interval and shard.
void Autoscaler::logNothingToRequest(ShardId shard, const policy::ShardFleet& fleet,
                                     const std::vector<policy::TaskShortage>& shortages,
                                     const policy::InstanceOfferings& unavailable) {
  if (!nothingToRequestLog_[shard].due(runtime_.now())) return;
  for (std::size_t i = 0; i < std::min(shortages.size(), kMaxShortagesLogged); ++i) {
    const auto& needs = shortages[i].group->needs;
    log_->info(
        "no machine requested for waiting tasks: shard={} tasks={} cores={} gpus={} ram_gb={} "
        "spot_allowed={} "
        "zones={} offerings=\"{}\"",
        shard.value, shortages[i].tasks, needs.each.cores, needs.each.gpus, needs.each.ram, needs.spotAllowed,
        joinedNames(needs.zones), policy::explainOfferings(machineTypes_, needs, unavailable));
  }
  for (const auto* workload : {&fleet.onDemandOnly, &fleet.spotAllowed}) {
    if (workload->waiting <= 0) continue;
    policy::TaskRequirements task;
    task.each = {workload->largestTask, 0, workload->largestTask * workload->ramPerCore};
    task.types = workload->types;
    task.spotAllowed = workload == &fleet.spotAllowed;
    log_->info(
        "no machine requested for waiting work: shard={} waiting_cores={} task_cores={} task_ram_gb={} "
        "spot_allowed={} offerings=\"{}\"",
        shard.value, workload->waiting, task.each.cores, task.each.ram, task.spotAllowed,
        policy::explainOfferings(machineTypes_, task, unavailable));
  }
}

std::vector<ShardId> Autoscaler::shardsByPressure(const std::map<ShardId, policy::ShardFleet>& fleets,
                                                  const std::map<ShardId, policy::CapacityTargets>& targets) {
  std::vector<ShardId> shards;
  shards.reserve(fleets.size());
  for (const auto& [shard, _] : fleets) shards.push_back(shard);
  std::stable_sort(shards.begin(), shards.end(), [&](ShardId a, ShardId b) {
    return policy::targetToCapacityRatio(fleets.at(a), targets.at(a)) >
           policy::targetToCapacityRatio(fleets.at(b), targets.at(b));
  });
  return shards;
}

void Autoscaler::planShard(ShardId shard, const policy::ShardFleet& fleet,
                           const policy::CapacityTargets& target, double spareSpotCores) {
  logShardCapacity(shard, fleet, target);
  returnDrainedMachines(shard);
  auto shortages = policy::shortagesOf(fleet, machineTypes_);
  if (auto index = policy::drainToCancel(shortages, fleet, machineTypes_))
    cancelDrain(shard, fleet.machines[*index].id);
  if (policy::isBelowTarget(fleet, target)) return cancelOneDrain(shard);
  if (auto smaller =
          policy::cheaperReplacement(fleet, target, machineTypes_, unavailableOfferings(), kMinAgeS);
      smaller && cloudCallBudget_ >= 1)
    return startScaleOut(shard, *smaller);
  releaseIdleMachines(shard, fleet, target, spareSpotCores);
  drainMachines(shard, fleet, target);
}

void Autoscaler::logShardCapacity(ShardId shard, const policy::ShardFleet& fleet,
                                  const policy::CapacityTargets& target) const {
  if (!log_->should_log(spdlog::level::debug)) return;
  double onDemandCores = 0;
  double spotCores = 0;
  for (const auto& machine : fleet.machines)
    if (machine.countsAsCapacity) (machine.spot ? spotCores : onDemandCores) += machine.cores;
  log_->debug(
      "shard capacity: shard={} on_demand_used={} on_demand_waiting={} spot_used={} spot_waiting={} "
      "target_on_demand={} target_total={} has_on_demand={} has_spot={}",
      shard.value, fleet.onDemandOnly.used, fleet.onDemandOnly.waiting, fleet.spotAllowed.used,
      fleet.spotAllowed.waiting, target.onDemand, target.total, onDemandCores, spotCores);
}

// Rate-limits the directives to give up a machine; true counts as one sent.
bool Autoscaler::shouldSendDirective(const MachineId& machine) {
  auto& lastSentAt = lastDirectiveAt_[machine];
  if (lastSentAt != Time{} && runtime_.now() - lastSentAt < kDirectiveRetryInterval) return false;
  lastSentAt = runtime_.now();
  return true;
}

void Autoscaler::returnDrainedMachines(ShardId shard) {
  for (const auto& machine : loads_[shard].load.machines) {
    if (!machine.draining || machine.idleS <= 0) continue;
    if (!shouldSendDirective(MachineId{machine.machine})) continue;
    callbacks_.sendDirective({shard.value, machine.machine, mesh::MachineDirective::Return, 0});
  }
}

// Cancelling a drain adds capacity at once, on a machine that is already paid for.
void Autoscaler::cancelOneDrain(ShardId shard) {
  auto& machines = loads_[shard].load.machines;
  auto drained = std::find_if(machines.begin(), machines.end(),
                              [](const auto& machine) { return machine.draining && machine.idleS <= 0; });
  if (drained != machines.end()) cancelDrain(shard, MachineId{drained->machine});
}

void Autoscaler::cancelDrain(ShardId shard, const MachineId& machine) {
  for (auto& load : loads_[shard].load.machines)
    if (load.machine == machine.value) load.draining = false;
  log_->info("machine drain cancelled: machine={} shard={}", machine.value, shard.value);
  callbacks_.sendDirective({shard.value, machine.value, mesh::MachineDirective::Keep, 0});
}

void Autoscaler::releaseIdleMachines(ShardId shard, const policy::ShardFleet& fleet,
                                     const policy::CapacityTargets& target, double spareSpotCores) {
  auto remaining = fleet;
  for (unsigned released = 0; released < kMaxReleasedPerRun; ++released) {
    auto index = policy::machineToRelease(remaining, target, machineTypes_, kMinIdleS, spareSpotCores);
    if (!index) break;
    auto& machine = remaining.machines[*index];
    machine.countsAsCapacity = false;
    if (machine.spot) spareSpotCores -= machine.cores;
    if (!shouldSendDirective(machine.id)) continue;
    log_->info("idle machine released: machine={} shard={}", machine.id.value, shard.value);
    callbacks_.sendDirective({shard.value, machine.id.value, mesh::MachineDirective::Return, 0});
  }
}

// Consolidates work: drains machines whose load fits onto the others.
void Autoscaler::drainMachines(ShardId shard, const policy::ShardFleet& fleet,
                               const policy::CapacityTargets& target) {
  std::set<std::string> chosen;
  for (auto index : policy::machinesToDrain(fleet, target, machineTypes_, kMinAgeS, kMaxDrainedPerRun))
    chosen.insert(fleet.machines[index].id.value);
  for (auto& machine : loads_[shard].load.machines) {
    if (chosen.count(machine.machine) == 0) continue;
    machine.draining = true;
    log_->info("machine drains: machine={} shard={}", machine.machine, shard.value);
    callbacks_.sendDirective({shard.value, machine.machine, mesh::MachineDirective::Drain, 0});
  }
}

// Cores of machines whose move to the shard was requested but is not yet recorded. Recording may take a
// while, and meanwhile the shard must not be sent more and more machines.
double Autoscaler::coresMovingTo(ShardId to) {
  std::erase_if(pendingMoves_, [&](const auto& entry) {
    const auto& [id, move] = entry;
    auto machine = view_.machines.find(id);
    return machine == view_.machines.end() || machine->second.record.shard == move.to ||
           runtime_.now() - move.at > kMoveTimeout;
  });
  double cores = 0;
  for (const auto& [_, move] : pendingMoves_)
    if (move.to == to) cores += move.cores;
  return cores;
}

// Rebalancing: moves idle machines from shards with spare capacity to shards with waiting work. Between two
// rebalancing intervals at most one machine per shard and planning run is moved, on demand (DESIGN.md,
// exceptions).
void Autoscaler::moveIdleMachines(const std::map<ShardId, policy::ShardFleet>& fleets,
                                  const std::map<ShardId, policy::CapacityTargets>& targets,
                                  MoveScope scope) {
  for (auto to : shardsByPressure(fleets, targets)) {
    const auto& recipient = fleets.at(to);
    double missingCores = recipient.onDemandOnly.waiting + recipient.spotAllowed.waiting - coresMovingTo(to);
    for (const auto& [from, fleet] : fleets) {
      if (from == to) continue;
      double spareCores = policy::capacityCores(fleet) - targets.at(from).total;
      moveFrom(from, {to, recipient, recipient.spotAllowed.waiting > 0}, fleet, spareCores, missingCores,
               scope);
    }
  }
}

// The machines that move to a shard count for its waiting tasks, although they are not recorded there yet.
void Autoscaler::addMachinesOnTheMove(std::map<ShardId, policy::ShardFleet>& fleets) const {
  for (const auto& [id, move] : pendingMoves_) {
    auto machine = view_.machines.find(id);
    auto destination = fleets.find(move.to);
    if (machine == view_.machines.end() || destination == fleets.end()) continue;
    const auto& record = machine->second.record;
    if (record.shard == move.to) continue;
    policy::FleetMachine moving{record.type, record.zone, record.spot};
    moving.id = id;
    moving.inReport = false;
    destination->second.machines.push_back(moving);
  }
}

void Autoscaler::moveFrom(ShardId from, const MoveDestination& destination, const policy::ShardFleet& fleet,
                          double spareCores, double& missingCores, MoveScope scope) {
  for (auto& machine : loads_[from].load.machines) {
    const auto* type = findType(machineTypes_, machine.type);
    bool canBeMoved = machine.draining || (machine.usable && type && type->size.cores <= spareCores);
    if (missingCores <= 0 || !type || machine.idleS <= 0 || !canBeMoved) continue;
    if (machine.spot && !destination.acceptsSpot) continue;
    policy::InstanceOffering offering{machine.type, Zone{machine.zone}, machine.spot};
    if (!policy::suitsWaitingTasks(destination.fleet, machineTypes_, offering)) continue;
    if (fleet.neededOfferings.count(offering) > 0) continue;
    if (!shouldSendDirective(MachineId{machine.machine})) continue;
    if (!machine.draining) spareCores -= type->size.cores;
    missingCores -= type->size.cores;
    machine.idleS = 0;
    pendingMoves_[MachineId{machine.machine}] = {destination.shard, runtime_.now(), type->size.cores};
    log_->info("idle machine moves: machine={} from_shard={} to_shard={}", machine.machine, from.value,
               destination.shard.value);
    callbacks_.sendDirective(
        {from.value, machine.machine, mesh::MachineDirective::Move, destination.shard.value});
    if (scope == MoveScope::OnePerShard) break;
  }
}

}  // namespace cherryloft
