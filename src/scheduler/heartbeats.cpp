// Handling of worker heartbeats: answering them, and reconciling the shard state with what they report.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

using wire::ExitCause;
using wire::TaskPhase;

constexpr int kHttpOk = 200;
constexpr int kHttpMisdirected = 421;  // makes the worker switch to another controller
constexpr int kHttpUnavailable = 503;

// Consecutive heartbeats without a task that an earlier answer should have started: one lost answer can
// happen by chance, two indicate that answers do not arrive.
constexpr unsigned kMissedStartsToAdvanceToken = 2;
// Margins for the rate by which a worker's clock may be slower than ours and for the latency of an answer.
constexpr double kLeaseClockDrift = 1.002;
constexpr double kLeaseMarginSeconds = 1.0;

// The worker would list the task if the answer with its start command had arrived; it lists even tasks that
// it refused to start.
bool startMissed(const Placement& placement, const wire::WorkerHeartbeat& heartbeat) {
  bool answerCarriedStart = placement.startSentWith.value > 0;
  return placement.desired && !placement.observed && answerCarriedStart &&
         heartbeat.sequence > placement.startSentWith;
}

// A start command for the task may still have reached the worker after it sent this heartbeat (invariant 4).
// A new agent process may also execute direct starts of a former version until it has seen a higher token.
bool startMayArrive(const Machine& machine, const Placement& placement,
                    const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source) {
  return !machine.acknowledged() || source == HeartbeatSource::DirectAnswer ||
         heartbeat.sequence <= placement.startSentWith;
}

// Whether the absence of the task from the heartbeat proves that it is not on the machine (invariant 2).
bool absenceProvesGone(const Machine& machine, const Placement& placement,
                       const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source) {
  if (placement.observed) return true;
  // A former owner's start command has no effect once the worker has seen our token.
  if (placement.restored && !placement.startSent) return true;
  return placement.startSent && !placement.desired && !startMayArrive(machine, placement, heartbeat, source);
}

// Appends those commands whose attempts are not in the list yet.
void mergeCommands(std::vector<wire::Command>& list, std::vector<wire::Command> more) {
  std::set<TaskAttempt> listed;
  for (const auto& command : list) listed.insert({command.task, command.attempt});
  for (auto& command : more) {
    bool alreadyListed = listed.count({command.task, command.attempt}) > 0;
    if (!alreadyListed) list.push_back(std::move(command));
  }
}

// Whether the report is newer than all reports before it, and only an answer to a direct command came faster.
// If it is late instead, its worker executes nothing of the response (invariant 4).
bool overtakenByAnswer(const Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  auto position = positionOf(heartbeat);
  auto latest = machine.fence.latestPosition();
  return machine.registered && position.incarnation == latest.incarnation && position < latest &&
         position > machine.lastReport && !machine.fence.carriesLowerToken(heartbeat);
}

// An attempt without a placement is known to be gone. It may not appear on the machine that has heard the
// owner before without it.
bool isReappearance(const Machine& machine, const wire::ReportedTask& reported) {
  if (!machine.registered || reported.phase == TaskPhase::Exited) return false;
  return std::none_of(machine.reported.begin(), machine.reported.end(), [&](const wire::ReportedTask& known) {
    return known.task == reported.task && known.attempt == reported.attempt;
  });
}

// The task is expected to complete before the cloud reclaims the machine.
bool endsWithin(const Placement& placement, double secondsLeft, Time now) {
  const auto& spec = *placement.job->spec;
  bool running = placement.observed && placement.phase == TaskPhase::Running;
  double ranSeconds = running ? toSeconds(now - placement.runningSince) : 0;
  return spec.kind != JobKind::Service && spec.expectedRunSeconds - ranSeconds < secondsLeft;
}

}  // namespace

// --- answers ---

