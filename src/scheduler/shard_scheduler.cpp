#include "scheduler/shard_scheduler.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kTickInterval{250};
constexpr Duration kStallThreshold{1'500};  // time between two ticks

}  // namespace

ShardScheduler::ShardScheduler(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                               const ClusterView& view, ShardTakeover takeover, LeaseValidity leaseValidity,
                               std::uint64_t seed, Callbacks callbacks)
    : settings_(settings),
      runtime_(runtime),
      log_(std::move(log)),
      store_(store),
      view_(view),
      takeover_(takeover),
      leaseValidity_(leaseValidity),
      rng_(seed),
      callbacks_(std::move(callbacks)),
      state_(settings),
      recovery_(runtime, log_, store, view, takeover, state_),
      failures_(seconds(settings.heartbeatIntervalS)),
      jobMigration_(settings, view, state_, takeover.shard, log_),
      taskDelegation_(
          settings, view, state_, takeover.shard,
          [this](const Job& job, const Zone& zone) { return constraints_.allowsZone(job, zone); }, log_),
      delegatedTasks_(settings, view, state_, log_),
      loadReporter_(
          settings, view.catalog, runtime, takeover, state_, failures_,
          {[this](const Job& job) { return constraints_.shouldAvoidSpot(job); },
           [this](const Job& job, const Zone& zone) { return constraints_.tasksAllowedIn(job, zone); },
           [this](const Job& job, const Machine& machine) {
             return constraints_.allowsMachine(job, machine);
           }},
          {[this](const Machine& machine) { return movableReplicas(machine).has_value(); }, callbacks_.load}),
      machineRecordWriter_(settings, runtime, store, view, takeover, state_, callbacks_.dropOwnership) {}

std::vector<std::string> ShardScheduler::summarizeLastMinute() {
  return {summarizeShard(shard(), state_, loadReporter_.excludedJobs(), latencies_),
          commandAudit_.summarizeAndReset()};
}

void ShardScheduler::start() {
  recovery_.start([this](const ListResult& placementPages) { finishLoading(placementPages); });
}

// --- loading ---

void ShardScheduler::finishLoading(const ListResult& placementPages) {
  for (const auto& [id, entry] : view_.machines)
    if (entry.record.shard == takeover_.shard) addOwnedMachine(id, entry);
  for (const auto& [id, entry] : view_.jobs) addKnownJob(id, entry);
  recovery_.restorePlacements(placementPages);
  for (auto& [_, machine] : state_.machines()) state_.reindex(machine);
  for (auto& [_, job] : state_.jobs()) resumeJob(job);
  cleanUpCancelled();
  jobMigration_.restoreRemoteUsage();
  loaded_ = true;
  log_->info("shard loaded shard={} jobs={} machines={} ms={} epoch={} jobs_revision={} machines_revision={}",
             takeover_.shard.value, state_.jobs().size(), state_.machines().size(),
             recovery_.sinceStart().count(), takeover_.epoch.value, store_.revisionOf(keys::kJobs).value,
             store_.revisionOf(keys::kMachines).value);
  tick();
  requestPlacementRound(true);
}

void ShardScheduler::addKnownJob(const JobId& id, const JobEntry& entry) {
  bool ours = entry.shard == takeover_.shard;
  const auto* delegation = ours ? nullptr : findDelegation(entry.delegations, takeover_.shard);
  bool open = entry.status == JobStatus::Open && entry.spec;
  if (ours && open)
    state_.addJob(id, entry).since = runtime_.now();
  else if (delegation && open)
    acceptDelegation(id, entry, *delegation);
  else if (ours || delegation)
    noteCancellation(entry);
}

// Keep-alive proxies must have seen every cancellation that affects the shard's machines (invariant 15).
void ShardScheduler::noteCancellation(const JobEntry& entry) {
  if (entry.status == JobStatus::Cancelled)
    lastCancellationVersion_ = std::max(lastCancellationVersion_, entry.endVersion);
}

