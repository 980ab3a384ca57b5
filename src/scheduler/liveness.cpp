// The scheduler's judgement of machines that are not heard, or do not hear: leases that ran out, and doubt.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

constexpr double kCordonAfterHeartbeats = 2.6;  // report intervals after which a machine gets no new work
// A report may come a quarter late; one that is later still is asked for.
constexpr double kOverdueAfterHeartbeats = 1.25;
constexpr Duration kOverdueMargin{1'000};
constexpr Duration kNextController{6'500};  // a worker gives up on one controller and reports to the next
constexpr double kUnacknowledgedHeartbeats = 2.5;  // the same for one that we hear and that does not hear us
constexpr Duration kUnacknowledgedBeyond{4'000};
constexpr double kSuspectedFraction = 0.26;  // more suspected machines than this: the fault is not theirs
constexpr double kSuspectedFractionOfZone = 0.5;
constexpr double kFewMachines = 3;  // so many are given up singly even where that is much of a small shard

}  // namespace

// How long it has had the chance to be heard and was not: our own standstill is no silence of its.
Duration ShardScheduler::timeSinceHeartbeat(const Machine& h) const {
  return runtime_.now() - std::max(h.lastHeard, resumed_);
}

Duration ShardScheduler::reportDue() const { return seconds(settings_.reportS * kOverdueAfterHeartbeats); }

// Its report should have been here by now.
bool ShardScheduler::heartbeatOverdue(const Machine& h) const {
  return timeSinceHeartbeat(h) > reportDue() + kOverdueMargin;
}

void ShardScheduler::checkLiveness(Machine& h, Time now) {
  bool over = now > h.aliveUntil && (h.heard || !h.placements.empty());
  if (over && now > callbacks_.answeredElsewhere() + leaseAfterAnswer()) {
    // Its lease has run out whatever happened (invariant 2); what it still says of that incarnation is old.
    log_->info("{} was silent for its whole lease", h.id.value);
    h.expiredIncarnation = h.incarnation;
    h.heard = false;
    h.commandInDoubt.reset();
    h.reported.clear();
    std::vector<TaskId> lostTasks;
    for (const auto& [task, p] : h.placements)
      if (p.committed) lostTasks.push_back(task);
    for (const auto& task : lostTasks) {
      taskLost(h, task);
    }
    requestRound(true);
  }
  if (!h.cordoned && timeSinceHeartbeat(h) > seconds(settings_.reportS * kCordonAfterHeartbeats)) {
    h.cordoned = true;
    state_.reindex(h);
  }
  if (!h.heard || heartbeatOverdue(h)) h.attention = true;
}

// Silent though it was asked, or heard without a sign that it hears us (invariant 11).
bool ShardScheduler::suspected(const Machine& h, Time now) const {
  if (h.known.record.phase != wire::MachinePhase::InUse) return false;
  bool unacknowledged = h.tokenUnacknowledgedSince &&
                        now - std::max(*h.tokenUnacknowledgedSince, resumed_) >
                            seconds(settings_.reportS * kUnacknowledgedHeartbeats) + kUnacknowledgedBeyond;
  if (unacknowledged) return true;
  // One that was never heard is still booting, which the leader watches.
  if (!h.heard && h.placements.empty()) return false;
  return h.unansweredProbes >= kUnansweredProbesToSuspect &&
         timeSinceHeartbeat(h) > reportDue() + kNextController;
}

// A suspected machine is returned: the cloud's word that it is gone frees its tasks at once. Where much of a
// shard or of a zone is in doubt the fault is likely not theirs, and leases decide. Of those that were ever
// up all that are late count for that: those behind a cut come into doubt one after the other, over a whole
// report interval, and the first of them must not be given up for want of the rest.
void ShardScheduler::returnSuspected(Time now) {
  std::vector<Machine*> suspectedMachines;
  std::map<Zone, std::pair<double, double>> zones;  // late or suspected, all
  double suspects = 0, all = 0;
  for (auto& [_, h] : state_.machines()) {
    bool doubt = suspected(h, now);
    if (!doubt && !h.heard && h.known.record.address.empty()) continue;
    auto& z = zones[h.zone()];
    ++z.second;
    ++all;
    if (!doubt && !heartbeatOverdue(h)) continue;
    ++z.first;
    ++suspects;
    if (doubt) suspectedMachines.push_back(&h);
  }
  // When such a fault ends, the machines come back one after the other as well.
  auto settle = reportDue() + kNextController;
  if (suspects > std::max(kFewMachines, kSuspectedFraction * all)) manySuspectedAt_ = now;
  for (const auto& [zone, z] : zones)
    if (z.first > std::max(kFewMachines, kSuspectedFractionOfZone * z.second)) zoneSuspectedAt_[zone] = now;
  if (manySuspectedAt_ && now - *manySuspectedAt_ < settle) return;
  for (Machine* h : suspectedMachines) {
    auto z = zoneSuspectedAt_.find(h->zone());
    if (h->returnNow || (z != zoneSuspectedAt_.end() && now - z->second < settle)) continue;
    log_->info("{} {} and is returned", h->id.value,
               h->tokenUnacknowledgedSince ? "does not hear us" : "is silent");
    h->returnNow = h->decommissioning = true;
    state_.reindex(*h);
  }
}

}  // namespace cherryloft