ShardScheduler::HeartbeatAnswer ShardScheduler::handleHeartbeat(const wire::WorkerHeartbeat& heartbeat) {
  auto now = runtime_.now();
  if (!leaseValidity_.answers(now)) return {kHttpUnavailable, R"({"error":"not entitled"})"};
  if (!loaded_) return answerWhileLoading(heartbeat);
  if (mayHaveUnseenCancellations(now))
    return {kHttpUnavailable, R"({"error":"cancellations may be unknown"})"};
  Machine* machine = state_.machine(heartbeat.machine);
  if (!machine) return {kHttpUnavailable, R"({"error":"unknown machine"})"};
  if (machine->fence.supersededBy(heartbeat)) {
    // Invariant 5: another controller owns this machine now.
    log_->info("machine has a later owner: machine={} token={}", heartbeat.machine.value,
               heartbeat.token.value);
    return {kHttpMisdirected, "{}"};
  }
  auto result = reconcile(*machine, heartbeat, HeartbeatSource::WorkerReport);
  machine = state_.machine(heartbeat.machine);
  if (!machine) return {kHttpUnavailable, R"({"error":"unknown machine"})"};
  // Until the worker has acknowledged our token, a former owner may be answering it as well (invariant 6).
  if (!machine->registered)
    machine->leaseExpiresAt = std::max(machine->leaseExpiresAt, now + maxLeaseAfterAnswer());
  // Every answer stops cancelled tasks, as it renews the lease under which they run (invariant 16).
  auto commands = view_.stopCommandsForCancelled(heartbeat);
  // A delayed duplicate gets no starts and no forgets, as the current worker does not wait for its answer
  // (invariant 12). It may be the heartbeat of a new worker that executed copies of old commands.
  if (owns())
    mergeCommands(commands, result == ReconcileResult::Ignored
                                ? UnplacedTasks::stops(*machine, heartbeat.tasks)
                                : commandsInAnswer(*machine, heartbeat));
  return {kHttpOk, wire::encodeHeartbeatAnswer(machine->token(), commands)};
}

// Keeps the worker's lease alive while the shard is loading; finishLoading() computes the lease from its own,
// later time. Cancellations by the former owner may be unknown here, so this is allowed for a limited time
// only (invariant 16).
ShardScheduler::HeartbeatAnswer ShardScheduler::answerWhileLoading(
    const wire::WorkerHeartbeat& heartbeat) const {
  if (runtime_.now() >= store_.currentAsOf(keys::kJobs) + settings_.maxCancellationStaleness())
    return {kHttpUnavailable, R"({"error":"the share is not loaded"})"};
  auto known = view_.machines.find(heartbeat.machine);
  if (known == view_.machines.end()) return {kHttpUnavailable, R"({"error":"unknown machine"})"};
  auto baseToken = makeFencingToken(std::max(known->second.record.token, takeover_.epoch));
  if (heartbeat.token > baseToken) return {kHttpMisdirected, "{}"};
  return {kHttpOk, wire::encodeHeartbeatAnswer(baseToken, view_.stopCommandsForCancelled(heartbeat))};
}

Duration ShardScheduler::maxLeaseAfterAnswer() const {
  return seconds(settings_.workerLeaseS * kLeaseClockDrift + kLeaseMarginSeconds);
}

// --- reconciliation ---

ReconcileResult ShardScheduler::reconcile(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                          HeartbeatSource source) {
  if (!machine.registered && !machine.fence.carriesOwnToken(heartbeat)) {
    reconcileUnverified(machine, heartbeat, source);
    return ReconcileResult::Ignored;
  }
  if (source == HeartbeatSource::WorkerReport && overtakenByAnswer(machine, heartbeat)) {
    machine.lastReport = positionOf(heartbeat);
    return ReconcileResult::Overtaken;
  }
  if (!machine.fence.isNewer(heartbeat)) {
    // It is delayed, or a duplicate of an earlier worker's heartbeat (invariants 4 and 12). Or the worker
    // restarted and counts from one again, which its answer to a probe shows.
    if (machine.fence.carriesLowerToken(heartbeat) && source == HeartbeatSource::WorkerReport) {
      machine.followUpCommandDue = true;
      machine.directCommandDue = true;
    }
    return ReconcileResult::Ignored;
  }
  auto change = acceptHeartbeat(machine, heartbeat, source);
  bool unchanged = !change.any() && !machine.directCommandDue && heartbeat.tasks == machine.reported &&
                   !heartbeat.reclaimInS;
  if (unchanged) {
    state_.reindex(machine);
    bool hasFreeCores = machine.indexedFreeCores && *machine.indexedFreeCores > 0;
    if (hasFreeCores) requestPlacementRound(false, &machine.id);
    return ReconcileResult::Accepted;
  }
  auto placementsBefore = machine.placements.size();
  reconcileReportedTasks(machine, heartbeat);
  reconcileMissingTasks(machine, heartbeat, source);
  machine.registered = true;
  machine.reported = heartbeat.tasks;
  if (!heartbeat.address.empty()) machine.address = heartbeat.address;
  handleReclaimNotice(machine, heartbeat);
  machine.directCommandDue = machine.anyPending() || machine.followUpCommandDue || !machine.acknowledged();
  state_.reindex(machine);
  bool capacityFreed =
      machine.placements.size() < placementsBefore || change.firstHeartbeat || change.cordonLifted;
  requestPlacementRound(capacityFreed, &machine.id);
  return ReconcileResult::Accepted;
}

