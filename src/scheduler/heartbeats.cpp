// The scheduler's dealings with workers: reports, commands, direct commands.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

using wire::Command;
using wire::ExitCause;
using wire::TaskPhase;

constexpr unsigned kMissedStarts = 2;  // heartbeats in a row that lack what an answer should have started

}  // namespace

ShardScheduler::HeartbeatAnswer ShardScheduler::handleHeartbeat(const wire::WorkerHeartbeat& r) {
  auto now = runtime_.now();
  if (!leaseValidity_.answers(now)) return {503, R"({"error":"not entitled"})"};
  if (!loaded_) {
    // Its lease must not run out while we load; build() counts the time from its own, later, moment. What the
    // former owner cancelled may be unknown to us, for so long only (invariant 16).
    if (now >= store_.currentAsOf(keys::kJobs) + settings_.blindFor())
      return {503, R"({"error":"the share is not loaded"})"};
    auto known = view_.machines.find(r.machine);
    if (known == view_.machines.end()) return {503, R"({"error":"unknown machine"})"};
    auto lowestOwnToken = tokenOf(std::max(known->second.record.token, takeover_.epoch));
    if (r.token > lowestOwnToken) return {421, "{}"};
    return {200, wire::encodeHeartbeatAnswer(lowestOwnToken, view_.stopCommandsForCancelled(r))};
  }
  if (mayNotKnowCancellations(now)) return {503, R"({"error":"cancellations may be unknown"})"};
  Machine* h = state_.machine(r.machine);
  if (!h) return {503, R"({"error":"unknown machine"})"};
  if (r.token > h->token()) {
    // Invariant 5: somebody else has the right to this machine now.
    log_->info("superseded for {}", r.machine.value);
    return {421, "{}"};
  }
  bool news = reconcile(*h, r, true);
  h = state_.machine(r.machine);
  if (!h) return {503, R"({"error":"unknown machine"})"};
  // Until it has acknowledged our token, a former owner may be answering it as well (invariant 6).
  if (!h->heard) h->aliveUntil = std::max(h->aliveUntil, now + leaseAfterAnswer());
  // What is cancelled ends with every answer: its lease must not go on without (invariant 16).
  auto list = view_.stopCommandsForCancelled(r);
  // A late copy gets no other commands: whoever waits for its answer, the present machine does not (invariant
  // 12).
  if (owns() && news) addCommands(list, commandsFor(*h, &r));
  return {200, wire::encodeHeartbeatAnswer(h->token(), list)};
}

Duration ShardScheduler::leaseAfterAnswer() const { return seconds(settings_.leaseS * 1.002 + 1.0); }

bool ShardScheduler::reconcile(Machine& h, const wire::WorkerHeartbeat& r, bool heartbeat) {
  auto now = runtime_.now();
  bool trusted = r.token >= h.lowestOwnToken;
  if (!h.heard && !trusted) {
    // It may be a copy from any time before: nothing in it is the present but that what is done is done
    // (invariant 12). The incarnation it names is tried in commands.
    if (r.incarnation > h.expiredIncarnation)
      h.expectedIncarnation = std::max(h.expectedIncarnation, r.incarnation);
    if (h.address.empty()) h.address = r.address;
    for (const auto& t : r.tasks)
      if (t.phase == TaskPhase::Exited && t.cause == ExitCause::Done) {
        auto it = h.placements.find(t.task);
        if (it != h.placements.end() && it->second.attempt == t.attempt) taskEnded(h, t);
      }
    if (heartbeat) noteTokenAcknowledged(h, false);
    h.attention = true;
    requestRound(false);
    return false;
  }
  // Late reports never undo newer knowledge (invariant 4).
  // Nor does one that shows a lower token than the worker has shown: it is a copy of the former worker's.
  if (std::pair(r.incarnation, r.sequence) <= std::pair(h.incarnation, h.sequence) ||
      r.incarnation <= h.expiredIncarnation || r.token < h.highestTokenSeen) {
    // Or the machine began anew and counts from one again: its own answer to a question tells.
    if (r.token < h.highestTokenSeen && heartbeat) h.sendAgain = h.attention = true;
    return false;
  }
  bool dropped = r.incarnation > h.incarnation && h.incarnation.value > 0;
  if (dropped) beginIncarnation(h);
  h.incarnation = h.expectedIncarnation = r.incarnation;
  h.sequence = r.sequence;
  h.lastHeard = now;
  // The answer to this report, and to any older one, renews its lease until then at the latest.
  h.aliveUntil = now + leaseAfterAnswer();
  h.highestTokenSeen = std::max(h.highestTokenSeen, r.token);
  if (h.noCommandInDoubt()) h.commandInDoubt.reset();
  bool wasCordoned = std::exchange(h.cordoned, false);
  bool first = !h.heard;
  if (!first && dropped && heartbeat) {
    // It lost its lease although it was answered. It gets new work once it shows that it hears us.
    advanceToken(h);
  }
  noteTokenAcknowledged(h, h.noCommandInDoubt());
  if (!first && !wasCordoned && !dropped && !h.attention && r.tasks == h.reported && !r.reclaimInS) {
    state_.reindex(h);
    if (h.indexedFree && *h.indexedFree > 0) requestRound(false, &h.id);
    return true;  // as before
  }
  auto before = h.placements.size();
  for (const auto& t : r.tasks) {
    auto it = h.placements.find(t.task);
    if (it == h.placements.end() || it->second.attempt != t.attempt) continue;
    if (t.phase == TaskPhase::Exited) {
      taskEnded(h, t);
      continue;
    }
    auto& p = it->second;
    if (p.shown && p.phase == t.phase) continue;
    if (!p.shown && !p.restored) latencies_.toShown.add(now - p.placedAt);
    state_.setPhase(p, t.phase, now);
    state_.cached(h, p.job->spec->image, p.job->spec->imageGb);
  }
  reconcileMissingTasks(h, r, heartbeat);
  h.heard = true;
  h.reported = r.tasks;
  if (!r.address.empty()) h.address = r.address;
  handleReclaimNotice(h, r);
  bool pending =
      std::any_of(h.placements.begin(), h.placements.end(), [](const auto& p) { return p.second.pending(); });
  h.attention = pending || h.sendAgain || !h.noCommandInDoubt();
  state_.reindex(h);
  bool freed = h.placements.size() < before || first || wasCordoned;
  requestRound(freed, &h.id);
  return true;
}

