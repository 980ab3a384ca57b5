#include "actors/scheduler.h"

#include <algorithm>
#include <charconv>

namespace cherryloft {
namespace {
constexpr Duration kTick{250};
constexpr Duration kLoadRetry{150};
constexpr Duration kArrivalsKept{120'000};

// "run/<share>/<job>/<chunk>"
std::optional<std::pair<JobId, std::uint32_t>> parseRunKey(const std::string& key,
                                                           const std::string& prefix) {
  auto slash = key.rfind('/');
  if (key.compare(0, prefix.size(), prefix) != 0 || slash == std::string::npos || slash <= prefix.size())
    return std::nullopt;
  std::uint32_t chunk = 0;
  const char* end = key.data() + key.size();
  auto [p, ec] = std::from_chars(key.data() + slash + 1, end, chunk);
  if (ec != std::errc{} || p != end) return std::nullopt;
  return std::pair{JobId{key.substr(prefix.size(), slash - prefix.size())}, chunk};
}

}  // namespace

Scheduler::Scheduler(const Settings& settings, Io& io, Log log, StateStore& store, const Directory& dir,
                     Taken taken, Standing standing, std::uint64_t seed, Outlet out)
    : settings_(settings),
      io_(io),
      log_(std::move(log)),
      store_(store),
      dir_(dir),
      taken_(taken),
      standing_(standing),
      rng_(seed),
      out_(std::move(out)),
      books_(settings) {}

void Scheduler::start() {
  loadStarted_ = io_.now();
  load();
}

// --- loading ---

void Scheduler::load() {
  auto again = [this] { io_.after(kLoadRetry, guarded([this] { load(); })); };
  // All that was committed before the takeover must be in view; what a former owner sends later fails on
  // the share's stamp.
  store_.catchUp(keys::kJobs, guarded([this, again](bool jobs) {
                   if (!jobs) return again();
                   store_.catchUp(keys::kHosts, guarded([this, again](bool hosts) {
                                    if (!hosts) return again();
                                    store_.list(Urgency::Control, keys::runs(taken_.share),
                                                guarded([this, again](ListResult r) {
                                                  if (!r.ok) return again();
                                                  build(r);
                                                }));
                                  }));
                 }));
}

void Scheduler::build(const ListResult& runs) {
  auto now = io_.now();
  for (const auto& [id, known] : dir_.hosts)
    if (known.record.share == taken_.share) admit(id, known);
  for (const auto& [id, known] : dir_.jobs)
    if (known.share == taken_.share && known.status == JobStatus::Open && known.spec)
      books_.addJob(id, known);
  auto prefix = keys::runs(taken_.share);
  for (const auto& e : runs.entries) {
    auto at = parseRunKey(e.key, prefix);
    auto run = at ? wire::parseRun(*e.value) : std::nullopt;
    if (!run) {
      log_->error("unreadable key {}", e.key);
      continue;
    }
    Job* job = books_.job(at->first);
    auto known = dir_.jobs.find(at->first);
    // An aborted job's tasks may still be somewhere: they count until they are known gone.
    if (!job && known != dir_.jobs.end() && known->second.status == JobStatus::Aborted && known->second.spec)
      job = &books_.addJob(at->first, known->second);
    if (!job) {
      drops_[e.key] = e.stamp;
      continue;
    }
    job->chunks[at->second] = e.stamp;
    restore(*job, at->second, *run);
  }
  for (auto& [id, job] : books_.jobs()) {
    job.waiting.clear();
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
      if (job.tasks[i].state == TaskState::Waiting) job.waiting.push_back(i);
    if (job.done == job.tasks.size()) ending_.insert(id);
  }
  std::vector<JobId> over;
  for (auto& [id, job] : books_.jobs())
    if (job.status == JobStatus::Aborted && job.placed == 0) over.push_back(id);
  for (const auto& id : over) cleanUp(*books_.job(id));
  loaded_ = true;
  log_->info("share {} loaded: {} jobs, {} machines, {} ms", taken_.share.value, books_.jobs().size(),
             books_.hosts().size(), (now - loadStarted_).count());
  sendAll(true);
  tick();
  wake(true);
}

void Scheduler::restore(Job& job, std::uint32_t chunk, const wire::RunRecord& run) {
  auto now = io_.now();
  auto first = chunk * job.chunk;
  auto inRange = [&](std::uint32_t i) { return i >= first && i < first + job.chunk && i < job.tasks.size(); };
  for (auto i : run.done) {
    if (!inRange(i) || job.tasks[i].state != TaskState::Waiting) continue;
    job.tasks[i] = {TaskState::Done, true, nullptr};
    ++job.done;
  }
  for (const auto& p : run.placed) {
    Host* h = books_.host(p.host);
    // A machine without a record was returned, and the cloud said so.
    if (!h || !inRange(p.index) || job.tasks[p.index].state != TaskState::Waiting) continue;
    auto& placement = books_.place(job, p.index, *h, p.attempt, now);
    placement.committed = placement.restored = true;
    placement.wanted = job.open();
    h->images.touch(job.spec->image, job.spec->imageGb);
  }
}

Host& Scheduler::admit(const HostId& id, const KnownHost& known) {
  auto now = io_.now();
  auto& h = books_.addHost(id, known, findType(dir_.catalog, known.record.type), now);
  h.base = tokenOf(std::max(known.record.token, taken_.epoch));
  // The former owner may have answered it until the end of its grace.
  h.aliveUntil = now + taken_.formerAnswers + seconds(settings_.leaseS * 1.002 + 1.0);
  return h;
}

// --- messages ---

void Scheduler::standing(const Standing& s) {
  bool back = !owns() && s.owns(io_.now());
  standing_ = s;
  if (back && loaded_) wake(true);
}

void Scheduler::jobChanged(const JobId& id) {
  if (!loaded_) return;
  auto known = dir_.jobs.find(id);
  if (known == dir_.jobs.end() || known->second.share != taken_.share || books_.job(id)) return;
  const auto& k = known->second;
  if (k.status != JobStatus::Open || !k.spec) return;
  auto& job = books_.addJob(id, k);
  auto now = io_.now();
  const Team* team = settings_.team(job.spec->team);
  arrivals_.push_back({now, std::min(job.unfinished().cores, team ? team->coresMax : 0), job.spec->lendable});
  log_->debug("job {} came: {} tasks of {} cores", id.value, job.tasks.size(), job.spec->each.cores);
  wake(true);
}

void Scheduler::hostChanged(const HostId& id) {
  if (!loaded_) return;
  auto known = dir_.hosts.find(id);
  bool ours = known != dir_.hosts.end() && known->second.record.share == taken_.share;
  Host* h = books_.host(id);
  if (!ours) {
    if (h) dropHost(id);
    return;
  }
  if (!h) {
    auto& fresh = admit(id, known->second);
    if (!known->second.record.address.empty()) direct(fresh);
    return;
  }
  if (h->known.stamp >= known->second.stamp) return;
  h->known = known->second;
  auto base = tokenOf(std::max(h->known.record.token, taken_.epoch));
  if (base > h->base) h->base = base, h->raises = 0;
}

// The record is gone or another share's: the machine was returned, or was empty when it was given.
void Scheduler::dropHost(const HostId& id) {
  Host* h = books_.host(id);
  bool held = !h->placements.empty();
  while (!h->placements.empty()) {
    auto task = h->placements.begin()->first;
    lose(*h, task);
  }
  drawAt_.erase(id);
  books_.removeHost(id);
  if (held) wake(true);
}

std::optional<wire::JobView> Scheduler::poll(const JobId& id) const {
  if (!loaded_ || !owns()) return std::nullopt;
  auto it = books_.jobs().find(id);
  if (it == books_.jobs().end() || it->second.status != JobStatus::Open) return std::nullopt;
  const auto& j = it->second;
  return wire::JobView{JobStatus::Open, static_cast<std::uint32_t>(j.tasks.size()), j.done, j.running};
}

bool Scheduler::withdraw(const JobId& id, std::function<void(JobStatus)> done) {
  Job* j = books_.job(id);
  if (!loaded_ || !owns() || !j) return false;
  if (j->status != JobStatus::Open) {
    done(j->status);
    return true;
  }
  j->withdrawers.push_back(std::move(done));
  if (j->done < j->tasks.size()) j->abortAsked = true;
  ending_.insert(id);
  wake(false);
  return true;
}

void Scheduler::handBack(const NodeId& to) {
  if (!loaded_ || givingTo_) return;
  givingTo_ = to;
  wake(false);
}

// --- commits: one in flight, what comes meanwhile forms the next ---

bool Scheduler::fits(const wire::Transaction& t, std::size_t weight, const wire::Write& w) const {
  return t.apply.size() < settings_.txnOps && (t.apply.empty() || weight + wire::weightOf(w) <= 48 * 1024);
}

void Scheduler::addTerminal(wire::Transaction& t, std::size_t& weight) {
  for (auto it = ending_.begin(); it != ending_.end();) {
    Job* job = books_.job(*it);
    if (!job || job->status != JobStatus::Open) {
      it = ending_.erase(it);
      continue;
    }
    bool done = job->done == job->tasks.size();
    wire::JobRecord record{done ? JobStatus::Done : JobStatus::Aborted,
                           taken_.share,
                           static_cast<std::uint32_t>(job->tasks.size()),
                           job->chunk,
                           job->submitted,
                           {}};
    if (!done) record.spec = *job->spec;
    wire::Write w{keys::job(*it), wire::encodeJobRecord(record), {}};
    if (!fits(t, weight, w)) return;
    weight += wire::weightOf(w);
    t.when[w.key] = job->stamp;
    t.apply.push_back(std::move(w));
    flight_->ended.emplace_back(*it, record.status);
    it = ending_.erase(it);
  }
}

void Scheduler::addRuns(wire::Transaction& t, std::size_t& weight) {
  for (auto it = dirty_.begin(); it != dirty_.end();) {
    Job* job = books_.job(it->first);
    if (!job) {
      it = dirty_.erase(it);
      continue;
    }
    // When the whole job ends in this transaction its parts need no writing.
    bool ends = std::any_of(flight_->ended.begin(), flight_->ended.end(), [&](const auto& e) {
      return e.first == it->first && e.second == JobStatus::Done;
    });
    if (ends) {
      it = dirty_.erase(it);
      continue;
    }
    auto run = books_.runRecord(*job, it->second);
    wire::Write w{keys::run(taken_.share, it->first, it->second), wire::encodeRun(run), {}};
    if (!fits(t, weight, w)) return;
    weight += wire::weightOf(w);
    auto stamp = job->chunks.find(it->second);
    t.when[w.key] = stamp == job->chunks.end() ? Stamp{0} : stamp->second;
    t.apply.push_back(std::move(w));
    flight_->runs.push_back(*it);
    for (const auto& e : run.placed)
      flight_->placed.emplace_back(e.host, TaskId{job->id, e.index}, e.attempt);
    for (auto i : run.done) flight_->done.emplace_back(job->id, i);
    it = dirty_.erase(it);
  }
}

void Scheduler::commit() {
  if (committing_ || !owns() || io_.now() < commitNotBefore_) return;
  if (!flight_) {
    flight_.emplace();
    auto& t = flight_->txn;
    t.when[keys::share(taken_.share)] = taken_.stamp;
    std::size_t weight = 0;
    addTerminal(t, weight);
    addRuns(t, weight);
    for (auto it = drops_.begin(); it != drops_.end();) {
      wire::Write w{it->first, std::nullopt, {}};
      if (!fits(t, weight, w)) break;
      weight += wire::weightOf(w);
      t.when[w.key] = it->second;
      t.apply.push_back(w);
      flight_->dropped.push_back(it->first);
      it = drops_.erase(it);
    }
    if (t.apply.empty()) {
      flight_.reset();
      if (givingTo_ && !gaveUpShare_) {
        // Nothing is on its way: let go. From here on this actor decides nothing.
        gaveUpShare_ = true;
        out_.give(taken_.stamp, *givingTo_, guarded([this](bool given) {
                    gaveUpShare_ = false;
                    givingTo_.reset();
                    if (given)
                      out_.abandon();
                    else
                      wake(true);
                  }));
      }
      return;
    }
  }
  committing_ = true;
  store_.txn(Urgency::Work, flight_->txn, Duration{2'000}, guarded([this](TxnResult r) { committed(r); }));
}

void Scheduler::committed(const TxnResult& r) {
  committing_ = false;
  using O = TxnResult::Outcome;
  switch (r.outcome) {
    case O::Ok:
      break;
    case O::Refused:
    case O::Unknown:
      // The same again under the same conditions: either it is done now, or the conflict tells that it was
      // done before, or that the share is another's.
      commitNotBefore_ = io_.now() + Duration{60 + rng_() % 120};
      io_.after(Duration{190}, guarded([this] { commit(); }));
      return;
    case O::Conflict:
    case O::NoHold:
      log_->info("share {}: conflict on {}", taken_.share.value, r.failed.empty() ? "?" : r.failed.front());
      return out_.abandon();
  }
  auto f = std::move(*flight_);
  flight_.reset();
  for (const auto& [id, chunk] : f.runs)
    if (Job* j = books_.job(id)) j->chunks[chunk] = r.revision;
  for (const auto& [id, index] : f.done)
    if (Job* j = books_.job(id)) j->tasks[index].doneCommitted = true;
  std::set<HostId> hosts;
  for (const auto& [hostId, task, attempt] : f.placed) {
    Host* h = books_.host(hostId);
    if (!h) continue;
    auto it = h->placements.find(task);
    if (it == h->placements.end() || it->second.attempt != attempt || it->second.committed) continue;
    it->second.committed = true;
    if (!it->second.wanted || !usable(*h)) {
      // Never sent, so it is nowhere.
      lose(*h, task);
      wake(true);
      continue;
    }
    hosts.insert(hostId);
  }
  for (const auto& id : hosts) direct(*books_.host(id));
  for (const auto& [id, status] : f.ended) {
    Job* j = books_.job(id);
    j->status = status;
    j->stamp = r.revision;
    log_->info("job {} {}", id.value, status == JobStatus::Done ? "done" : "aborted");
    out_.ended(id, status, r.revision);
    answerWithdrawers(*j, status);
    if (status == JobStatus::Aborted) {
      j->waiting.clear();
      std::set<HostId> on;
      for (std::uint32_t i = 0; i < j->tasks.size(); ++i)
        if (Host* h = j->tasks[i].host) {
          stop(*h, TaskId{id, i}, h->placements.at(TaskId{id, i}));
          on.insert(h->id);
        }
      for (const auto& h : on) direct(*books_.host(h));
    }
    cleanUp(*j);
  }
  wake(false);
}

void Scheduler::answerWithdrawers(Job& job, JobStatus s) {
  auto waiting = std::move(job.withdrawers);
  job.withdrawers.clear();
  for (auto& w : waiting) w(s);
}

// A job that is over leaves the books once none of its tasks can be anywhere; its run/ keys go then.
void Scheduler::cleanUp(Job& job) {
  if (job.status == JobStatus::Open || job.placed > 0) return;
  for (const auto& [chunk, stamp] : job.chunks) drops_[keys::run(taken_.share, job.id, chunk)] = stamp;
  auto id = job.id;
  // Writes on their way for this job would move the stamps: let them land first.
  bool flying = flight_ && std::any_of(flight_->runs.begin(), flight_->runs.end(),
                                       [&](const auto& r) { return r.first == id; });
  if (flying) {
    for (const auto& [chunk, stamp] : job.chunks) drops_.erase(keys::run(taken_.share, id, chunk));
    io_.after(Duration{100}, guarded([this, id] {
                if (Job* j = books_.job(id)) cleanUp(*j);
              }));
    return;
  }
  dirty_.erase(dirty_.lower_bound({id, 0}), dirty_.upper_bound({id, UINT32_MAX}));
  books_.removeJob(id);
  if (!drops_.empty()) wake(false);
}

// --- upkeep ---

void Scheduler::tick() {
  io_.after(kTick, guarded([this] { tick(); }));
  auto now = io_.now();
  for (auto& [id, h] : books_.hosts()) {
    watchSilence(h, now);
    if (!owns()) continue;
    settleEmptying(h);
    settleLeaving(h);
  }
  if (owns()) {
    sendAll(false);
    sendLoad();
    bool due = std::any_of(books_.jobs().begin(), books_.jobs().end(), [&](const auto& j) {
      return !j.second.waiting.empty() && j.second.notBefore > now - 2 * kTick && j.second.notBefore <= now;
    });
    if (due) wake(true);
  }
}

// Zones that the job's next task may go to, if no machine in any of them could ever take it.
void Scheduler::stuckZones(const Job& job, mesh::Demand& d) const {
  auto zones = books_.zonesOf(job);
  std::vector<std::string> open;
  for (const auto& z : settings_.zones) {
    if (!zoneAllows(job, z, zones)) continue;
    for (const auto& [_, h] : books_.hosts())
      if (h.zone() == z && !h.leaving && job.spec->each.fitsIn(h.size) && (!h.spot() || job.spec->lendable))
        return;
    open.push_back(z.value);
  }
  d.stuckZones = std::move(open);
}

void Scheduler::sendLoad() {
  auto now = io_.now();
  mesh::ShareLoad load;
  load.share = taken_.share.value;
  load.epoch = taken_.epoch.value;
  for (auto& [id, job] : books_.jobs()) {
    auto& d = job.spec->lendable ? load.lendable : load.firm;
    const auto& each = job.spec->each;
    d.used += each.cores * job.placed;
    if (!job.open()) continue;
    const Team* team = settings_.team(job.spec->team);
    double limit = team ? std::max(0.0, team->coresMax - books_.teamUse(job.spec->team).cores) : 0;
    d.waiting += std::min(each.cores * static_cast<double>(job.waiting.size()), limit);
    d.largestTask = std::max(d.largestTask, each.cores);
    if (each.cores > 0) d.ramPerCore = std::max(d.ramPerCore, each.ram / each.cores);
    if (job.spec->types) d.types = *job.spec->types;
    if (!job.waiting.empty() && (job.spec->spread || job.spec->zone || job.spec->oneZone)) stuckZones(job, d);
  }
  while (!arrivals_.empty() && now - arrivals_.front().at > kArrivalsKept) arrivals_.pop_front();
  for (const auto& a : arrivals_) {
    auto& d = a.lendable ? load.lendable : load.firm;
    d.arriving += a.cores / inSeconds(kArrivalsKept);
    d.largestJob = std::max(d.largestJob, a.cores);
  }
  for (auto& [id, h] : books_.hosts()) {
    double idle = h.placements.empty() ? inSeconds(now - h.idleSince) : 0;
    load.hosts.push_back(
        {id.value, h.known.record.type, h.zone().value, h.spot(), h.free().cores, idle, usable(h),
         h.leaving || h.reclaimAt || h.known.record.phase != wire::HostPhase::InUse, h.emptying,
         !movableReplicas(h), static_cast<double>(io_.wall().value - h.known.record.since.value) / 1000.0});
  }
  out_.load(load);
}

}  // namespace cherryloft
