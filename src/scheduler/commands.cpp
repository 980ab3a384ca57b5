// The scheduler's commands to workers: what they should do, in answers to check-ins and directly.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {
using wire::Order;
using wire::TaskPhase;

constexpr Duration kDirectDeadline{2'000};
constexpr Duration kAfterUnknown{2'000};
constexpr Duration kAfterRelayed{10'000};
constexpr Duration kAfterRefused{1'000};
constexpr Duration kStopAgain{1'500};
constexpr double kSavingSlackS = 5;       // beyond twice the time that a save takes
constexpr std::size_t kMostOrders = 300;  // keeps an answer's line under 64 KiB
constexpr std::size_t kMostAsking = 64;   // questions without orders under way at a time
}  // namespace

// No task is named twice.
void ShardScheduler::addOrders(std::vector<Order>& list, std::vector<Order> more) {
  std::set<std::pair<TaskId, Attempt>> named;
  for (const auto& o : list) named.insert({o.task, o.attempt});
  for (auto& o : more)
    if (named.count({o.task, o.attempt}) == 0) list.push_back(std::move(o));
}

// How long a task that was stopped may save. A member of a gang that has saved waits for the others.
Duration ShardScheduler::mostSaving(const Job& job) const {
  return seconds(2 * job.spec->snapshotS + kSavingSlackS + (job.isGang() ? settings_.gangPeerS : 0));
}

// What the worker should do; for a check-in also what is repeated until it shows.
std::vector<Order> ShardScheduler::orders(Machine& h, const wire::Report* checkIn) {
  auto now = runtime_.now();
  std::vector<Order> out;
  if (!h.heard) return out;
  for (auto& [task, p] : h.placements) {
    if (out.size() >= kMostOrders) break;
    if (p.committed && p.wanted && !p.shown && !p.restored) {
      // Perhaps its end is committed, without an answer to us, and told by a sibling (invariant 8).
      if (!p.job->open()) continue;
      // No member of a gang starts before the attempts of all are written.
      if (p.job->isGang() && !p.job->allCommitted()) continue;
      if (checkIn ? h.directBusy : p.sent) continue;
      out.push_back({Order::Verb::Start, task, p.attempt, 0});
      p.sent = true;
      if (checkIn) p.checkInStart = checkIn->serial;
    } else if (!p.wanted && p.shown) {
      bool sentBefore = p.stopSent != Time{};
      if (!checkIn && now - p.stopSent < kStopAgain) continue;
      const auto& spec = *p.job->spec;
      // An aborted job's work is of no use to anyone, and nothing saves for ever.
      bool saves = spec.snapshotEveryS > 0 && p.job->open() && !p.mayNotSave &&
                   (!sentBefore || now - p.stopSent < mostSaving(*p.job));
      out.push_back({Order::Verb::Stop, task, p.attempt, saves ? spec.snapshotS + 1 : 0});
      if (!sentBefore || !checkIn) p.stopSent = now;
    }
  }
  if (checkIn) strayOrders(h, out);
  return out;
}

// Entries of the last report that the shard state do not place there. Forgets go in answers to check-ins
// only: by then no copy of their start can still arrive (invariant 3).
void ShardScheduler::strayOrders(Machine& h, std::vector<Order>& out) {
  bool mayForget = h.settled() && !h.directBusy;
  for (const auto& t : h.reported) {
    if (out.size() >= kMostOrders) return;
    auto it = h.placements.find(t.task);
    if (it != h.placements.end() && it->second.attempt == t.attempt) continue;
    if (t.phase != TaskPhase::Exited) {
      out.push_back({Order::Verb::Stop, t.task, t.attempt, 0});
      continue;
    }
    const Job* job = state_.job(t.task.job);
    if (job && t.task.index < job->tasks.size()) {
      const auto& task = job->tasks[t.task.index];
      // Done is committed before the last trace of it is forgotten (invariant 8).
      if (task.state == TaskState::Done && !task.doneCommitted && job->status == JobStatus::Open) continue;
    }
    if (mayForget) out.push_back({Order::Verb::Forget, t.task, t.attempt, 0});
  }
}

void ShardScheduler::direct(Machine& h) {
  auto now = runtime_.now();
  if (!owns()) return;
  if (h.directBusy) {
    h.directAgain = true;
    return;
  }
  if (now < h.directNotBefore || h.address.empty()) return;
  auto list = orders(h, nullptr);
  // A machine not heard from, or not of late, is asked for a report. Few at a time: their own reports come
  // meanwhile, and are to be answered first.
  bool ask = list.empty();
  if (ask && h.heard && !late(h) && !h.directAgain) return;
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
  h.directBusy = true;
  h.directAgain = false;
  asking_ += ask;
  ++commanding_;
  Sent sent{h.token(), h.heard ? h.session : h.hint, std::pair(h.session, h.serial), ask};
  runtime_.call(to, {"POST", "/commands", wire::encodeCommands(sent.token, sent.session, list), false},
                kDirectDeadline, guarded([this, id = h.id, sent](HttpResult r) { directed(id, sent, r); }));
}

// Machines that are gone from the shard state by now are left out.
void ShardScheduler::directAll(const std::set<MachineId>& machines) {
  for (const auto& id : machines)
    if (Machine* h = state_.machine(id)) direct(*h);
}

void ShardScheduler::directed(const MachineId& id, const Sent& sent, const HttpResult& r) {
  if (sent.ask) --asking_;
  --commanding_;
  Machine* h = state_.machine(id);
  if (!h) return;
  auto now = runtime_.now();
  h->directBusy = false;
  auto report = r.answered(200) || r.answered(409) ? wire::parseReport(r.response.body) : std::nullopt;
  if (report && report->machine == id) {
    if (report->token > h->token()) return;  // superseded; its check-ins will say so
    h->askedInVain = 0;
    bool older = std::pair(report->session, report->serial) <= sent.known;
    if (older || report->session <= h->expiredSession) reborn(*h, *report);
    apply(*h, *report, false);
    h = state_.machine(id);
    if (!h) return;
    // The first command could not know the session.
    bool missed = report->session != sent.session;
    if (missed || h->directAgain) direct(*h);
    return;
  }
  if (++h->askedInVain >= kAskedInVain) askThroughSiblings(*h);
  if (r.outcome == HttpResult::Outcome::NotSent) {
    h->directNotBefore = now + kAfterRefused;
    return;
  }
  // It may be executed minutes later. The raised token shuts it out once the worker has seen it (invariant
  // 3).
  log_->debug("no answer to commands from {}", id.value);
  h->unsettled = sent.token;
  ++h->raises;
  h->attention = true;
  // Where only its check-ins get through, orders go in their answers: each lost command would shut it out of
  // new work until it has acknowledged the raised token.
  bool relayed = h->askedInVain >= kAskedInVain && now - h->lastHeard < reportDue();
  h->directNotBefore = now + (relayed ? kAfterRelayed : kAfterUnknown);
  proven(*h, false);
  state_.reindex(*h);
}

// Perhaps only we can't reach it: then its check-ins are relayed, and it is not to be given up.
void ShardScheduler::askThroughSiblings(Machine& h) {
  Sent sent{h.token(), h.session, std::pair(h.session, h.serial), false};
  callbacks_.probe(h.address, guarded([this, id = h.id, sent](const std::string& body) {
                     auto report = wire::parseReport(body);
                     Machine* h = state_.machine(id);
                     if (!h || !report || report->machine != id || report->token > h->token()) return;
                     if (std::pair(report->session, report->serial) > sent.known) apply(*h, *report, false);
                   }));
}

}  // namespace cherryloft