// What was sent under the token so far has no effect once the worker has seen the next (invariant 3).
void ShardScheduler::advanceToken(Machine& h) {
  h.commandInDoubt = h.token();
  ++h.tokenGeneration;
}

// Reports come; do they show that our answers arrive (invariant 11)?
void ShardScheduler::noteTokenAcknowledged(Machine& h, bool yes) {
  if (yes)
    h.tokenUnacknowledgedSince.reset();
  else if (!h.tokenUnacknowledgedSince)
    h.tokenUnacknowledgedSince = runtime_.now();
}

// The machine's own answer to a question is older than what it said before the question: a new worker, that
// counts from one again, has taken the place of the old one. What the old one held is gone with it, but
// starts that were on their way may reach the new one, until it has seen a higher token (invariant 3).
void ShardScheduler::handleWorkerRestart(Machine& h, const wire::WorkerHeartbeat& r) {
  log_->info("{} began anew", h.id.value);
  h.incarnation = h.expectedIncarnation = r.incarnation;
  h.sequence = SequenceNumber{r.sequence.value - 1};
  h.highestTokenSeen = r.token;
  h.expiredIncarnation = Incarnation{};
  h.reported.clear();
  advanceToken(h);
  for (auto& [_, p] : h.placements) {
    if (p.shown && p.phase == TaskPhase::Running) --p.job->running;
    p.shown = p.restored = false;
    p.sent = true;
    p.wanted = false;
    p.startSentWith = h.sequence;
  }
  h.attention = true;
}

// The task is known gone from the machine.
void ShardScheduler::taskLost(Machine& h, const TaskId& task) {
  auto it = h.placements.find(task);
  if (it == h.placements.end()) return;  // went together with another member of its gang
  Job& job = *it->second.job;
  state_.markGone(h, task, runtime_.now());
  completeGangIfDone(job);
  endIfFinished(job);
  handleGangMemberLost(job);
  cleanUp(job);
}

// The worker killed and forgot everything of the incarnation before (invariant 2).
void ShardScheduler::beginIncarnation(Machine& h) {
  h.commandInDoubt.reset();
  h.reported.clear();
  std::vector<TaskId> lostTasks;
  for (const auto& [task, p] : h.placements)
    if (p.sent || p.restored) lostTasks.push_back(task);
  for (const auto& task : lostTasks) {
    taskLost(h, task);
  }
}

// Placements that a newer report does not show: which of them are known gone (invariants 2, 3 and 4).
void ShardScheduler::reconcileMissingTasks(Machine& h, const wire::WorkerHeartbeat& r, bool heartbeat) {
  std::set<std::pair<TaskId, Attempt>> present;
  for (const auto& t : r.tasks) present.insert({t.task, t.attempt});
  std::vector<TaskId> lostTasks;
  bool missed = false;
  for (const auto& [task, p] : h.placements) {
    if (present.count({task, p.attempt}) > 0 || !p.committed) continue;
    missed |= heartbeat && p.wanted && !p.shown && p.startSentWith.value > 0 && r.sequence > p.startSentWith;
    bool never = p.restored && !p.sent;  // no start of a former owner can act under our token
    bool onItsWay = h.commandInFlight || !h.noCommandInDoubt() || !heartbeat || r.sequence <= p.startSentWith;
    if (p.shown || never || (p.sent && !p.wanted && !onItsWay)) lostTasks.push_back(task);
  }
  // Even a refused start shows: the answer that carried it did not arrive. Once is bad luck; after that the
  // machine must show a higher token before it gets more (invariant 11).
  h.missedStarts = missed ? h.missedStarts + 1 : 0;
  if (h.missedStarts >= kMissedStarts && h.noCommandInDoubt()) {
    advanceToken(h);
    noteTokenAcknowledged(h, false);
  }
  for (const auto& task : lostTasks) {
    taskLost(h, task);
  }
}

void ShardScheduler::handleReclaimNotice(Machine& h, const wire::WorkerHeartbeat& r) {
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
    bool ends = spec.kind != JobKind::Service && spec.expectedRunSeconds - ran < *r.reclaimInS;
    if (p.wanted && !ends) move.push_back(task);
  }
  for (const auto& task : move) {
    auto it = h.placements.find(task);
    if (it == h.placements.end()) continue;  // it went with another member of its gang
    if (it->second.job->isGang())
      stopGang(*it->second.job, it->second.job->spec->checkpointSeconds >= *r.reclaimInS
                                    ? GangCheckpoint::Skipped
                                    : GangCheckpoint::Allowed);
    else
      stop(h, task, it->second);
  }
  state_.reindex(h);
  sendCommands(h);
}

void ShardScheduler::stop(Machine& h, const TaskId& id, Placement& p) {
  p.wanted = false;
  h.attention = true;
  if (!p.committed || p.sent || p.restored) return;
  taskLost(h, id);  // committed but never sent: it is nowhere
}

}  // namespace cherryloft
