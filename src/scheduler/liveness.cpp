// Failure detection: expires leases, cordons machines without recent heartbeats, and returns suspected
// machines to the cloud.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// A heartbeat may be late by a quarter of the report interval; after that the machine is probed.
constexpr double kOverdueAfterHeartbeats = 1.25;
constexpr Duration kOverdueMargin{1'000};
constexpr double kCordonAfterHeartbeats = 2.6;  // report intervals without a heartbeat until it is cordoned
// Time a worker may take to give up on one controller and report to the next.
constexpr Duration kControllerFailoverTime{6'500};
// A machine is suspected if its heartbeats do not acknowledge our token for this many report intervals plus
// the margin.
constexpr double kUnacknowledgedHeartbeats = 2.5;
constexpr Duration kUnacknowledgedMargin{4'000};
// If more than this fraction of the machines is overdue or suspected, the cause is probably not the machines
// themselves.
constexpr double kMassSuspicionFraction = 0.26;
constexpr double kMassSuspicionFractionOfZone = 0.5;
// Up to this many machines are never treated as mass suspicion, even if they are a large part of a small
// shard.
constexpr double kMinMassSuspicion = 3;

}  // namespace

bool ShardScheduler::SuspectCount::exceedsFraction(double fraction) const {
  return static_cast<double>(overdue) > std::max(kMinMassSuspicion, fraction * static_cast<double>(machines));
}

Duration ShardScheduler::timeSinceHeartbeat(const Machine& machine) const {
  return runtime_.now() - std::max(machine.lastHeartbeatAt, lastStallEnd_);
}

Duration ShardScheduler::heartbeatDueAfter() const {
  return seconds(settings_.heartbeatIntervalS * kOverdueAfterHeartbeats);
}

bool ShardScheduler::heartbeatOverdue(const Machine& machine) const {
  return timeSinceHeartbeat(machine) > heartbeatDueAfter() + kOverdueMargin;
}

// --- leases ---

void ShardScheduler::checkLiveness(Machine& machine, Time now) {
  bool silent = now > machine.leaseExpiresAt && (machine.registered || !machine.placements.empty());
  if (silent && now > callbacks_.answeredByPeersUntil() + maxLeaseAfterAnswer()) expireLease(machine);
  if (!machine.cordoned &&
      timeSinceHeartbeat(machine) > seconds(settings_.heartbeatIntervalS * kCordonAfterHeartbeats)) {
    machine.cordoned = true;
    state_.reindex(machine);
  }
  if (!machine.registered || heartbeatOverdue(machine)) machine.directCommandDue = true;
}

// Whatever happened to the worker, it has killed all its tasks by now (invariant 2).
void ShardScheduler::expireLease(Machine& machine) {
  log_->info("lease of machine expired: machine={} tasks={}", machine.id.value, machine.placements.size());
  machine.fence.expireIncarnation();
  machine.registered = false;
  machine.reported.clear();
  handleTasksLost(machine,
                  machine.tasksWhere([](const Placement& placement) { return placement.committed; }));
  requestPlacementRound(true);
}

// --- suspicion ---

bool ShardScheduler::suspected(const Machine& machine, Time now) const {
  if (machine.known.record.phase != wire::MachinePhase::InUse) return false;
  if (tokenUnacknowledgedTooLong(machine, now)) return true;
  // A machine that never sent a heartbeat is still booting, which the leader monitors.
  if (!machine.registered && machine.placements.empty()) return false;
  return machine.unansweredProbes >= kUnansweredProbesToSuspect &&
         timeSinceHeartbeat(machine) > heartbeatDueAfter() + kControllerFailoverTime;
}

// Its heartbeats arrive, but do not show that it receives our answers (invariant 11).
bool ShardScheduler::tokenUnacknowledgedTooLong(const Machine& machine, Time now) const {
  if (!machine.tokenUnacknowledgedSince) return false;
  auto unacknowledgedFor = now - std::max(*machine.tokenUnacknowledgedSince, lastStallEnd_);
  return unacknowledgedFor >
         seconds(settings_.heartbeatIntervalS * kUnacknowledgedHeartbeats) + kUnacknowledgedMargin;
}

void ShardScheduler::returnSuspectedMachines(Time now) {
  auto survey = countSuspects(now);
  recordMassSuspicion(survey, now);
  if (isRecent(massSuspicionAt_, now)) return;
  for (Machine* machine : survey.suspected) {
    auto zone = massSuspicionInZoneAt_.find(machine->zone());
    bool massSuspicionInZone = zone != massSuspicionInZoneAt_.end() && isRecent(zone->second, now);
    if (machine->returnNow || massSuspicionInZone) continue;
    log_->info("returning suspected machine: machine={} reason={}", machine->id.value,
               machine->tokenUnacknowledgedSince ? "token_unacknowledged" : "no_heartbeat");
    machine->returnNow = true;
    machine->decommissioning = true;
    state_.reindex(*machine);
  }
}

// Counts all overdue machines, not only the suspected ones: machines behind a network partition become
// suspected one after another, over a whole report interval, and the first must not be returned before the
// others are noticed.
ShardScheduler::SuspicionCounts ShardScheduler::countSuspects(Time now) {
  SuspicionCounts survey;
  for (auto& [_, machine] : state_.machines()) {
    bool isSuspected = suspected(machine, now);
    bool wasEverUp = machine.registered || !machine.known.record.address.empty();
    if (!isSuspected && !wasEverUp) continue;
    auto& zone = survey.zones[machine.zone()];
    ++zone.machines;
    ++survey.shard.machines;
    if (!isSuspected && !heartbeatOverdue(machine)) continue;
    ++zone.overdue;
    ++survey.shard.overdue;
    if (isSuspected) survey.suspected.push_back(&machine);
  }
  return survey;
}

void ShardScheduler::recordMassSuspicion(const SuspicionCounts& survey, Time now) {
  if (survey.shard.exceedsFraction(kMassSuspicionFraction)) massSuspicionAt_ = now;
  for (const auto& [zone, count] : survey.zones)
    if (count.exceedsFraction(kMassSuspicionFractionOfZone)) massSuspicionInZoneAt_[zone] = now;
}

// Mass suspicion stays in effect for a while, as machines also recover one after another.
bool ShardScheduler::isRecent(std::optional<Time> time, Time now) const {
  return time && now - *time < heartbeatDueAfter() + kControllerFailoverTime;
}

}  // namespace cherryloft
