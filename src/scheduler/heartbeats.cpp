// The scheduler's dealings with workers: reports, orders, direct commands.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

using wire::ExitCause;
using wire::Order;
using wire::TaskPhase;

constexpr unsigned kMissedStarts = 2;  // check-ins in a row that lack what an answer should have started

}  // namespace

ShardScheduler::CheckInAnswer ShardScheduler::checkIn(const wire::Report& r) {
  auto now = runtime_.now();
  if (!leaseValidity_.answers(now)) return {503, R"({"error":"not entitled"})"};
  if (!loaded_) {
    // Its lease must not run out while we load; build() counts the time from its own, later, moment. What the
    // former owner cancelled may be unknown to us, for so long only (invariant 16).
    if (now >= store_.currentAsOf(keys::kJobs) + settings_.blindFor())
      return {503, R"({"error":"the share is not loaded"})"};
    auto known = view_.machines.find(r.machine);
    if (known == view_.machines.end()) return {503, R"({"error":"unknown machine"})"};
    auto base = tokenOf(std::max(known->second.record.token, takeover_.epoch));
    if (r.token > base) return {421, "{}"};
    return {200, wire::encodeOrders(base, view_.endsOfAborted(r))};
  }
  if (mayNotKnowCancellations(now)) return {503, R"({"error":"cancellations may be unknown"})"};
  Machine* h = state_.machine(r.machine);
  if (!h) return {503, R"({"error":"unknown machine"})"};
  if (r.token > h->token()) {
    // Invariant 5: somebody else has the right to this machine now.
    log_->info("superseded for {}", r.machine.value);
    return {421, "{}"};
  }
  bool news = apply(*h, r, true);
  h = state_.machine(r.machine);
  if (!h) return {503, R"({"error":"unknown machine"})"};
  // Until it has acknowledged our token, a former owner may be answering it as well (invariant 6).
  if (!h->heard) h->aliveUntil = std::max(h->aliveUntil, now + leaseAfterAnswer());
  // What is aborted ends with every answer: its lease must not go on without (invariant 16).
  auto list = view_.endsOfAborted(r);
  // A late copy gets no other orders: whoever waits for its answer, the present machine does not (invariant
  // 12).
  if (owns() && news) addOrders(list, orders(*h, &r));
  return {200, wire::encodeOrders(h->token(), list)};
}

Duration ShardScheduler::leaseAfterAnswer() const { return seconds(settings_.leaseS * 1.002 + 1.0); }

bool ShardScheduler::apply(Machine& h, const wire::Report& r, bool checkIn) {
  auto now = runtime_.now();
  bool trusted = r.token >= h.base;
  if (!h.heard && !trusted) {
    // It may be a copy from any time before: nothing in it is the present but that what is done is done
    // (invariant 12). The session it names is tried in commands.
    if (r.session > h.expiredSession) h.hint = std::max(h.hint, r.session);
    if (h.address.empty()) h.address = r.address;
    for (const auto& t : r.tasks)
      if (t.phase == TaskPhase::Exited && t.cause == ExitCause::Done) {
        auto it = h.placements.find(t.task);
        if (it != h.placements.end() && it->second.attempt == t.attempt) ended(h, t);
      }
    if (checkIn) proven(h, false);
    h.attention = true;
    wake(false);
    return false;
  }
  // Late reports never undo newer knowledge (invariant 4).
  // Nor does one that shows a lower token than the worker has shown: it is a copy of the former worker's.
  if (std::pair(r.session, r.serial) <= std::pair(h.session, h.serial) || r.session <= h.expiredSession ||
      r.token < h.seen) {
    // Or the machine began anew and counts from one again: its own answer to a question tells.
    if (r.token < h.seen && checkIn) h.directAgain = h.attention = true;
    return false;
  }
  bool dropped = r.session > h.session && h.session.value > 0;
  if (dropped) newSession(h);
  h.session = h.hint = r.session;
  h.serial = r.serial;
  h.lastHeard = now;
  // The answer to this report, and to any older one, renews its lease until then at the latest.
  h.aliveUntil = now + leaseAfterAnswer();
  h.seen = std::max(h.seen, r.token);
  if (h.settled()) h.unsettled.reset();
  bool wasStale = std::exchange(h.stale, false);
  bool first = !h.heard;
  if (!first && dropped && checkIn) {
    // It lost its lease although it was answered. It gets new work once it shows that it hears us.
    raiseToken(h);
  }
  proven(h, h.settled());
  if (!first && !wasStale && !dropped && !h.attention && r.tasks == h.reported && !r.reclaimInS) {
    state_.reindex(h);
    if (h.indexedFree && *h.indexedFree > 0) wake(false, &h.id);
    return true;  // as before
  }
  auto before = h.placements.size();
  for (const auto& t : r.tasks) {
    auto it = h.placements.find(t.task);
    if (it == h.placements.end() || it->second.attempt != t.attempt) continue;
    if (t.phase == TaskPhase::Exited) {
      ended(h, t);
      continue;
    }
    auto& p = it->second;
    if (p.shown && p.phase == t.phase) continue;
    if (!p.shown && !p.restored) spans_.toShown.add(now - p.placedAt);
    state_.setPhase(p, t.phase, now);
    state_.cached(h, p.job->spec->image, p.job->spec->imageGb);
  }
  absent(h, r, checkIn);
  h.heard = true;
  h.reported = r.tasks;
  if (!r.address.empty()) h.address = r.address;
  noticed(h, r);
  bool pending =
      std::any_of(h.placements.begin(), h.placements.end(), [](const auto& p) { return p.second.pending(); });
  h.attention = pending || h.directAgain || !h.settled();
  state_.reindex(h);
  bool freed = h.placements.size() < before || first || wasStale;
  wake(freed, &h.id);
  return true;
}

