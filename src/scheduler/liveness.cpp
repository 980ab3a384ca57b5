// Failure detection: machines whose leases ran out, that get no new work for now, or that are suspected and
// returned to the cloud.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// A heartbeat may come a quarter late; one that is later still is asked for.
constexpr double kOverdueAfterHeartbeats = 1.25;
constexpr Duration kOverdueMargin{1'000};
constexpr double kCordonAfterHeartbeats = 2.6;  // report intervals after which a machine gets no new work
// A worker gives up on one controller and reports to the next.
constexpr Duration kNextController{6'500};
// After these a machine is suspected that we hear and that does not show that it hears us.
constexpr double kUnacknowledgedHeartbeats = 2.5;
constexpr Duration kUnacknowledgedMargin{4'000};
// Where more machines than this are late or suspected, the fault is likely not theirs.
constexpr double kSuspectedFraction = 0.26;
constexpr double kSuspectedFractionOfZone = 0.5;
constexpr double kFewMachines = 3;  // so many are returned singly even where that is much of a small shard

}  // namespace

bool ShardScheduler::SuspectCount::moreThan(double fraction) const {
  return static_cast<double>(overdue) > std::max(kFewMachines, fraction * static_cast<double>(machines));
}

Duration ShardScheduler::timeSinceHeartbeat(const Machine& machine) const {
  return runtime_.now() - std::max(machine.lastHeard, resumed_);
}

Duration ShardScheduler::reportDue() const {
  return seconds(settings_.heartbeatIntervalS * kOverdueAfterHeartbeats);
}

bool ShardScheduler::heartbeatOverdue(const Machine& machine) const {
  return timeSinceHeartbeat(machine) > reportDue() + kOverdueMargin;
}

// --- leases ---

void ShardScheduler::checkLiveness(Machine& machine, Time now) {
  bool silent = now > machine.aliveUntil && (machine.heard || !machine.placements.empty());
  if (silent && now > callbacks_.answeredElsewhere() + leaseAfterAnswer()) expireLease(machine);
  if (!machine.cordoned &&
      timeSinceHeartbeat(machine) > seconds(settings_.heartbeatIntervalS * kCordonAfterHeartbeats)) {
    machine.cordoned = true;
    state_.reindex(machine);
  }
  if (!machine.heard || heartbeatOverdue(machine)) machine.contactDue = true;
}

// Its worker has killed all its tasks, whatever happened (invariant 2).
void ShardScheduler::expireLease(Machine& machine) {
  log_->info("lease of machine expired: machine={} tasks={}", machine.id.value, machine.placements.size());
  machine.fence.expireIncarnation();
  machine.heard = false;
  machine.reported.clear();
  tasksLost(machine, machine.tasksWhere([](const Placement& placement) { return placement.committed; }));
  requestRound(true);
}

// --- suspicion ---

bool ShardScheduler::suspected(const Machine& machine, Time now) const {
  if (machine.known.record.phase != wire::MachinePhase::InUse) return false;
  if (tokenUnacknowledgedTooLong(machine, now)) return true;
  // One that was never heard is still booting, which the leader watches.
  if (!machine.heard && machine.placements.empty()) return false;
  return machine.unansweredProbes >= kUnansweredProbesToSuspect &&
         timeSinceHeartbeat(machine) > reportDue() + kNextController;
}

// We hear it, and it does not show that it hears us (invariant 11).
bool ShardScheduler::tokenUnacknowledgedTooLong(const Machine& machine, Time now) const {
  if (!machine.tokenUnacknowledgedSince) return false;
  auto unacknowledgedFor = now - std::max(*machine.tokenUnacknowledgedSince, resumed_);
  return unacknowledgedFor >
         seconds(settings_.heartbeatIntervalS * kUnacknowledgedHeartbeats) + kUnacknowledgedMargin;
}

void ShardScheduler::returnSuspected(Time now) {
  auto survey = surveySuspects(now);
  noteMassSuspicion(survey, now);
  if (recentlyNoted(massSuspicionAt_, now)) return;
  for (Machine* machine : survey.suspected) {
    auto zone = massSuspicionInZoneAt_.find(machine->zone());
    bool zoneFault = zone != massSuspicionInZoneAt_.end() && recentlyNoted(zone->second, now);
    if (machine->returnNow || zoneFault) continue;
    log_->info("returning suspected machine: machine={} reason={}", machine->id.value,
               machine->tokenUnacknowledgedSince ? "token_unacknowledged" : "no_heartbeat");
    machine->returnNow = true;
    machine->decommissioning = true;
    state_.reindex(*machine);
  }
}

// Counts all that are late, not the suspected alone: machines behind a network cut become suspected one after
// the other, over a whole report interval, and the first must not be returned before the rest shows.
ShardScheduler::SuspicionSurvey ShardScheduler::surveySuspects(Time now) {
  SuspicionSurvey survey;
  for (auto& [_, machine] : state_.machines()) {
    bool isSuspected = suspected(machine, now);
    bool everUp = machine.heard || !machine.known.record.address.empty();
    if (!isSuspected && !everUp) continue;
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

void ShardScheduler::noteMassSuspicion(const SuspicionSurvey& survey, Time now) {
  if (survey.shard.moreThan(kSuspectedFraction)) massSuspicionAt_ = now;
  for (const auto& [zone, count] : survey.zones)
    if (count.moreThan(kSuspectedFractionOfZone)) massSuspicionInZoneAt_[zone] = now;
}

// When such a fault ends, the machines come back one after the other as well.
bool ShardScheduler::recentlyNoted(std::optional<Time> noted, Time now) const {
  return noted && now - *noted < reportDue() + kNextController;
}

}  // namespace cherryloft
