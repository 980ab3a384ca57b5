#include "scheduler/shard_scheduler.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kTick{250};
constexpr Duration kStandstill{1'500};  // between two ticks

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
      recovery_(runtime, log_, store, view, takeover, state_),
      failures_(seconds(settings.heartbeatIntervalS)),
      jobMigration_(settings, view, state_, takeover.shard, log_),
      taskDelegation_(
          settings, view, state_, takeover.shard,
          [this](const Job& job, const Zone& zone) { return constraints_.allowsZone(job, zone); }, log_),
      delegatedTasks_(settings, view, state_, takeover.shard, log_),
      loadReporter_(
          settings, runtime, takeover, state_, failures_,
          {[this](const Job& job) { return constraints_.shouldAvoidSpot(job); },
           [this](const Job& job, const Zone& zone) { return constraints_.allowsZone(job, zone); },
           [this](const Machine& machine) { return movableReplicas(machine).has_value(); }, callbacks_.load}),
      machineRecordWriter_(settings, runtime, store, view, takeover, state_, callbacks_.dropOwnership) {}

void ShardScheduler::start() {
  recovery_.start([this](const ListResult& placementPages) { build(placementPages); });
}

// --- loading ---

void ShardScheduler::build(const ListResult& placementPages) {
  for (const auto& [id, known] : view_.machines)
    if (known.record.shard == takeover_.shard) admit(id, known);
  for (const auto& [id, known] : view_.jobs) addKnownJob(id, known);
  recovery_.restorePlacements(placementPages);
  for (auto& [_, machine] : state_.machines()) state_.reindex(machine);
  for (auto& [_, job] : state_.jobs()) resumeJob(job);
  cleanUpCancelled();
  jobMigration_.countAfterTakeover();
  loaded_ = true;
  log_->info("shard loaded shard={} jobs={} machines={} ms={}", takeover_.shard.value, state_.jobs().size(),
             state_.machines().size(), recovery_.sinceStart().count());
  tick();
  requestRound(true);
}

void ShardScheduler::addKnownJob(const JobId& id, const JobEntry& known) {
  if (known.shard == takeover_.shard && known.status == JobStatus::Open && known.spec)
    state_.addJob(id, known).since = runtime_.now();
  else if (known.shard == takeover_.shard && known.status == JobStatus::Cancelled)
    lastCancelled_ = std::max(lastCancelled_, known.version);
  else if (const auto* delegation = findDelegation(known.delegations, takeover_.shard))
    restoreDelegation(id, known, *delegation);
}

void ShardScheduler::restoreDelegation(const JobId& id, const JobEntry& known, const Delegation& delegation) {
  if (known.status == JobStatus::Open && known.spec)
    acceptDelegation(id, known, delegation);
  else if (known.status == JobStatus::Cancelled)
    lastCancelled_ = std::max(lastCancelled_, known.version);
}

// Goes on with a job whose placements are restored.
void ShardScheduler::resumeJob(Job& job) {
  job.waiting.clear();
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    if (job.tasks[index].state == TaskState::Waiting) job.waiting.push_back(index);
  if (job.status == JobStatus::Open) resumeDelegations(job);
  if (job.status == JobStatus::Open) restoreGang(job);
  endIfFinished(job);
}

// Cancelled jobs of which nothing is on any machine.
void ShardScheduler::cleanUpCancelled() {
  std::vector<JobId> over;
  for (const auto& [id, job] : state_.jobs())
    if (job.status == JobStatus::Cancelled && job.placed == 0) over.push_back(id);
  for (const auto& id : over) cleanUp(*state_.job(id));
}

// A machine that is this shard's from now on. Its token is ours, and it gets no new work before it is heard.
Machine& ShardScheduler::admit(const MachineId& id, const MachineEntry& known) {
  auto now = runtime_.now();
  auto& machine = state_.addMachine(id, known, findType(view_.catalog, known.record.type), now);
  machine.fence = CommandFence{tokenOf(std::max(known.record.token, takeover_.epoch))};
  // The former owner may have answered it until the end of its grace.
  machine.aliveUntil = now + takeover_.formerAnswers + leaseAfterAnswer();
  return machine;
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
  loadReporter_.workArrived(now, std::min(job.unfinished().cores, team ? team->coreQuota : 0),
                            job.spec->spotAllowed);
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
  h->fence.raiseLowestOwnToken(tokenOf(std::max(h->known.record.token, takeover_.epoch)));
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
  roundScope_.machines.erase(id);
  failures_.forget(id);
  state_.removeMachine(id);
  if (held) requestRound(true);
}

std::optional<wire::JobProgress> ShardScheduler::poll(const JobId& id) const {
  if (!loaded_ || !owns()) return std::nullopt;
  auto it = state_.jobs().find(id);
  if (it == state_.jobs().end() || it->second.status != JobStatus::Open || it->second.delegation)
    return std::nullopt;
  // Its end is on its way or in doubt, or the shard is: a sibling may have seen it, and told the user, before
  // us.
  if (ownershipTransferSent_) return std::nullopt;
  if (commitInFlight_ && (commitInFlight_->ends(id) || commitInFlight_->migrates(id))) return std::nullopt;
  const auto& j = it->second;
  return wire::JobProgress{JobStatus::Open, static_cast<std::uint32_t>(j.tasks.size()), j.done, j.running};
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
    if (h.contactDue) sendCommands(h);
  }
  if (!owns()) return;
  returnSuspected(now);
  reviewFailures(now);
  reviewMigrations(now);
  reviewDelegations(now);
  machineRecordWriter_.writeChanges(now);
  loadReporter_.reportIfDue(now);
  bool due = std::any_of(state_.jobs().begin(), state_.jobs().end(), [&](const auto& j) {
    return !j.second.waiting.empty() && j.second.notBefore > now - 2 * kTick && j.second.notBefore <= now;
  });
  if (due) requestRound(true);
  bool toWrite = !unwrittenTasks_.empty() || !ending_.empty() || jobMigration_.cleanupsPlanned() ||
                 taskDelegation_.anyPlanned();
  if (toWrite || delegatedTasks_.anyReturnable(now)) requestRound(false);
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