// What was sent under the token so far has no effect once the worker has seen the next (invariant 3).
void ShardScheduler::raiseToken(Machine& h) {
  h.unsettled = h.token();
  ++h.raises;
}

// Reports come; do they show that our answers arrive (invariant 11)?
void ShardScheduler::proven(Machine& h, bool yes) {
  if (yes)
    h.unprovenSince.reset();
  else if (!h.unprovenSince)
    h.unprovenSince = runtime_.now();
}

// The machine's own answer to a question is older than what it said before the question: a new worker, that
// counts from one again, has taken the place of the old one. What the old one held is gone with it, but
// starts that were on their way may reach the new one, until it has seen a higher token (invariant 3).
void ShardScheduler::reborn(Machine& h, const wire::Report& r) {
  log_->info("{} began anew", h.id.value);
  h.session = h.hint = r.session;
  h.serial = Serial{r.serial.value - 1};
  h.seen = r.token;
  h.expiredSession = WorkerSession{};
  h.reported.clear();
  raiseToken(h);
  for (auto& [_, p] : h.placements) {
    if (p.shown && p.phase == TaskPhase::Running) --p.job->running;
    p.shown = p.restored = false;
    p.sent = true;
    p.wanted = false;
    p.checkInStart = h.serial;
  }
  h.attention = true;
}

// The task is known gone from the machine.
void ShardScheduler::lose(Machine& h, const TaskId& task) {
  auto it = h.placements.find(task);
  if (it == h.placements.end()) return;  // went together with another member of its gang
  Job& job = *it->second.job;
  state_.gone(h, task, runtime_.now());
  settleDoneGang(job);
  endIfFinished(job);
  gangBroken(job);
  cleanUp(job);
}

// The worker killed and forgot everything of the sessions before (invariant 2).
void ShardScheduler::newSession(Machine& h) {
  h.unsettled.reset();
  h.reported.clear();
  std::vector<TaskId> lost;
  for (const auto& [task, p] : h.placements)
    if (p.sent || p.restored) lost.push_back(task);
  for (const auto& task : lost) {
    lose(h, task);
  }
}

// Placements that a newer report does not show: which of them are known gone (invariants 2, 3 and 4).
void ShardScheduler::absent(Machine& h, const wire::Report& r, bool checkIn) {
  std::set<std::pair<TaskId, Attempt>> present;
  for (const auto& t : r.tasks) present.insert({t.task, t.attempt});
  std::vector<TaskId> lost;
  bool missed = false;
  for (const auto& [task, p] : h.placements) {
    if (present.count({task, p.attempt}) > 0 || !p.committed) continue;
    missed |= checkIn && p.wanted && !p.shown && p.checkInStart.value > 0 && r.serial > p.checkInStart;
    bool never = p.restored && !p.sent;  // no start of a former owner can act under our token
    bool onItsWay = h.directBusy || !h.settled() || !checkIn || r.serial <= p.checkInStart;
    if (p.shown || never || (p.sent && !p.wanted && !onItsWay)) lost.push_back(task);
  }
  // Even a refused start shows: the answer that carried it did not arrive. Once is bad luck; after that the
  // machine must show a higher token before it gets more (invariant 11).
  h.missedStarts = missed ? h.missedStarts + 1 : 0;
  if (h.missedStarts >= kMissedStarts && h.settled()) {
    raiseToken(h);
    proven(h, false);
  }
  for (const auto& task : lost) {
    lose(h, task);
  }
}

void ShardScheduler::noticed(Machine& h, const wire::Report& r) {
  if (!r.reclaimInS) return;
  auto now = runtime_.now();
  bool first = !h.reclaimAt;
  h.reclaimAt = now + seconds(*r.reclaimInS);
  if (!first) return;
  log_->info("{} will be taken in {} s", h.id.value, *r.reclaimInS);
  std::vector<TaskId> move;
  for (const auto& [task, p] : h.placements) {
    const auto& spec = *p.job->spec;
    double ran = p.shown && p.phase == TaskPhase::Running ? inSeconds(now - p.runningSince) : 0;
    bool ends = spec.shape != Shape::Service && spec.expectS - ran < *r.reclaimInS;
    if (p.wanted && !ends) move.push_back(task);
  }
  for (const auto& task : move) {
    auto it = h.placements.find(task);
    if (it == h.placements.end()) continue;  // it went with another member of its gang
    if (it->second.job->isGang())
      stopGang(*it->second.job, it->second.job->spec->snapshotS >= *r.reclaimInS);
    else
      stop(h, task, it->second);
  }
  state_.reindex(h);
  direct(h);
}

void ShardScheduler::stop(Machine& h, const TaskId& id, Placement& p) {
  p.wanted = false;
  h.attention = true;
  if (!p.committed || p.sent || p.restored) return;
  lose(h, id);  // committed but never sent: it is nowhere
}

}  // namespace cherryloft