// A heartbeat without our token may be a duplicate of any earlier one. Only task completions are taken from
// it, as they are final (invariant 12). The next commands are addressed to the incarnation that it names.
void ShardScheduler::reconcileUnverified(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                         HeartbeatSource source) {
  machine.fence.raiseExpectedIncarnation(heartbeat.incarnation);
  if (machine.address.empty()) machine.address = heartbeat.address;
  for (const auto& reported : heartbeat.tasks) {
    if (reported.phase != TaskPhase::Exited || reported.cause != ExitCause::Done) continue;
    if (machine.placementOf(reported)) handleTaskExit(machine, reported);
  }
  if (source == HeartbeatSource::WorkerReport) markTokenUnacknowledged(machine);
  machine.directCommandDue = true;
  requestPlacementRound(false);
}

// Applies what the heartbeat reports about the worker itself, and extends its lease.
MachineChange ShardScheduler::acceptHeartbeat(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                              HeartbeatSource source) {
  auto now = runtime_.now();
  MachineChange change;
  change.newIncarnation = machine.fence.startsNewIncarnation(heartbeat);
  if (change.newIncarnation) beginIncarnation(machine);
  machine.fence.accept(heartbeat);
  machine.lastHeartbeatAt = now;
  // Upper bound of the lease that the answers to this heartbeat and to earlier ones grant.
  machine.leaseExpiresAt = now + maxLeaseAfterAnswer();
  change.firstHeartbeat = !machine.registered;
  if (source == HeartbeatSource::WorkerReport) machine.lastReport = positionOf(heartbeat);
  if (source == HeartbeatSource::WorkerReport || change.firstHeartbeat) {
    machine.lastReportAt = now;
    change.cordonLifted = std::exchange(machine.cordoned, false);
  }
  // The worker lost its lease although its heartbeats were answered, so it gets new work only after it has
  // acknowledged a higher token.
  bool lostAnsweredLease =
      !change.firstHeartbeat && change.newIncarnation && source == HeartbeatSource::WorkerReport;
  if (lostAnsweredLease) requireAcknowledgement(machine, TokenRaiseReason::LeaseLost);
  if (machine.acknowledged())
    machine.tokenUnacknowledgedSince.reset();
  else
    markTokenUnacknowledged(machine);
  return change;
}

// Updates the placements that the heartbeat lists: phase changes and exits.
void ShardScheduler::reconcileReportedTasks(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  auto now = runtime_.now();
  for (const auto& reported : heartbeat.tasks) {
    Placement* placement = machine.placementOf(reported);
    if (!placement) {
      if (isReappearance(machine, reported)) commandAudit_.attemptReappeared(machine, heartbeat, reported);
      continue;
    }
    if (reported.phase == TaskPhase::Exited) {
      handleTaskExit(machine, reported);
      continue;
    }
    if (placement->observed && placement->phase == reported.phase) continue;
    if (!placement->observed && !placement->restored) latencies_.placedToShown.add(now - placement->placedAt);
    state_.setPhase(*placement, reported.phase, now);
    state_.recordImageUse(machine, placement->job->spec->image, placement->job->spec->imageGb);
  }
}

// Removes the placements that the heartbeat does not list, where that proves that they are gone (invariants
// 2, 3 and 4).
void ShardScheduler::reconcileMissingTasks(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                           HeartbeatSource source) {
  std::set<TaskAttempt> listedAttempts;
  for (const auto& reported : heartbeat.tasks) listedAttempts.insert({reported.task, reported.attempt});
  std::vector<TaskId> lostTasks;
  bool missed = false;
  for (const auto& [task, placement] : machine.placements) {
    bool listed = listedAttempts.count({task, placement.attempt}) > 0;
    if (listed || !placement.committed) continue;
    if (source == HeartbeatSource::WorkerReport && startMissed(placement, heartbeat)) missed = true;
    if (absenceProvesGone(machine, placement, heartbeat, source)) lostTasks.push_back(task);
  }
  countMissedStart(machine, missed);
  handleTasksLost(machine, lostTasks);
}

