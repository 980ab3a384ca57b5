// Failure detection: expires leases, cordons machines without recent reports, and returns suspected
// machines to the cloud.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// A heartbeat may be late by a quarter of the report interval; after that the machine is probed.
constexpr double kOverdueAfterHeartbeats = 1.25;
constexpr Duration kOverdueMargin{1'000};
constexpr double kCordonAfterReports = 2.6;  // report intervals without a report until it is cordoned
// Time a worker may take to give up on one controller and report to the next.
constexpr Duration kControllerFailoverTime{6'500};
// A machine is suspected if its heartbeats do not acknowledge our token for this many report intervals plus
// the margin.
constexpr double kUnacknowledgedHeartbeats = 2.5;
constexpr Duration kUnacknowledgedMargin{4'000};
}  // namespace

Duration ShardScheduler::timeSinceHeartbeat(const Machine& machine) const {
  return runtime_.now() - std::max(machine.lastHeartbeatAt, lastStallEnd_);
}

Duration ShardScheduler::timeSinceReport(const Machine& machine) const {
  return runtime_.now() - std::max(machine.lastReportAt, lastStallEnd_);
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
      timeSinceReport(machine) > seconds(settings_.heartbeatIntervalS * kCordonAfterReports)) {
    machine.cordoned = true;
    state_.reindex(machine);
    placeUnsentTasksElsewhere(machine);
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
  massSuspicion_.record(survey, now);
  auto staysInEffect = heartbeatDueAfter() + kControllerFailoverTime;
  if (massSuspicion_.inShard(now, staysInEffect)) return;
  for (Machine* machine : survey.suspected) {
    if (machine->returnNow || massSuspicion_.inZone(machine->zone(), now, staysInEffect)) continue;
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
SuspicionCounts ShardScheduler::countSuspects(Time now) {
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

}  // namespace cherryloft
