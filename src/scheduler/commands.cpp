// The scheduler's commands to workers: what they should do, in answers to heartbeats and directly.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {
using wire::Command;
using wire::TaskPhase;

constexpr Duration kDirectDeadline{2'000};
constexpr Duration kAfterUnknown{2'000};
constexpr Duration kAfterRelayed{10'000};
constexpr Duration kAfterRefused{1'000};
constexpr Duration kStopAgain{1'500};
constexpr double kSavingSlackS = 5;        // beyond twice the time that a save takes
constexpr std::size_t kMaxCommands = 300;  // keeps an answer's line under 64 KiB
constexpr std::size_t kMostAsking = 64;    // questions without commands under way at a time
}  // namespace

// No task is named twice.
void ShardScheduler::addCommands(std::vector<Command>& list, std::vector<Command> more) {
  std::set<std::pair<TaskId, Attempt>> named;
  for (const auto& o : list) named.insert({o.task, o.attempt});
  for (auto& o : more)
    if (named.count({o.task, o.attempt}) == 0) list.push_back(std::move(o));
}

// How long a task that was stopped may save. A member of a gang that has saved waits for the others.
Duration ShardScheduler::maxCheckpointTime(const Job& job) const {
  return seconds(2 * job.spec->checkpointSeconds + kSavingSlackS + (job.isGang() ? settings_.gangPeerS : 0));
}

// What the worker should do; for a heartbeat also what is repeated until it shows.
std::vector<Command> ShardScheduler::commandsFor(Machine& h, const wire::WorkerHeartbeat* heartbeat) {
  auto now = runtime_.now();
  std::vector<Command> out;
  if (!h.heard) return out;
  for (auto& [task, p] : h.placements) {
    if (out.size() >= kMaxCommands) break;
    if (p.committed && p.wanted && !p.shown && !p.restored) {
      // Perhaps its end is committed, without an answer to us, and told by a sibling (invariant 8).
      if (!p.job->open()) continue;
      // No member of a gang starts before the attempts of all are written.
      if (p.job->isGang() && !p.job->allCommitted()) continue;
      if (heartbeat ? h.commandInFlight : p.sent) continue;
      out.push_back({Command::Verb::Start, task, p.attempt, 0});
      p.sent = true;
      if (heartbeat) p.startSentWith = heartbeat->sequence;
    } else if (!p.wanted && p.shown) {
      bool sentBefore = p.stopSent != Time{};
      if (!heartbeat && now - p.stopSent < kStopAgain) continue;
      const auto& spec = *p.job->spec;
      // An cancelled job's work is of no use to anyone, and nothing saves for ever.
      bool saves = spec.checkpointIntervalSeconds > 0 && p.job->open() && !p.skipCheckpoint &&
                   (!sentBefore || now - p.stopSent < maxCheckpointTime(*p.job));
      out.push_back({Command::Verb::Stop, task, p.attempt, saves ? spec.checkpointSeconds + 1 : 0});
      if (!sentBefore || !heartbeat) p.stopSent = now;
    }
  }
  if (heartbeat) stopCommandsForUnknownTasks(h, out);
  return out;
}

// Entries of the last report that the shard state do not place there. Forgets go in answers to heartbeats
// only: by then no copy of their start can still arrive (invariant 3).
void ShardScheduler::stopCommandsForUnknownTasks(Machine& h, std::vector<Command>& out) {
  bool mayForget = h.noCommandInDoubt() && !h.commandInFlight;
  for (const auto& t : h.reported) {
    if (out.size() >= kMaxCommands) return;
    auto it = h.placements.find(t.task);
    if (it != h.placements.end() && it->second.attempt == t.attempt) continue;
    if (t.phase != TaskPhase::Exited) {
      out.push_back({Command::Verb::Stop, t.task, t.attempt, 0});
      continue;
    }
    const Job* job = state_.job(t.task.job);
    if (job && t.task.index < job->tasks.size()) {
      const auto& task = job->tasks[t.task.index];
      // Done is committed before the last trace of it is forgotten (invariant 8).
      if (task.state == TaskState::Done && !task.doneCommitted && job->status == JobStatus::Open) continue;
    }
    if (mayForget) out.push_back({Command::Verb::Forget, t.task, t.attempt, 0});
  }
}

void ShardScheduler::sendCommands(Machine& h) {
  auto now = runtime_.now();
  if (!owns()) return;
  if (h.commandInFlight) {
    h.sendAgain = true;
    return;
  }
  if (now < h.sendNotBefore || h.address.empty()) return;
  auto list = commandsFor(h, nullptr);
  // A machine not heard from, or not of late, is asked for a report. Few at a time: their own reports come
  // meanwhile, and are to be answered first.
  bool ask = list.empty();
  if (ask && h.heard && !heartbeatOverdue(h) && !h.sendAgain) return;
  if (ask && asking_ >= kMostAsking) return;
  // Sockets are kept for a third of what a controller may have to command at once: all shards may be its own.
  if (commanding_ >= std::max<std::size_t>(settings_.keptSockets() / 2 / settings_.size(), 8)) {
    h.attention = true;
    return;
  }
  Address to;
  try {
    to = parseAddress(h.address);
  } catch (const SettingsError&) {
    return;
  }
  h.commandInFlight = true;
  h.sendAgain = false;
  asking_ += ask;
  ++commanding_;
  Sent sent{h.token(), h.heard ? h.incarnation : h.expectedIncarnation, std::pair(h.incarnation, h.sequence),
            ask};
  runtime_.call(to, {"POST", "/commands", wire::encodeCommands(sent.token, sent.incarnation, list), false},
                kDirectDeadline,
                guarded([this, id = h.id, sent](HttpResult r) { handleDirectAnswer(id, sent, r); }));
}

// Machines that are gone from the shard state by now are left out.
void ShardScheduler::sendCommandsToAll(const std::set<MachineId>& machines) {
  for (const auto& id : machines)
    if (Machine* h = state_.machine(id)) sendCommands(*h);
}

void ShardScheduler::handleDirectAnswer(const MachineId& id, const Sent& sent, const HttpResult& r) {
  if (sent.ask) --asking_;
  --commanding_;
  Machine* h = state_.machine(id);
  if (!h) return;
  auto now = runtime_.now();
  h->commandInFlight = false;
  auto heartbeat = r.answered(200) || r.answered(409) ? wire::parseHeartbeat(r.response.body) : std::nullopt;
  if (heartbeat && heartbeat->machine == id) {
    if (heartbeat->token > h->token()) return;  // superseded; its heartbeats will say so
    h->unansweredProbes = 0;
    bool older = std::pair(heartbeat->incarnation, heartbeat->sequence) <= sent.known;
    if (older || heartbeat->incarnation <= h->expiredIncarnation) handleWorkerRestart(*h, *heartbeat);
    reconcile(*h, *heartbeat, false);
    h = state_.machine(id);
    if (!h) return;
    // The first command could not know the incarnation.
    bool missed = heartbeat->incarnation != sent.incarnation;
    if (missed || h->sendAgain) sendCommands(*h);
    return;
  }
  if (++h->unansweredProbes >= kUnansweredProbesToSuspect) probeThroughPeers(*h);
  if (r.outcome == HttpResult::Outcome::NotSent) {
    h->sendNotBefore = now + kAfterRefused;
    return;
  }
  // It may be executed minutes later. The advanced token shuts it out once the worker has seen it (invariant
  // 3).
  log_->debug("no answer to commands from {}", id.value);
  h->commandInDoubt = sent.token;
  ++h->tokenGeneration;
  h->attention = true;
  // Where only its heartbeats get through, commands go in their answers: each lost command would shut it out
  // of new work until it has acknowledged the advanced token.
  bool relayed = h->unansweredProbes >= kUnansweredProbesToSuspect && now - h->lastHeard < reportDue();
  h->sendNotBefore = now + (relayed ? kAfterRelayed : kAfterUnknown);
  noteTokenAcknowledged(*h, false);
  state_.reindex(*h);
}

// Perhaps only we can't reach it: then its heartbeats are relayed, and it is not to be given up.
void ShardScheduler::probeThroughPeers(Machine& h) {
  Sent sent{h.token(), h.incarnation, std::pair(h.incarnation, h.sequence), false};
  callbacks_.probe(h.address, guarded([this, id = h.id, sent](const std::string& body) {
                     auto heartbeat = wire::parseHeartbeat(body);
                     Machine* h = state_.machine(id);
                     if (!h || !heartbeat || heartbeat->machine != id || heartbeat->token > h->token())
                       return;
                     if (std::pair(heartbeat->incarnation, heartbeat->sequence) > sent.known)
                       reconcile(*h, *heartbeat, false);
                   }));
}

}  // namespace cherryloft
