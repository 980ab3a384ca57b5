// The scheduler's judgement of machines that are not heard, or do not hear: leases that ran out, and doubt.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

constexpr double kFreshReports = 2.6;  // report intervals after which a machine gets no new work
// A report may come a quarter late; one that is later still is asked for.
constexpr double kLateReports = 1.25;
constexpr Duration kLate{1'000};
constexpr Duration kNextController{6'500};  // a worker gives up on one controller and reports to the next
constexpr double kDeafReports = 2.5;        // the same for one that we hear and that does not hear us
constexpr Duration kDeafBeyond{4'000};
constexpr double kSuspectedFraction = 0.26;  // more doubtful machines than this: the fault is not theirs
constexpr double kSuspectedFractionOfZone = 0.5;
constexpr double kFew = 3;  // so many are given up singly even where that is much of a small shard

}  // namespace

// How long it has had the chance to be heard and was not: our own standstill is no silence of its.
Duration ShardScheduler::silence(const Machine& h) const {
  return runtime_.now() - std::max(h.lastHeard, resumed_);
}

Duration ShardScheduler::reportDue() const { return seconds(settings_.reportS * kLateReports); }

// Its report should have been here by now.
bool ShardScheduler::late(const Machine& h) const { return silence(h) > reportDue() + kLate; }

void ShardScheduler::watchSilence(Machine& h, Time now) {
  bool over = now > h.aliveUntil && (h.heard || !h.placements.empty());
  if (over && now > callbacks_.answeredElsewhere() + leaseAfterAnswer()) {
    // Its lease has run out whatever happened (invariant 2); what it still says of that session is old.
    log_->info("{} was silent for its whole lease", h.id.value);
    h.expiredSession = h.session;
    h.heard = false;
    h.unsettled.reset();
    h.reported.clear();
    std::vector<TaskId> lost;
    for (const auto& [task, p] : h.placements)
      if (p.committed) lost.push_back(task);
    for (const auto& task : lost) {
      lose(h, task);
    }
    wake(true);
  }
  if (!h.stale && silence(h) > seconds(settings_.reportS * kFreshReports)) {
    h.stale = true;
    state_.reindex(h);
  }
  if (!h.heard || late(h)) h.attention = true;
}

// Silent though it was asked, or heard without a sign that it hears us (invariant 11).
bool ShardScheduler::doubtful(const Machine& h, Time now) const {
  if (h.known.record.phase != wire::MachinePhase::InUse) return false;
  bool deaf = h.unprovenSince && now - std::max(*h.unprovenSince, resumed_) >
                                     seconds(settings_.reportS * kDeafReports) + kDeafBeyond;
  if (deaf) return true;
  // One that was never heard is still booting, which the leader watches.
  if (!h.heard && h.placements.empty()) return false;
  return h.askedInVain >= kAskedInVain && silence(h) > reportDue() + kNextController;
}

// A doubtful machine is returned: the cloud's word that it is gone frees its tasks at once. Where much of a
// shard or of a zone is in doubt the fault is likely not theirs, and leases decide. Of those that were ever
// up all that are late count for that: those behind a cut come into doubt one after the other, over a whole
// report interval, and the first of them must not be given up for want of the rest.
void ShardScheduler::giveUpDoubtful(Time now) {
  std::vector<Machine*> doubts;
  std::map<Zone, std::pair<double, double>> zones;  // late or doubtful, all
  double suspects = 0, all = 0;
  for (auto& [_, h] : state_.machines()) {
    bool doubt = doubtful(h, now);
    if (!doubt && !h.heard && h.known.record.address.empty()) continue;
    auto& z = zones[h.zone()];
    ++z.second;
    ++all;
    if (!doubt && !late(h)) continue;
    ++z.first;
    ++suspects;
    if (doubt) doubts.push_back(&h);
  }
  // When such a fault ends, the machines come back one after the other as well.
  auto settle = reportDue() + kNextController;
  if (suspects > std::max(kFew, kSuspectedFraction * all)) manyInDoubt_ = now;
  for (const auto& [zone, z] : zones)
    if (z.first > std::max(kFew, kSuspectedFractionOfZone * z.second)) zoneInDoubt_[zone] = now;
  if (manyInDoubt_ && now - *manyInDoubt_ < settle) return;
  for (Machine* h : doubts) {
    auto z = zoneInDoubt_.find(h->zone());
    if (h->returnNow || (z != zoneInDoubt_.end() && now - z->second < settle)) continue;
    log_->info("{} {} and is returned", h->id.value, h->unprovenSince ? "does not hear us" : "is silent");
    h->returnNow = h->leaving = true;
    state_.reindex(*h);
  }
}

}  // namespace cherryloft