// Resumes a job after its placements were restored.
void ShardScheduler::resumeJob(Job& job) {
  job.waiting.clear();
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    if (job.tasks[index].state == TaskState::Waiting) job.waiting.push_back(index);
  if (job.status == JobStatus::Open) resumeDelegations(job);
  if (job.status == JobStatus::Open) restoreGang(job);
  queueJobEndIfFinished(job);
}

// Removes cancelled jobs without any task on a machine.
void ShardScheduler::cleanUpCancelled() {
  std::vector<JobId> finished;
  for (const auto& [id, job] : state_.jobs())
    if (job.status == JobStatus::Cancelled && job.placed == 0) finished.push_back(id);
  for (const auto& id : finished) removeJobIfEnded(*state_.job(id));
}

// Adds a machine that now belongs to this shard. It gets a token of this owner, and no new work before it
// registers.
Machine& ShardScheduler::addOwnedMachine(const MachineId& id, const MachineEntry& entry) {
  auto now = runtime_.now();
  auto& machine = state_.addMachine(id, entry, findType(view_.catalog, entry.record.type), now);
  machine.fence = CommandFence{makeFencingToken(std::max(entry.record.token, takeover_.epoch)),
                               settings_.tokenGenerations};
  // The former owner may have answered its heartbeats until the end of the grace period.
  machine.leaseExpiresAt = now + takeover_.formerOwnerAnswersFor + maxLeaseAfterAnswer();
  return machine;
}

// --- messages ---

void ShardScheduler::leaseValidity(const LeaseValidity& validity) {
  bool regained = !owns() && validity.owns(runtime_.now());
  leaseValidity_ = validity;
  if (regained && loaded_) requestPlacementRound(true);
}

void ShardScheduler::jobChanged(const JobId& id) {
  if (!loaded_) return;
  auto found = view_.jobs.find(id);
  if (found == view_.jobs.end()) return;
  if (found->second.shard != takeover_.shard) return handleDelegatedJobChange(id, found->second);
  noteCancellation(found->second);
  if (Job* job = state_.job(id)) return handleOwnedJobChange(*job, found->second);
  const auto& entry = found->second;
  if (entry.status != JobStatus::Open || !entry.spec) return;
  auto& job = state_.addJob(id, entry);
  auto now = runtime_.now();
  job.since = now;
  const Team* team = settings_.team(job.spec->team);
  loadReporter_.recordArrivedWork(now, std::min(job.unfinished().cores, team ? team->coreQuota : 0),
                                  job.spec->spotAllowed);
  log_->debug("new job {}: {} tasks of {} cores", id.value, job.tasks.size(), job.spec->each.cores);
  requestPlacementRound(true);
}

void ShardScheduler::machineChanged(const MachineId& id) {
  if (!loaded_) return;
  auto found = view_.machines.find(id);
  bool ours = found != view_.machines.end() && found->second.record.shard == takeover_.shard;
  Machine* machine = state_.machine(id);
  if (!ours) {
    if (machine) dropMachine(id);
    return;
  }
  if (!machine) {
    sendCommands(addOwnedMachine(id, found->second));
    return;
  }
  if (machine->known.version >= found->second.version) return;
  machine->known = found->second;
  machine->fence.raiseBaseToken(makeFencingToken(std::max(machine->known.record.token, takeover_.epoch)));
  state_.reindex(*machine);
}

// Its record was deleted or moved to another shard: the machine was returned, or was given away empty.
void ShardScheduler::dropMachine(const MachineId& id) {
  Machine* machine = state_.machine(id);
  bool hadTasks = !machine->placements.empty();
  while (!machine->placements.empty()) {
    auto task = machine->placements.begin()->first;
    handleTaskLost(*machine, task);
  }
  roundScope_.machines.erase(id);
  failures_.forget(id);
  state_.removeMachine(id);
  if (hadTasks) requestPlacementRound(true);
}

