#include "actors/scheduler.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kTick{250};
constexpr Duration kStandstill{1'500};  // between two ticks
constexpr Duration kLoadRetry{150};
constexpr Duration kLoadEvery{1'000};
constexpr std::size_t kBusyNamed = 16;
constexpr Duration kArrivalsKept{120'000};
constexpr Duration kLeavingKept{20'000};
constexpr Duration kZoneIsFull{
    10'000};  // a job that waits so long for its zone is not helped by what is there
constexpr unsigned kLooked = 64;

// "run/<share>/<page>"
std::optional<PageNo> parsePageKey(const std::string& key, const std::string& prefix) {
  PageNo n = 0;
  const char* end = key.data() + key.size();
  auto [p, ec] = std::from_chars(key.data() + prefix.size(), end, n);
  if (ec != std::errc{} || p != end) return std::nullopt;
  return n;
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
      books_(settings),
      failures_(seconds(settings.reportS)) {}

void Scheduler::start() {
  loadStarted_ = io_.now();
  load();
}

// --- loading ---

void Scheduler::load() {
  // All that was committed before the takeover must be in view; what a former owner sends later fails on
  // the share's stamp. What was seen once stays in view, so each step is repeated by itself.
  viewed(keys::kJobs, [this] { viewed(keys::kHosts, [this] { loadRuns(); }); });
}

// Calls next once the directory shows what was committed under the prefix.
void Scheduler::viewed(const std::string& prefix, std::function<void()> next) {
  store_.catchUp(prefix, guarded([this, prefix, next](bool ok) {
                   if (ok) return next();
                   io_.after(kLoadRetry, guarded([this, prefix, next] { viewed(prefix, next); }));
                 }));
}

void Scheduler::loadRuns() {
  store_.list(Urgency::Control, keys::runs(taken_.share), guarded([this](ListResult r) {
                if (r.ok) return build(r);
                io_.after(kLoadRetry, guarded([this] { loadRuns(); }));
              }));
}

void Scheduler::build(const ListResult& runs) {
  auto now = io_.now();
  for (const auto& [id, known] : dir_.hosts)
    if (known.record.share == taken_.share) admit(id, known);
  for (const auto& [id, known] : dir_.jobs)
    if (known.share == taken_.share && known.status == JobStatus::Open && known.spec)
      books_.addJob(id, known).since = now;
    else if (known.share == taken_.share && known.status == JobStatus::Aborted)
      lastAborted_ = std::max(lastAborted_, known.stamp);
  auto prefix = keys::runs(taken_.share);
  std::map<TaskId, Restored> placed;
  for (const auto& e : runs.entries) {
    auto n = parsePageKey(e.key, prefix);
    auto page = n ? wire::parsePage(*e.value) : std::nullopt;
    if (!page) {
      log_->error("unreadable key {}, perhaps of another layout", e.key);
      continue;
    }
    books_.pages().at(*n).stamp = e.stamp;
    restoreDone(*page, *n, placed);
  }
  for (const auto& [task, r] : placed) restorePlaced(task, r);
  for (auto& [_, h] : books_.hosts()) books_.reindex(h);
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
  countAllElsewhere();
  loaded_ = true;
  log_->info("share {} loaded: {} jobs, {} machines, {} ms", taken_.share.value, books_.jobs().size(),
             books_.hosts().size(), (now - loadStarted_).count());
  tick();
  wake(true);
}

// Takes in what is done; of what was placed, the latest attempt of each task is gathered.
void Scheduler::restoreDone(const wire::PageRecord& page, PageNo n, std::map<TaskId, Restored>& placed) {
  for (const auto& [id, facts] : page.jobs) {
    Job* job = books_.job(id);
    auto known = dir_.jobs.find(id);
    // An aborted job's tasks may still be somewhere: they count until they are known gone.
    if (!job && known != dir_.jobs.end() && known->second.status == JobStatus::Aborted && known->second.spec)
      job = &books_.addJob(id, known->second);
    if (!job) continue;
    for (auto i : facts.done) {
      if (i >= job->tasks.size() || job->tasks[i].state != TaskState::Waiting) continue;
      job->tasks[i].state = TaskState::Done;
      job->tasks[i].doneCommitted = true;
      ++job->done;
      books_.restored({id, i}, n);
    }
    for (const auto& p : facts.placed) {
      if (p.index >= job->tasks.size()) continue;
      auto& best = placed[{id, p.index}];
      if (best.page == kNoPage || best.entry.attempt < p.attempt) best = {p, n};
    }
  }
}

void Scheduler::restorePlaced(const TaskId& task, const Restored& r) {
  Job* job = books_.job(task.job);
  Host* h = books_.host(r.entry.host);
  // A machine without a record was returned, and the cloud said so.
  if (!job || !h || job->tasks[task.index].state != TaskState::Waiting) return;
  auto& placement = books_.place(*job, task.index, *h, r.entry.attempt, io_.now());
  placement.committed = placement.restored = true;
  placement.wanted = job->open();
  books_.restored(task, r.page);
  books_.cached(*h, job->spec->image, job->spec->imageGb);
}

Host& Scheduler::admit(const HostId& id, const KnownHost& known) {
  auto now = io_.now();
  auto& h = books_.addHost(id, known, findType(dir_.catalog, known.record.type), now);
  h.hint = Tenure{1};
  h.base = tokenOf(std::max(known.record.token, taken_.epoch));
  // The former owner may have answered it until the end of its grace.
  h.aliveUntil = now + taken_.formerAnswers + leaseAfterAnswer();
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
  if (known == dir_.jobs.end() || known->second.share != taken_.share) return;
  // Our own commit may show here before its answer comes, and deputies must have seen it as well (invariant
  // 15).
  if (known->second.status == JobStatus::Aborted) lastAborted_ = std::max(lastAborted_, known->second.stamp);
  if (books_.job(id)) return;
  const auto& k = known->second;
  if (k.status != JobStatus::Open || !k.spec) return;
  auto& job = books_.addJob(id, k);
  auto now = io_.now();
  job.since = now;
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
    direct(admit(id, known->second));
    return;
  }
  if (h->known.stamp >= known->second.stamp) return;
  h->known = known->second;
  auto base = tokenOf(std::max(h->known.record.token, taken_.epoch));
  if (base > h->base) h->base = base, h->raises = 0;
  books_.reindex(*h);
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
  failures_.forget(id);
  books_.removeHost(id);
  if (held) wake(true);
}

std::optional<wire::JobView> Scheduler::poll(const JobId& id) const {
  if (!loaded_ || !owns()) return std::nullopt;
  auto it = books_.jobs().find(id);
  if (it == books_.jobs().end() || it->second.status != JobStatus::Open) return std::nullopt;
  // Its end is on its way or in doubt, or the share is: a sibling may have seen it, and told the user, before
  // us.
  if (gaveUpShare_) return std::nullopt;
  if (flight_ &&
      std::any_of(flight_->ended.begin(), flight_->ended.end(), [&](const auto& e) { return e.first == id; }))
    return std::nullopt;
  if (flight_ && std::count(flight_->transferred.begin(), flight_->transferred.end(), id) > 0)
    return std::nullopt;
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

// --- upkeep ---

void Scheduler::tick() {
  io_.after(kTick, guarded([this] { tick(); }));
  auto now = io_.now();
  if (stoodStill(now)) return;
  for (auto& [id, h] : books_.hosts()) {
    watchSilence(h, now);
    if (!owns()) continue;
    if (h.size.cores <= 0)
      if (const auto* type = findType(dir_.catalog, h.known.record.type)) books_.learnType(h, *type);
    settleEmptying(h);
    if (h.attention) direct(h);
  }
  if (!owns()) return;
  giveUpDoubtful(now);
  reviewFailures(now);
  reviewTransfers(now);
  settleRecords(now);
  if (now - loadSent_ >= kLoadEvery) {
    loadSent_ = now;
    sendLoad();
  }
  bool due = std::any_of(books_.jobs().begin(), books_.jobs().end(), [&](const auto& j) {
    return !j.second.waiting.empty() && j.second.notBefore > now - 2 * kTick && j.second.notBefore <= now;
  });
  if (due) wake(true);
  if (!fresh_.empty() || !ending_.empty() || !left_.empty()) wake(false);
}

// Whoever stood still hears first what has been waiting, and judges nobody before. What went unanswered
// meanwhile is our own doing.
bool Scheduler::stoodStill(Time now) {
  bool still = ticked_ != Time{} && now - ticked_ > kStandstill;
  if (still) {
    log_->info("share {}: stood still for {} ms", taken_.share.value, (now - ticked_).count());
    resumed_ = now;
    for (auto& [_, h] : books_.hosts()) h.askedInVain = 0;
  }
  ticked_ = now;
  return still;
}

std::string Scheduler::account() {
  std::size_t open = 0, waiting = 0;
  for (const auto& [_, j] : books_.jobs()) open += j.open(), waiting += j.waiting.size();
  std::size_t booting = 0, silent = 0, doubtful = 0, emptying = 0, leaving = 0;  // why machines are not open
  for (const auto& [_, h] : books_.hosts()) {
    if (h.open()) continue;
    bool goes = h.leaving || h.reclaimAt || h.known.record.phase != wire::HostPhase::InUse;
    (goes                                         ? leaving
     : h.emptying                                 ? emptying
     : !h.heard && h.known.record.address.empty() ? booting
     : !h.heard || h.stale                        ? silent
                                                  : doubtful) += 1;
  }
  auto n = spans_.counts.starts - accounted_.starts, looked = spans_.counts.looked - accounted_.looked;
  accounted_ = spans_.counts;
  return fmt::format(
      "share {}: {} jobs, {} tasks waiting, {} machines ({} open, {} booting, {} silent, {} in doubt, {} "
      "emptying, {} "
      "leaving), {} pages; {} starts in {} rounds, widest "
      "{}, "
      "{} machines looked at, {} stopped for others; ms to placed {}; to committed {}; to shown {}",
      taken_.share.value, open, waiting, books_.hosts().size(), books_.openHosts().size(), booting, silent,
      doubtful, emptying, leaving, books_.pages().count(), n, std::exchange(spans_.rounds, 0),
      std::exchange(spans_.widest, 0), looked, std::exchange(spans_.evicted, 0), spans_.toPlaced.take(),
      spans_.toCommitted.take(), spans_.toShown.take());
}

namespace {
bool hasRoom(const Pool& p, const Resources& each) {
  auto at = p.byRoom.lower_bound({each.cores - 1e-6, 0});
  for (unsigned looked = 0; at != p.byRoom.end() && looked < kLooked; ++at, ++looked)
    if (each.fitsIn(at->second->free())) return true;
  return false;
}
}  // namespace

// Zones that the job's next task may go to, if no machine in any of them could ever take it or, once it has
// waited for a while, can take it now.
void Scheduler::stuckZones(const Job& job, mesh::Demand& d) const {
  std::vector<std::string> open;
  bool full = io_.now() - std::max(job.since, job.placedLast) > kZoneIsFull;
  for (const auto& z : settings_.zones) {
    if (!zoneAllows(job, z)) continue;
    for (const auto& p : books_.pools()) {
      const auto& s = *job.spec;
      bool fits = p.zone == z && s.allowsType(p.type) && s.each.fitsIn(p.size) && (!p.spot || s.lendable);
      // One that boots is on its way; of others, after a while, only those with room count.
      if (fits && (full ? p.booting > 0 || hasRoom(p, s.each) : p.machines > 0)) return;
    }
    open.push_back(z.value);
  }
  d.stuckZones = std::move(open);
}

// Tasks that are to be placed as soon as there is room. A job that has never worked is tried with one at a
// time, and machines are neither rented nor kept for it between two tries.
std::size_t Scheduler::wantsRoomFor(const Job& job, Time now) const {
  if (job.atOnce)
    return std::min<std::size_t>(job.waiting.size(), *job.atOnce - std::min(job.placed, *job.atOnce));
  if (!failures_.suspect(job.id)) return job.waiting.size();
  return now < job.notBefore ? 0 : std::min<std::size_t>(job.waiting.size(), 1);
}

void Scheduler::sendLoad() {
  auto now = io_.now();
  mesh::ShareLoad load;
  load.share = taken_.share.value;
  load.epoch = taken_.epoch.value;
  for (auto& p : books_.pools()) p.booting = 0;
  for (auto& [_, h] : books_.hosts())
    h.pool->booting +=
        !h.heard && h.known.record.address.empty() && h.known.record.phase == wire::HostPhase::InUse;
  std::map<const mesh::Demand*, std::pair<double, double>> left;  // core seconds and cores not done yet
  for (auto& [id, job] : books_.jobs()) {
    auto& d = job.spec->lendable ? load.lendable : load.firm;
    const auto& each = job.spec->each;
    d.used += each.cores * job.placed;
    if (!job.open()) continue;
    double limit = job.team ? std::max(0.0, job.team->coresMax - books_.teamUse(job.spec->team).cores) : 0;
    auto& w = fragile(job) ? load.firm : d;
    auto waiting = wantsRoomFor(job, now);
    w.waiting += std::min(each.cores * static_cast<double>(waiting), limit);
    d.largestTask = std::max(d.largestTask, each.cores);
    auto cores = job.unfinished().cores;
    left[&d].first += cores * job.spec->expectS;
    left[&d].second += cores;
    if (each.cores > 0) d.ramPerCore = std::max(d.ramPerCore, each.ram / each.cores);
    if (job.spec->types) d.types = *job.spec->types;
    bool waits = !job.waiting.empty() && limit >= each.cores - 1e-6 && now >= job.notBefore;
    if (waits && (job.spec->spread || job.spec->zone || job.spec->oneZone)) stuckZones(job, d);
  }
  while (!arrivals_.empty() && now - arrivals_.front().at > kArrivalsKept) arrivals_.pop_front();
  for (const auto& a : arrivals_) {
    auto& d = a.lendable ? load.lendable : load.firm;
    d.arriving += a.cores / inSeconds(kArrivalsKept);
    d.largestJob = std::max(d.largestJob, a.cores);
  }
  for (auto* d : {&load.firm, &load.lendable})
    if (auto l = left.find(d); l != left.end() && l->second.second > 0)
      d->runS = l->second.first / l->second.second;
  while (!leaving_.empty() && now - leaving_.front().at > kLeavingKept) leaving_.pop_front();
  for (const auto& l : leaving_)
    (l.lendable ? load.lendable : load.firm).leaving += l.cores / inSeconds(kLeavingKept);
  // Machines in plain use are not named, but for the few of each kind with least on them: those are let go of
  // first.
  std::vector<const Host*> named;
  std::array<std::vector<const Host*>, 2> busy;
  for (const auto& [_, h] : books_.hosts())
    (!h.open() || h.placements.empty() ? named : busy[h.spot()]).push_back(&h);
  for (auto& kind : busy) {
    auto few = std::min(kBusyNamed, kind.size());
    std::partial_sort(kind.begin(), kind.begin() + static_cast<std::ptrdiff_t>(few), kind.end(),
                      [](const Host* a, const Host* b) {
                        return std::pair(a->used.cores, a->no) < std::pair(b->used.cores, b->no);
                      });
    named.insert(named.end(), kind.begin(), kind.begin() + static_cast<std::ptrdiff_t>(few));
  }
  for (const Host* h : named) {
    double idle = h->placements.empty() ? inSeconds(now - h->idleSince) : 0;
    bool draining = h->leaving || h->reclaimAt || h->known.record.phase != wire::HostPhase::InUse;
    load.hosts.push_back({h->id.value, h->known.record.type, h->zone().value, h->spot(), h->free().cores,
                          idle, h->open(), draining, h->emptying, idle <= 0 && !movableReplicas(*h),
                          static_cast<double>(io_.wall().value - h->known.record.since.value) / 1000.0});
  }
  out_.load(load);
}

}  // namespace cherryloft
