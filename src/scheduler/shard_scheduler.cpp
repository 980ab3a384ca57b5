#include "scheduler/shard_scheduler.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kTick{250};
constexpr Duration kStandstill{1'500};  // between two ticks
constexpr Duration kLoadRetry{150};
constexpr Duration kLoadEvery{1'000};

// "run/<shard>/<page>"
std::optional<PageNumber> parsePageKey(const std::string& key, const std::string& prefix) {
  PageNumber n = 0;
  const char* end = key.data() + key.size();
  auto [p, ec] = std::from_chars(key.data() + prefix.size(), end, n);
  if (ec != std::errc{} || p != end) return std::nullopt;
  return n;
}

}  // namespace

ShardScheduler::ShardScheduler(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                               const ClusterView& view, ShardTakeover takeover, LeaseValidity leaseValidity,
                               std::uint64_t seed, Callbacks out)
    : settings_(settings),
      runtime_(runtime),
      log_(std::move(log)),
      store_(store),
      view_(view),
      takeover_(takeover),
      leaseValidity_(leaseValidity),
      rng_(seed),
      callbacks_(std::move(out)),
      state_(settings),
      failures_(seconds(settings.reportS)) {}

void ShardScheduler::start() {
  loadStarted_ = runtime_.now();
  load();
}

// --- loading ---

void ShardScheduler::load() {
  // All that was committed before the takeover must be in view; what a former owner sends later fails on
  // the shard's version. What was seen once stays in view, so each step is repeated by itself.
  viewed(keys::kJobs, [this] { viewed(keys::kMachines, [this] { loadRuns(); }); });
}

// Calls next once the cluster view shows what was committed under the prefix.
void ShardScheduler::viewed(const std::string& prefix, std::function<void()> next) {
  store_.waitUntilCurrent(prefix, guarded([this, prefix, next](CatchUp result) {
                            if (result == CatchUp::Current) return next();
                            runtime_.after(kLoadRetry,
                                           guarded([this, prefix, next] { viewed(prefix, next); }));
                          }));
}

void ShardScheduler::loadRuns() {
  store_.list(RequestPriority::Control, keys::placementPages(takeover_.shard), guarded([this](ListResult r) {
                if (r.complete()) return build(r);
                runtime_.after(kLoadRetry, guarded([this] { loadRuns(); }));
              }));
}

void ShardScheduler::build(const ListResult& placementPages) {
  auto now = runtime_.now();
  for (const auto& [id, known] : view_.machines)
    if (known.record.shard == takeover_.shard) admit(id, known);
  for (const auto& [id, known] : view_.jobs)
    if (known.shard == takeover_.shard && known.status == JobStatus::Open && known.spec)
      state_.addJob(id, known).since = now;
    else if (known.shard == takeover_.shard && known.status == JobStatus::Cancelled)
      lastCancelled_ = std::max(lastCancelled_, known.version);
    else if (const auto* delegation = findDelegation(known.delegations, takeover_.shard))
      restoreDelegation(id, known, *delegation);
  auto prefix = keys::placementPages(takeover_.shard);
  std::map<TaskId, Restored> placed;
  for (const auto& e : placementPages.entries) {
    auto n = parsePageKey(e.key, prefix);
    auto page = n ? wire::parsePage(*e.value) : std::nullopt;
    if (!page) {
      log_->error("unreadable key {}, perhaps of another layout", e.key);
      continue;
    }
    state_.pages().at(*n).version = e.version;
    restoreDone(*page, *n, placed);
  }
  for (const auto& [task, r] : placed) restorePlaced(task, r);
  for (auto& [_, h] : state_.machines()) state_.reindex(h);
  for (auto& [id, job] : state_.jobs()) {
    job.waiting.clear();
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
      if (job.tasks[i].state == TaskState::Waiting) job.waiting.push_back(i);
    if (job.status == JobStatus::Open) resumeDelegations(job);
    if (job.status == JobStatus::Open) restoreGang(job);
    endIfFinished(job);
  }
  std::vector<JobId> over;
  for (auto& [id, job] : state_.jobs())
    if (job.status == JobStatus::Cancelled && job.placed == 0) over.push_back(id);
  for (const auto& id : over) cleanUp(*state_.job(id));
  countAllRemoteUsage();
  loaded_ = true;
  log_->info("share {} loaded: {} jobs, {} machines, {} ms", takeover_.shard.value, state_.jobs().size(),
             state_.machines().size(), (now - loadStarted_).count());
  tick();
  requestRound(true);
}

void ShardScheduler::restoreDelegation(const JobId& id, const JobEntry& known, const Delegation& delegation) {
  if (known.status == JobStatus::Open && known.spec)
    acceptDelegation(id, known, delegation);
  else if (known.status == JobStatus::Cancelled)
    lastCancelled_ = std::max(lastCancelled_, known.version);
}

// Takes in what is done; of what was placed, the latest attempt of each task is gathered.
void ShardScheduler::restoreDone(const wire::PageRecord& page, PageNumber n,
                                 std::map<TaskId, Restored>& placed) {
  for (const auto& [id, facts] : page.jobs) {
    Job* job = state_.job(id);
    auto known = view_.jobs.find(id);
    // An cancelled job's tasks may still be somewhere: they count until they are known gone.
    if (!job && known != view_.jobs.end() && known->second.status == JobStatus::Cancelled &&
        known->second.spec) {
      // Of another shard's job a delegation may have been given back in part: all that pages name counts.
      Delegation all{takeover_.shard, std::nullopt, {}};
      for (std::uint32_t i = 0; i < known->second.tasks; ++i) all.tasks.push_back(i);
      job = &state_.addJob(id, known->second, known->second.shard == takeover_.shard ? nullptr : &all);
    }
    if (!job) continue;
    for (auto i : facts.done) {
      if (i >= job->tasks.size() || job->tasks[i].state != TaskState::Waiting) continue;
      job->tasks[i].state = TaskState::Done;
      job->tasks[i].doneCommitted = true;
      ++job->done;
      state_.restored({id, i}, n);
    }
    for (const auto& p : facts.placed) {
      if (p.index >= job->tasks.size()) continue;
      auto& best = placed[{id, p.index}];
      if (best.page == kNoPage || best.entry.attempt < p.attempt) best = {p, n};
    }
  }
}

void ShardScheduler::restorePlaced(const TaskId& task, const Restored& r) {
  Job* job = state_.job(task.job);
  Machine* h = state_.machine(r.entry.machine);
  // A machine without a record was returned, and the cloud said so.
  if (!job || !h || job->tasks[task.index].state != TaskState::Waiting) return;
  auto& placement = state_.place(*job, task.index, *h, r.entry.attempt, runtime_.now());
  ShardState::commit(placement);
  placement.restored = true;
  placement.wanted = job->open();
  state_.restored(task, r.page);
  state_.cached(*h, job->spec->image, job->spec->imageGb);
}

Machine& ShardScheduler::admit(const MachineId& id, const MachineEntry& known) {
  auto now = runtime_.now();
  auto& h = state_.addMachine(id, known, findType(view_.catalog, known.record.type), now);
  h.expectedIncarnation = Incarnation{1};
  h.lowestOwnToken = tokenOf(std::max(known.record.token, takeover_.epoch));
  // The former owner may have answered it until the end of its grace.
  h.aliveUntil = now + takeover_.formerAnswers + leaseAfterAnswer();
  return h;
}

// --- messages ---

void ShardScheduler::leaseValidity(const LeaseValidity& s) {
  bool back = !owns() && s.owns(runtime_.now());
  leaseValidity_ = s;
  if (back && loaded_) requestRound(true);
}

void ShardScheduler::jobChanged(const JobId& id) {
  if (!loaded_) return;
  auto known = view_.jobs.find(id);
  if (known == view_.jobs.end()) return;
  if (known->second.shard != takeover_.shard) return delegatedJobChanged(id, known->second);
  // Our own commit may show here before its answer comes, and keep-alive proxies must have seen it as well
  // (invariant 15).
  if (known->second.status == JobStatus::Cancelled)
    lastCancelled_ = std::max(lastCancelled_, known->second.version);
  if (Job* job = state_.job(id)) return ownedJobChanged(*job, known->second);
  const auto& k = known->second;
  if (k.status != JobStatus::Open || !k.spec) return;
  auto& job = state_.addJob(id, k);
  auto now = runtime_.now();
  job.since = now;
  const Team* team = settings_.team(job.spec->team);
  arrivals_.push_back(
      {now, std::min(job.unfinished().cores, team ? team->coreQuota : 0), job.spec->spotAllowed});
  log_->debug("job {} came: {} tasks of {} cores", id.value, job.tasks.size(), job.spec->each.cores);
  requestRound(true);
}

void ShardScheduler::machineChanged(const MachineId& id) {
  if (!loaded_) return;
  auto known = view_.machines.find(id);
  bool ours = known != view_.machines.end() && known->second.record.shard == takeover_.shard;
  Machine* h = state_.machine(id);
  if (!ours) {
    if (h) dropMachine(id);
    return;
  }
  if (!h) {
    sendCommands(admit(id, known->second));
    return;
  }
  if (h->known.version >= known->second.version) return;
  h->known = known->second;
  auto lowestOwnToken = tokenOf(std::max(h->known.record.token, takeover_.epoch));
  if (lowestOwnToken > h->lowestOwnToken) h->lowestOwnToken = lowestOwnToken, h->tokenGeneration = 0;
  state_.reindex(*h);
}

// The record is gone or another shard's: the machine was returned, or was empty when it was given.
void ShardScheduler::dropMachine(const MachineId& id) {
  Machine* h = state_.machine(id);
  bool held = !h->placements.empty();
  while (!h->placements.empty()) {
    auto task = h->placements.begin()->first;
    taskLost(*h, task);
  }
  machinesToConsider_.erase(id);
  failures_.forget(id);
  state_.removeMachine(id);
  if (held) requestRound(true);
}

std::optional<wire::JobView> ShardScheduler::poll(const JobId& id) const {
  if (!loaded_ || !owns()) return std::nullopt;
  auto it = state_.jobs().find(id);
  if (it == state_.jobs().end() || it->second.status != JobStatus::Open || it->second.delegation)
    return std::nullopt;
  // Its end is on its way or in doubt, or the shard is: a sibling may have seen it, and told the user, before
  // us.
  if (ownershipTransferSent_) return std::nullopt;
  if (commitInFlight_ && std::any_of(commitInFlight_->endedJobs.begin(), commitInFlight_->endedJobs.end(),
                                     [&](const auto& e) { return e.first == id; }))
    return std::nullopt;
  if (commitInFlight_ &&
      std::count(commitInFlight_->migrated.begin(), commitInFlight_->migrated.end(), id) > 0)
    return std::nullopt;
  const auto& j = it->second;
  return wire::JobView{JobStatus::Open, static_cast<std::uint32_t>(j.tasks.size()), j.done, j.running};
}

bool ShardScheduler::cancel(const JobId& id, std::function<void(JobStatus)> done) {
  Job* j = state_.job(id);
  if (!loaded_ || !owns() || !j || j->delegation) return false;
  if (j->status != JobStatus::Open) {
    done(j->status);
    return true;
  }
  j->cancelWaiters.push_back(std::move(done));
  if (!j->finished()) j->cancelRequested = true;
  ending_.insert(id);
  requestRound(false);
  return true;
}

void ShardScheduler::returnToPreferredOwner(const ControllerId& to) {
  if (!loaded_ || transferringTo_) return;
  transferringTo_ = to;
  requestRound(false);
}

// --- upkeep ---

void ShardScheduler::tick() {
  runtime_.after(kTick, guarded([this] { tick(); }));
  auto now = runtime_.now();
  if (stoodStill(now)) return;
  for (auto& [id, h] : state_.machines()) {
    checkLiveness(h, now);
    if (!owns()) continue;
    if (h.size.cores <= 0)
      if (const auto* type = findType(view_.catalog, h.known.record.type)) state_.learnType(h, *type);
    progressDrain(h);
    if (h.attention) sendCommands(h);
  }
  if (!owns()) return;
  returnSuspected(now);
  reviewFailures(now);
  reviewMigrations(now);
  reviewDelegations(now);
  settleRecords(now);
  if (now - loadSent_ >= kLoadEvery) {
    loadSent_ = now;
    sendLoad();
  }
  bool due = std::any_of(state_.jobs().begin(), state_.jobs().end(), [&](const auto& j) {
    return !j.second.waiting.empty() && j.second.notBefore > now - 2 * kTick && j.second.notBefore <= now;
  });
  if (due) requestRound(true);
  bool toWrite = !unwrittenTasks_.empty() || !ending_.empty() || !migrationCleanups_.empty() ||
                 !delegationWrites_.empty();
  if (toWrite || anyReturnable(now)) requestRound(false);
}

// Whoever stood still hears first what has been waiting, and judges nobody before. What went unanswered
// meanwhile is our own doing.
bool ShardScheduler::stoodStill(Time now) {
  bool still = ticked_ != Time{} && now - ticked_ > kStandstill;
  if (still) {
    log_->info("share {}: stood still for {} ms", takeover_.shard.value, (now - ticked_).count());
    resumed_ = now;
    for (auto& [_, h] : state_.machines()) h.unansweredProbes = 0;
  }
  ticked_ = now;
  return still;
}

}  // namespace cherryloft