std::optional<wire::JobProgress> ShardScheduler::poll(const JobId& id) const {
  if (!loaded_ || !owns()) return std::nullopt;
  auto found = state_.jobs().find(id);
  if (found == state_.jobs().end() || found->second.status != JobStatus::Open || found->second.delegation)
    return std::nullopt;
  // The job's end, its migration or the transfer of the shard is in flight: a peer may have seen it, and told
  // the user, before this scheduler.
  if (ownershipTransferSent_) return std::nullopt;
  if (commitInFlight_ && (commitInFlight_->ends(id) || commitInFlight_->migrates(id))) return std::nullopt;
  const auto& job = found->second;
  return wire::JobProgress{JobStatus::Open, static_cast<std::uint32_t>(job.tasks.size()), job.done,
                           job.running};
}

bool ShardScheduler::cancel(const JobId& id, std::function<void(JobStatus)> done) {
  Job* job = state_.job(id);
  if (!loaded_ || !owns() || !job || job->delegation) return false;
  if (job->status != JobStatus::Open) {
    done(job->status);
    return true;
  }
  job->cancelCallbacks.push_back(std::move(done));
  if (!job->finished()) job->cancelRequested = true;
  jobsToEnd_.insert(id);
  requestPlacementRound(false);
  return true;
}

void ShardScheduler::returnToPreferredOwner(const ControllerId& to) {
  if (!loaded_ || transferringTo_) return;
  transferringTo_ = to;
  requestPlacementRound(false);
}

// --- periodic maintenance ---

void ShardScheduler::tick() {
  runtime_.after(kTickInterval, guarded([this] { tick(); }));
  auto now = runtime_.now();
  if (detectStall(now)) return;
  for (auto& [id, machine] : state_.machines()) {
    checkLiveness(machine, now);
    if (!owns()) continue;
    if (machine.size.cores <= 0)
      if (const auto* type = findType(view_.catalog, machine.known.record.type))
        state_.setMachineType(machine, *type);
    advanceDrain(machine);
    if (machine.directCommandDue) sendCommands(machine);
  }
  if (!owns()) return;
  if (renewEpochIfExhausted()) return;
  returnSuspectedMachines(now);
  reviewFailures(now);
  reviewMigrations(now);
  reviewDelegations(now);
  machineRecordWriter_.writeChanges(now);
  loadReporter_.reportIfDue(now);
  bool backoffEnded = std::any_of(state_.jobs().begin(), state_.jobs().end(), [&](const auto& entry) {
    const Job& job = entry.second;
    return !job.waiting.empty() && job.notBefore > now - 2 * kTickInterval && job.notBefore <= now;
  });
  if (backoffEnded) requestPlacementRound(true);
  bool writesPending = !unwrittenTasks_.empty() || !jobsToEnd_.empty() ||
                       jobMigration_.hasPlannedCleanups() || taskDelegation_.anyPlanned();
  if (writesPending || delegatedTasks_.anyReturnable(now)) requestPlacementRound(false);
}

// A machine whose tokens under this epoch are used up gets new ones with the next epoch, under which the
// shard is loaded anew.
bool ShardScheduler::renewEpochIfExhausted() {
  const auto& machines = state_.machines();
  auto exhausted = std::find_if(machines.begin(), machines.end(),
                                [](const auto& entry) { return entry.second.fence.tokensExhausted(); });
  if (exhausted == machines.end()) return false;
  log_->info("fencing tokens used up: shard={} machine={} token={}", takeover_.shard.value,
             exhausted->first.value, exhausted->second.token().value);
  callbacks_.dropOwnership();
  return true;
}

// After a stall of this process, received messages are handled before any machine is judged to be silent.
// Probes that went unanswered meanwhile do not count, as the stall may have caused that.
bool ShardScheduler::detectStall(Time now) {
  bool stalled = lastTickAt_ != Time{} && now - lastTickAt_ > kStallThreshold;
  if (stalled) {
    log_->info("shard {}: stood still for {} ms", takeover_.shard.value, (now - lastTickAt_).count());
    lastStallEnd_ = now;
    for (auto& [_, machine] : state_.machines()) machine.unansweredProbes = 0;
  }
  lastTickAt_ = now;
  return stalled;
}

}  // namespace cherryloft