// After too many missed starts, the machine must acknowledge a higher token before it gets more work
// (invariant 11).
void ShardScheduler::countMissedStart(Machine& machine, bool missed) {
  machine.missedStarts = missed ? machine.missedStarts + 1 : 0;
  if (machine.missedStarts < kMissedStartsToAdvanceToken || !machine.acknowledged()) return;
  requireAcknowledgement(machine, TokenRaiseReason::StartsMissed);
}

// The machine gets new work again once it acknowledges a higher token.
void ShardScheduler::requireAcknowledgement(Machine& machine, TokenRaiseReason reason) {
  machine.fence.requireAcknowledgement();
  commandAudit_.tokenRaised(machine, reason);
  markTokenUnacknowledged(machine);
}

// Heartbeats arrive, but do not show that the worker receives our answers (invariant 11).
void ShardScheduler::markTokenUnacknowledged(Machine& machine) {
  if (!machine.tokenUnacknowledgedSince) machine.tokenUnacknowledgedSince = runtime_.now();
}

// --- incarnations ---

// The worker's answer to a direct command has a lower position than its earlier heartbeats: a new worker
// process, which counts from one again, has replaced the old one. The old one's tasks are gone, but direct
// starts of a former version may reach the new process until it has seen a higher token (invariant 3).
void ShardScheduler::handleWorkerRestart(Machine& machine, const wire::WorkerHeartbeat& answer) {
  log_->info("worker restarted: machine={} incarnation={}", machine.id.value, answer.incarnation.value);
  machine.fence.resetForRestartedWorker(answer);
  commandAudit_.tokenRaised(machine, TokenRaiseReason::WorkerRestarted);
  machine.reported.clear();
  machine.lastReport = {};
  for (auto& [_, placement] : machine.placements) {
    if (placement.observed && placement.phase == TaskPhase::Running) --placement.job->running;
    placement.observed = false;
    placement.restored = false;
    placement.startSent = true;
    placement.desired = false;
    placement.startSentWith = machine.fence.latestPosition().sequence;
  }
  machine.directCommandDue = true;
}

// The worker has killed and discarded all tasks of the previous incarnation (invariant 2).
void ShardScheduler::beginIncarnation(Machine& machine) {
  machine.fence.clearRequiredAcknowledgement();
  machine.reported.clear();
  handleTasksLost(machine, machine.tasksWhere([](const Placement& placement) {
    return placement.startSent || placement.restored;
  }));
}

// --- lost tasks ---

void ShardScheduler::handleTaskLost(Machine& machine, const TaskId& task) {
  auto found = machine.placements.find(task);
  if (found == machine.placements.end()) return;  // already removed with another member of its gang
  Job& job = *found->second.job;
  state_.requeueLostTask(machine, task, runtime_.now());
  completeGangIfDone(job);
  queueJobEndIfFinished(job);
  handleGangMemberLost(job);
  removeJobIfEnded(job);
}

void ShardScheduler::handleTasksLost(Machine& machine, const std::vector<TaskId>& tasks) {
  for (const auto& task : tasks) handleTaskLost(machine, task);
}

void ShardScheduler::handleReclaimNotice(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  if (!heartbeat.reclaimInS) return;
  double secondsLeft = *heartbeat.reclaimInS;
  auto now = runtime_.now();
  bool firstNotice = !machine.reclaimAt;
  machine.reclaimAt = now + seconds(secondsLeft);
  if (!firstNotice) return;
  log_->info("cloud reclaims machine: machine={} in_seconds={}", machine.id.value, secondsLeft);
  auto tasksToMove = machine.tasksWhere([secondsLeft, now](const Placement& placement) {
    return placement.desired && !endsWithin(placement, secondsLeft, now);
  });
  for (const auto& task : tasksToMove) {
    auto found = machine.placements.find(task);
    if (found == machine.placements.end()) continue;  // already removed with another member of its gang
    Job& job = *found->second.job;
    if (job.isGang())
      stopGang(job, job.spec->checkpointSeconds >= secondsLeft ? GangCheckpoint::Skipped
                                                               : GangCheckpoint::Allowed);
    else
      stop(machine, task, found->second);
  }
  state_.reindex(machine);
  sendCommands(machine);
}

void ShardScheduler::stop(Machine& machine, const TaskId& task, Placement& placement) {
  placement.desired = false;
  machine.directCommandDue = true;
  if (!placement.committed || placement.startSent || placement.restored) return;
  handleTaskLost(machine, task);  // committed but never sent, so it runs on no machine
}

}  // namespace cherryloft
