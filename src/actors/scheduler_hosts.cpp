// The scheduler's dealings with workers: reports, orders, direct commands, silence.
#include <algorithm>

#include "actors/scheduler.h"

namespace cherryloft {
namespace {

using wire::ExitCause;
using wire::Order;
using wire::TaskPhase;

constexpr Duration kDirectDeadline{2'000};
constexpr Duration kAfterUnknown{2'000};
constexpr Duration kAfterRefused{1'000};
constexpr Duration kStopAgain{1'500};
constexpr std::size_t kMostOrders = 300;  // keeps an answer's line under 64 KiB
constexpr double kFreshReports = 2.6;     // report intervals after which a machine gets no new work
constexpr double kProbeReports = 2.0;     // and after which it is asked for one
constexpr double kSilentReports = 3.4;    // and after which a lone silent machine is returned
constexpr double kSilentShare = 0.26;     // more silent machines than this: the fault is not theirs
constexpr unsigned kFailuresToBackOff = 3;
constexpr std::size_t kFailedJobsToDrain = 2;

}  // namespace

bool Scheduler::usable(const Host& h) const {
  return h.heard && !h.leaving && !h.emptying && !h.reclaimAt &&
         h.known.record.phase == wire::HostPhase::InUse && h.settled() &&
         io_.now() - h.lastHeard < seconds(settings_.reportS * kFreshReports) && h.size.cores > 0;
}

Scheduler::CheckInAnswer Scheduler::checkIn(const wire::Report& r) {
  auto now = io_.now();
  if (!standing_.answers(now)) return {503, R"({"error":"not entitled"})"};
  if (!loaded_) {
    // Its lease must not run out while we load; build() counts the time from its own, later, moment.
    auto known = dir_.hosts.find(r.host);
    if (known == dir_.hosts.end()) return {503, R"({"error":"unknown machine"})"};
    auto base = tokenOf(std::max(known->second.record.token, taken_.epoch));
    if (r.token > base) return {421, "{}"};
    return {200, wire::encodeOrders(base, {})};
  }
  Host* h = books_.host(r.host);
  if (!h) return {503, R"({"error":"unknown machine"})"};
  if (r.token > h->token()) {
    // Invariant 5: somebody else has the right to this machine now.
    log_->info("superseded for {}", r.host.value);
    return {421, "{}"};
  }
  apply(*h, r, true);
  auto alive = now + seconds(settings_.leaseS * 1.002 + 1.0);
  // Until it has acknowledged our token, a former owner may be answering it as well (invariant 6).
  h->aliveUntil = h->heard ? alive : std::max(h->aliveUntil, alive);
  std::vector<Order> list;
  if (owns()) list = orders(*h, &r);
  return {200, wire::encodeOrders(h->token(), list)};
}

void Scheduler::apply(Host& h, const wire::Report& r, bool checkIn) {
  auto now = io_.now();
  // Late reports never undo newer knowledge (invariant 4).
  if (std::pair(r.tenure, r.serial) <= std::pair(h.tenure, h.serial) || r.tenure <= h.expiredTenure) return;
  if (r.tenure > h.tenure && h.tenure.value > 0) newTenure(h);
  h.tenure = r.tenure;
  h.serial = r.serial;
  h.lastHeard = now;
  h.seen = std::max(h.seen, r.token);
  if (h.settled()) h.unsettled.reset();
  bool first = !h.heard, trusted = r.token >= h.base;
  auto before = h.placements.size();
  for (const auto& t : r.tasks) {
    auto it = h.placements.find(t.task);
    if (it == h.placements.end() || it->second.attempt != t.attempt) continue;
    if (t.phase == TaskPhase::Exited) {
      // What is done is done; any other end counts once no former owner's orders can be under way.
      if (trusted || t.cause == ExitCause::Done) ended(h, t);
      continue;
    }
    books_.setPhase(it->second, t.phase, now);
    h.images.touch(it->second.job->spec->image, it->second.job->spec->imageGb);
  }
  if (trusted) {
    absent(h, r, checkIn);
    h.heard = true;
  }
  h.reported = r.tasks;
  noticed(h, r);
  if (owns() && !h.recordBusy && !r.address.empty() && h.known.record.address != r.address) {
    auto record = h.known.record;
    record.address = r.address;
    writeHost(h, record, false);
  }
  bool freed = h.placements.size() < before || (first && h.heard);
  wake(freed, &h.id);
}

// The task is known gone from the machine.
void Scheduler::lose(Host& h, const TaskId& task) {
  auto it = h.placements.find(task);
  if (it == h.placements.end()) return;  // went together with another member of its gang
  Job& job = *it->second.job;
  books_.gone(h, task, io_.now());
  gangBroken(job);
  cleanUp(job);
}

// The worker killed and forgot everything of the tenures before (invariant 2).
void Scheduler::newTenure(Host& h) {
  h.unsettled.reset();
  h.reported.clear();
  std::vector<TaskId> lost;
  for (const auto& [task, p] : h.placements)
    if (p.sent || p.restored) lost.push_back(task);
  for (const auto& task : lost) {
    lose(h, task);
  }
}

void Scheduler::ended(Host& h, const wire::ReportedTask& t) {
  auto now = io_.now();
  Job& job = *h.placements.at(t.task).job;
  if (t.cause == ExitCause::Done) {
    h.images.touch(job.spec->image, job.spec->imageGb);
    books_.taskDone(h, t.task, now);
    job.failures = 0;
    h.failedJobs.clear();
    if (job.status == JobStatus::Open) {
      dirty_.insert({job.id, t.task.index / job.chunk});
      if (job.done == job.tasks.size()) ending_.insert(job.id);
    }
    cleanUp(job);
    return;
  }
  books_.gone(h, t.task, now);
  log_->debug("{} on {} ended: {}", wire::encodeTask(t.task), h.id.value, static_cast<int>(t.cause));
  switch (t.cause) {
    case ExitCause::Error: {
      // A job that fails everywhere backs off; a machine on which several sound jobs fail is drained.
      job.failedOn.insert(h.id);
      if (++job.failures >= kFailuresToBackOff) {
        auto exponent = std::min(job.failures - kFailuresToBackOff, 6u);
        job.notBefore = now + std::min(Duration{1000} * (1 << exponent), Duration{60'000});
      }
      if (job.failedOn.size() <= 2) h.failedJobs.insert(job.id);
      if (h.failedJobs.size() >= kFailedJobsToDrain && !h.leaving) {
        log_->info("{} fails jobs and is given up", h.id.value);
        h.leaving = true;
        h.giveTo = -1;
      }
      break;
    }
    case ExitCause::NoRoom:
    case ExitCause::Busy:
      job.notBefore = now + Duration{500};
      break;
    case ExitCause::Unknown:
      job.notBefore = now + Duration{1'000};
      break;
    default:
      break;
  }
  gangBroken(job);
  cleanUp(job);
}

// Placements that a newer report does not show: which of them are known gone (invariants 2, 3 and 4).
void Scheduler::absent(Host& h, const wire::Report& r, bool checkIn) {
  std::set<std::pair<TaskId, Attempt>> present;
  for (const auto& t : r.tasks) present.insert({t.task, t.attempt});
  std::vector<TaskId> lost;
  for (const auto& [task, p] : h.placements) {
    if (present.count({task, p.attempt}) > 0 || !p.committed) continue;
    bool never = p.restored && !p.sent;  // no start of a former owner can act under our token
    bool onItsWay = h.directBusy || !h.settled() || !checkIn || r.serial <= p.checkInStart;
    if (p.shown || never || (p.sent && !p.wanted && !onItsWay)) lost.push_back(task);
  }
  for (const auto& task : lost) {
    lose(h, task);
  }
}

// What the worker should do; for a check-in also what is repeated until it shows.
std::vector<Order> Scheduler::orders(Host& h, const wire::Report* checkIn) {
  auto now = io_.now();
  std::vector<Order> out;
  if (!h.heard) return out;
  for (auto& [task, p] : h.placements) {
    if (out.size() >= kMostOrders) break;
    if (p.committed && p.wanted && !p.shown && !p.restored) {
      if (checkIn ? h.directBusy : p.sent) continue;
      out.push_back({Order::Verb::Start, task, p.attempt, 0});
      p.sent = true;
      if (checkIn) p.checkInStart = checkIn->serial;
    } else if (!p.wanted && p.shown) {
      bool sentBefore = p.stopSent != Time{};
      if (!checkIn && now - p.stopSent < kStopAgain) continue;
      const auto& spec = *p.job->spec;
      // An aborted job's work is of no use to anyone, and nothing saves for ever.
      bool saves = spec.snapshotEveryS > 0 && p.job->open() &&
                   (!sentBefore || now - p.stopSent < seconds(2 * spec.snapshotS + 5));
      out.push_back({Order::Verb::Stop, task, p.attempt, saves ? spec.snapshotS + 1 : 0});
      if (!sentBefore || !checkIn) p.stopSent = now;
    }
  }
  if (checkIn) strayOrders(h, out);
  return out;
}

// Entries of the last report that the books do not place there. Forgets go in answers to check-ins only:
// by then no copy of their start can still arrive (invariant 3).
void Scheduler::strayOrders(Host& h, std::vector<Order>& out) {
  bool mayForget = h.settled() && !h.directBusy;
  for (const auto& t : h.reported) {
    if (out.size() >= kMostOrders) return;
    auto it = h.placements.find(t.task);
    if (it != h.placements.end() && it->second.attempt == t.attempt) continue;
    if (t.phase != TaskPhase::Exited) {
      out.push_back({Order::Verb::Stop, t.task, t.attempt, 0});
      continue;
    }
    const Job* job = books_.job(t.task.job);
    if (job && t.task.index < job->tasks.size()) {
      const auto& task = job->tasks[t.task.index];
      // Done is committed before the last trace of it is forgotten (invariant 8).
      if (task.state == TaskState::Done && !task.doneCommitted && job->status == JobStatus::Open) continue;
    }
    if (mayForget) out.push_back({Order::Verb::Forget, t.task, t.attempt, 0});
  }
}

void Scheduler::direct(Host& h) {
  auto now = io_.now();
  if (!owns()) return;
  if (h.directBusy) {
    h.directAgain = true;
    return;
  }
  if (now < h.directNotBefore || h.known.record.address.empty()) return;
  auto list = orders(h, nullptr);
  // A machine not heard from, or not of late, is asked for a report.
  bool known = h.heard && now - h.lastHeard < seconds(settings_.reportS * kProbeReports);
  if (list.empty() && known) return;
  Address to;
  try {
    to = parseAddress(h.known.record.address);
  } catch (const SettingsError&) {
    return;
  }
  h.directBusy = true;
  h.directAgain = false;
  auto used = h.token();
  io_.call(to, {"POST", "/commands", wire::encodeCommands(used, h.tenure, list), false}, kDirectDeadline,
           guarded([this, id = h.id, used](HttpResult r) { directed(id, used, r); }));
}

void Scheduler::directed(const HostId& id, Token used, const HttpResult& r) {
  Host* h = books_.host(id);
  if (!h) return;
  auto now = io_.now();
  h->directBusy = false;
  auto report = r.answered(200) || r.answered(409) ? wire::parseReport(r.response.body) : std::nullopt;
  if (report && report->host == id) {
    if (report->token > h->token()) return;  // superseded; its check-ins will say so
    bool asked = !h->heard;
    auto tenure = h->tenure;
    apply(*h, *report, false);
    h = books_.host(id);
    // The first command could not know the tenure.
    if (h && ((asked && h->tenure != tenure) || h->directAgain)) direct(*h);
    return;
  }
  if (r.outcome == HttpResult::Outcome::NotSent) {
    h->directNotBefore = now + kAfterRefused;
    return;
  }
  // It may be executed minutes later. The raised token shuts it out once the worker has seen it (invariant
  // 3).
  log_->debug("no answer to commands from {}", id.value);
  h->unsettled = used;
  ++h->raises;
  h->directNotBefore = now + kAfterUnknown;
}

void Scheduler::sendAll(bool evenEmpty) {
  for (auto& [_, h] : books_.hosts()) {
    if (evenEmpty) h.directNotBefore = Time{};
    direct(h);
  }
}

void Scheduler::noticed(Host& h, const wire::Report& r) {
  if (!r.reclaimInS) return;
  auto now = io_.now();
  bool first = !h.reclaimAt;
  h.reclaimAt = now + seconds(*r.reclaimInS);
  if (!first) return;
  log_->info("{} will be taken in {} s", h.id.value, *r.reclaimInS);
  std::vector<TaskId> move;
  for (const auto& [task, p] : h.placements) {
    const auto& spec = *p.job->spec;
    double ran = p.shown && p.phase == TaskPhase::Running ? inSeconds(now - p.runningSince) : 0;
    bool ends = spec.shape == Shape::Array && spec.expectS - ran < *r.reclaimInS;
    if (p.wanted && !ends) move.push_back(task);
  }
  for (const auto& task : move) stop(h, task, h.placements.at(task));
  direct(h);
}

void Scheduler::stop(Host& h, const TaskId& id, Placement& p) {
  p.wanted = false;
  if (!p.committed || p.sent || p.restored) return;
  lose(h, id);  // committed but never sent: it is nowhere
}

void Scheduler::watchSilence(Host& h, Time now) {
  if (now > h.aliveUntil && (h.heard || !h.placements.empty())) {
    // Its lease has run out whatever happened (invariant 2); what it still says of that tenure is old.
    log_->info("{} was silent for its whole lease", h.id.value);
    h.expiredTenure = h.tenure;
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
  auto silent = [&](const Host& x) {
    return now - x.lastHeard > seconds(settings_.reportS * kSilentReports);
  };
  if (!owns() || h.recordBusy || h.known.record.phase == wire::HostPhase::Returning || !silent(h)) return;
  if (!h.heard && h.placements.empty()) return;  // still booting, which the leader watches
  // A machine silent alone is most likely dead: the cloud's word that it is gone frees its tasks at once.
  std::size_t silentOnes = 0;
  for (const auto& [_, x] : books_.hosts()) silentOnes += (x.heard || !x.placements.empty()) && silent(x);
  if (static_cast<double>(silentOnes) >
      std::max(1.0, kSilentShare * static_cast<double>(books_.hosts().size())))
    return;
  log_->info("{} is silent and is returned", h.id.value);
  auto record = h.known.record;
  record.phase = wire::HostPhase::Returning;
  h.leaving = true;
  writeHost(h, record, false);
}

void Scheduler::wish(const mesh::HostWish& w) {
  Host* h = books_.host(HostId{w.host});
  if (!loaded_ || !owns() || !h || h->leaving) return;
  switch (w.kind) {
    case mesh::HostWish::Keep:
      h->emptying = false;
      return wake(true);
    case mesh::HostWish::Empty:
      h->emptying = true;
      return;
    default:
      if (!h->placements.empty()) return;
      h->leaving = true;
      h->giveTo = w.kind == mesh::HostWish::Move ? static_cast<std::int32_t>(w.toShare) : -1;
      settleLeaving(*h);
  }
}

// The machine's replicas, if all of them could move to machines that have their image and so be back at once.
std::optional<std::vector<TaskId>> Scheduler::movableReplicas(const Host& h) const {
  std::map<HostId, Resources> room;
  for (const auto& [id, x] : books_.hosts())
    if (id != h.id && usable(x)) room[id] = x.free();
  std::vector<TaskId> move;
  for (const auto& [task, p] : h.placements) {
    const auto& spec = *p.job->spec;
    if (spec.shape != Shape::Service) continue;
    auto zones = books_.zonesOf(*p.job);
    if (--zones[h.zone()] == 0) zones.erase(h.zone());
    auto to = std::find_if(room.begin(), room.end(), [&](const auto& r) {
      const Host& x = books_.hosts().at(r.first);
      return allowed(*p.job, x, zones) && x.images.has(spec.image) && spec.each.fitsIn(r.second);
    });
    if (to == room.end()) return std::nullopt;
    to->second -= spec.each;
    move.push_back(task);
  }
  return move;
}

// A machine that is to empty itself: arrays end by themselves, then replicas are moved.
void Scheduler::settleEmptying(Host& h) {
  if (!h.emptying || h.leaving || h.placements.empty()) return;  // once empty, the leader says where it goes
  for (const auto& [_, p] : h.placements)
    if (p.job->spec->shape != Shape::Service || !p.wanted) return;
  auto move = movableReplicas(h);
  if (!move) {
    h.emptying = false;
    return;
  }
  log_->info("moving {} replicas off {}", move->size(), h.id.value);
  for (const auto& task : *move) stop(h, task, h.placements.at(task));
  direct(h);
}

// An emptied machine goes where it was meant to go.
void Scheduler::settleLeaving(Host& h) {
  if (!h.giveTo || !h.placements.empty() || h.recordBusy || !h.settled() || h.directBusy) return;
  if (h.known.record.phase != wire::HostPhase::InUse) return;
  auto record = h.known.record;
  if (*h.giveTo < 0)
    record.phase = wire::HostPhase::Returning;
  else
    record.share = ShareNo{static_cast<std::uint32_t>(*h.giveTo)};
  writeHost(h, record, *h.giveTo >= 0);
}

void Scheduler::writeHost(Host& h, wire::HostRecord record, bool newToken) {
  wire::Transaction t;
  t.when[keys::share(taken_.share)] = taken_.stamp;
  t.when[keys::host(h.id)] = h.known.stamp;
  if (newToken) {
    // What we sent under our token must have no effect under the next owner's (invariant 5).
    record.token = Epoch{dir_.epoch.value + 1};
    t.when[keys::kEpoch] = dir_.epochStamp;
    t.apply.push_back({keys::kEpoch, wire::encodeCounter(record.token), {}});
  }
  t.apply.push_back({keys::host(h.id), wire::encodeHost(record), {}});
  h.recordBusy = true;
  store_.txn(Urgency::Work, std::move(t), Duration{2'000}, guarded([this, id = h.id, record](TxnResult r) {
               Host* h = books_.host(id);
               if (!h) return;
               h->recordBusy = false;
               if (r.ok()) h->known = {record, r.revision};
               bool lost = std::count(r.failed.begin(), r.failed.end(), keys::share(taken_.share)) > 0;
               if (lost) out_.abandon();
             }));
}

}  // namespace cherryloft
