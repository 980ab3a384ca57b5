// Heartbeats of workers: how they are answered, and how the shard state is reconciled with what they show.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

using wire::ExitCause;
using wire::TaskPhase;

constexpr int kHttpOk = 200;
constexpr int kHttpMisdirected = 421;  // the worker turns to another controller
constexpr int kHttpUnavailable = 503;

// Heartbeats in a row that lack what an answer should have started: one lost answer is bad luck, two show
// that answers do not arrive.
constexpr unsigned kMissedStartsToAdvanceToken = 2;
// What a worker's clock may lag behind ours, and what an answer takes to reach it.
constexpr double kLeaseClockDrift = 1.002;
constexpr double kLeaseMarginSeconds = 1.0;

// The worker would list the task by now if the answer that carried its start had arrived; even a start that
// it refuses shows.
bool startMissed(const Placement& placement, const wire::WorkerHeartbeat& heartbeat) {
  bool answerCarriedStart = placement.startSentWith.value > 0;
  return placement.wanted && !placement.shown && answerCarriedStart &&
         heartbeat.sequence > placement.startSentWith;
}

// A start of the task may still reach the worker after it sent this heartbeat (invariants 3 and 4).
bool startMayArrive(const Machine& machine, const Placement& placement,
                    const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source) {
  return machine.commandInFlight || !machine.noCommandInDoubt() || source == HeartbeatSource::DirectAnswer ||
         heartbeat.sequence <= placement.startSentWith;
}

// The heartbeat lacks the task: whether that proves that the task is gone (invariant 2).
bool absenceProvesGone(const Machine& machine, const Placement& placement,
                       const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source) {
  if (placement.shown) return true;
  // No start of a former owner can act under our token.
  if (placement.restored && !placement.startSent) return true;
  return placement.startSent && !placement.wanted && !startMayArrive(machine, placement, heartbeat, source);
}

// The task ends by itself before the cloud takes the machine.
bool endsWithin(const Placement& placement, double secondsLeft, Time now) {
  const auto& spec = *placement.job->spec;
  bool running = placement.shown && placement.phase == TaskPhase::Running;
  double ranSeconds = running ? inSeconds(now - placement.runningSince) : 0;
  return spec.kind != JobKind::Service && spec.expectedRunSeconds - ranSeconds < secondsLeft;
}

}  // namespace

// --- answers ---

ShardScheduler::HeartbeatAnswer ShardScheduler::handleHeartbeat(const wire::WorkerHeartbeat& heartbeat) {
  auto now = runtime_.now();
  if (!leaseValidity_.answers(now)) return {kHttpUnavailable, R"({"error":"not entitled"})"};
  if (!loaded_) return answerWhileLoading(heartbeat);
  if (mayNotKnowCancellations(now)) return {kHttpUnavailable, R"({"error":"cancellations may be unknown"})"};
  Machine* machine = state_.machine(heartbeat.machine);
  if (!machine) return {kHttpUnavailable, R"({"error":"unknown machine"})"};
  if (machine->fence.supersededBy(heartbeat)) {
    // Invariant 5: somebody else has the right to this machine now.
    log_->info("machine has a later owner: machine={} token={}", heartbeat.machine.value,
               heartbeat.token.value);
    return {kHttpMisdirected, "{}"};
  }
  auto result = reconcile(*machine, heartbeat, HeartbeatSource::WorkerReport);
  machine = state_.machine(heartbeat.machine);
  if (!machine) return {kHttpUnavailable, R"({"error":"unknown machine"})"};
  // Until it has acknowledged our token, a former owner may be answering it as well (invariant 6).
  if (!machine->heard) machine->aliveUntil = std::max(machine->aliveUntil, now + leaseAfterAnswer());
  // What is cancelled ends with every answer: its lease must not go on without (invariant 16).
  auto commands = view_.stopCommandsForCancelled(heartbeat);
  // A late copy gets no other commands: whoever waits for its answer, the present machine does not (invariant
  // 12).
  if (owns() && result == ReconcileResult::Accepted)
    addCommands(commands, commandsInAnswer(*machine, heartbeat));
  return {kHttpOk, wire::encodeHeartbeatAnswer(machine->token(), commands)};
}

// The worker's lease must not run out while we load; build() counts the time from its own, later, moment.
// What the former owner cancelled may be unknown to us, for so long only (invariant 16).
ShardScheduler::HeartbeatAnswer ShardScheduler::answerWhileLoading(
    const wire::WorkerHeartbeat& heartbeat) const {
  if (runtime_.now() >= store_.currentAsOf(keys::kJobs) + settings_.maxCancellationStaleness())
    return {kHttpUnavailable, R"({"error":"the share is not loaded"})"};
  auto known = view_.machines.find(heartbeat.machine);
  if (known == view_.machines.end()) return {kHttpUnavailable, R"({"error":"unknown machine"})"};
  auto lowestOwnToken = tokenOf(std::max(known->second.record.token, takeover_.epoch));
  if (heartbeat.token > lowestOwnToken) return {kHttpMisdirected, "{}"};
  return {kHttpOk, wire::encodeHeartbeatAnswer(lowestOwnToken, view_.stopCommandsForCancelled(heartbeat))};
}

Duration ShardScheduler::leaseAfterAnswer() const {
  return seconds(settings_.workerLeaseS * kLeaseClockDrift + kLeaseMarginSeconds);
}

// --- reconciliation ---

ShardScheduler::ReconcileResult ShardScheduler::reconcile(Machine& machine,
                                                          const wire::WorkerHeartbeat& heartbeat,
                                                          HeartbeatSource source) {
  if (!machine.heard && !machine.fence.showsOwnToken(heartbeat)) {
    reconcileUnproven(machine, heartbeat, source);
    return ReconcileResult::Ignored;
  }
  if (!machine.fence.isNewer(heartbeat)) {
    // It is late, or a copy of the former worker's (invariants 4 and 12). Or the machine's worker restarted
    // and counts from one again: its own answer to a question tells.
    if (machine.fence.showsLowerToken(heartbeat) && source == HeartbeatSource::WorkerReport) {
      machine.sendAgain = true;
      machine.contactDue = true;
    }
    return ReconcileResult::Ignored;
  }
  auto change = acceptHeartbeat(machine, heartbeat, source);
  bool nothingNew =
      !change.any() && !machine.contactDue && heartbeat.tasks == machine.reported && !heartbeat.reclaimInS;
  if (nothingNew) {
    state_.reindex(machine);
    bool hasFreeCores = machine.indexedFree && *machine.indexedFree > 0;
    if (hasFreeCores) requestRound(false, &machine.id);
    return ReconcileResult::Accepted;
  }
  auto placementsBefore = machine.placements.size();
  reconcileReportedTasks(machine, heartbeat);
  reconcileMissingTasks(machine, heartbeat, source);
  machine.heard = true;
  machine.reported = heartbeat.tasks;
  if (!heartbeat.address.empty()) machine.address = heartbeat.address;
  handleReclaimNotice(machine, heartbeat);
  machine.contactDue = machine.anyPending() || machine.sendAgain || !machine.noCommandInDoubt();
  state_.reindex(machine);
  bool capacityFreed =
      machine.placements.size() < placementsBefore || change.firstHeartbeat || change.cordonLifted;
  requestRound(capacityFreed, &machine.id);
  return ReconcileResult::Accepted;
}

// A heartbeat without our token may be a copy from any time before: nothing in it is the present but that
// what is done is done (invariant 12). The incarnation it names is tried in commands.
void ShardScheduler::reconcileUnproven(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                       HeartbeatSource source) {
  machine.fence.learnExpectedIncarnation(heartbeat.incarnation);
  if (machine.address.empty()) machine.address = heartbeat.address;
  for (const auto& reported : heartbeat.tasks) {
    if (reported.phase != TaskPhase::Exited || reported.cause != ExitCause::Done) continue;
    if (machine.placementOf(reported)) taskEnded(machine, reported);
  }
  if (source == HeartbeatSource::WorkerReport) noteTokenUnacknowledged(machine);
  machine.contactDue = true;
  requestRound(false);
}

// Takes over what the heartbeat says of the worker itself, and prolongs its lease.
ShardScheduler::MachineChange ShardScheduler::acceptHeartbeat(Machine& machine,
                                                              const wire::WorkerHeartbeat& heartbeat,
                                                              HeartbeatSource source) {
  auto now = runtime_.now();
  MachineChange change;
  change.newIncarnation = machine.fence.startsIncarnation(heartbeat);
  if (change.newIncarnation) beginIncarnation(machine);
  machine.fence.accept(heartbeat);
  machine.lastHeard = now;
  // The answer to this heartbeat, and to any older one, renews its lease until then at the latest.
  machine.aliveUntil = now + leaseAfterAnswer();
  change.cordonLifted = std::exchange(machine.cordoned, false);
  change.firstHeartbeat = !machine.heard;
  // It lost its lease although it was answered. It gets new work once it shows that it hears us.
  bool lostAnsweredLease =
      !change.firstHeartbeat && change.newIncarnation && source == HeartbeatSource::WorkerReport;
  if (lostAnsweredLease) machine.fence.advanceToken();
  if (machine.noCommandInDoubt())
    machine.tokenUnacknowledgedSince.reset();
  else
    noteTokenUnacknowledged(machine);
  return change;
}

// Placements that the heartbeat lists: their phases, and their ends.
void ShardScheduler::reconcileReportedTasks(Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  auto now = runtime_.now();
  for (const auto& reported : heartbeat.tasks) {
    Placement* placement = machine.placementOf(reported);
    if (!placement) continue;
    if (reported.phase == TaskPhase::Exited) {
      taskEnded(machine, reported);
      continue;
    }
    if (placement->shown && placement->phase == reported.phase) continue;
    if (!placement->shown && !placement->restored) latencies_.toShown.add(now - placement->placedAt);
    state_.setPhase(*placement, reported.phase, now);
    state_.cached(machine, placement->job->spec->image, placement->job->spec->imageGb);
  }
}

// Placements that the heartbeat does not list: which of them are known gone (invariants 2, 3 and 4).
void ShardScheduler::reconcileMissingTasks(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                           HeartbeatSource source) {
  std::set<TaskAttempt> present;
  for (const auto& reported : heartbeat.tasks) present.insert({reported.task, reported.attempt});
  std::vector<TaskId> lostTasks;
  bool missed = false;
  for (const auto& [task, placement] : machine.placements) {
    bool listed = present.count({task, placement.attempt}) > 0;
    if (listed || !placement.committed) continue;
    if (source == HeartbeatSource::WorkerReport && startMissed(placement, heartbeat)) missed = true;
    if (absenceProvesGone(machine, placement, heartbeat, source)) lostTasks.push_back(task);
  }
  countMissedStart(machine, missed);
  tasksLost(machine, lostTasks);
}

// Once a start was missed too often, the machine must show a higher token before it gets more (invariant 11).
void ShardScheduler::countMissedStart(Machine& machine, bool missed) {
  machine.missedStarts = missed ? machine.missedStarts + 1 : 0;
  if (machine.missedStarts < kMissedStartsToAdvanceToken || !machine.noCommandInDoubt()) return;
  machine.fence.advanceToken();
  noteTokenUnacknowledged(machine);
}

// Heartbeats come, but they do not show that our answers arrive (invariant 11).
void ShardScheduler::noteTokenUnacknowledged(Machine& machine) {
  if (!machine.tokenUnacknowledgedSince) machine.tokenUnacknowledgedSince = runtime_.now();
}

// --- incarnations ---

// The machine's own answer to a question is older than what it said before the question: a new worker, that
// counts from one again, has taken the place of the old one. What the old one held is gone with it, but
// starts that were on their way may reach the new one, until it has seen a higher token (invariant 3).
void ShardScheduler::handleWorkerRestart(Machine& machine, const wire::WorkerHeartbeat& answer) {
  log_->info("worker restarted: machine={} incarnation={}", machine.id.value, answer.incarnation.value);
  machine.fence.restart(answer);
  machine.reported.clear();
  for (auto& [_, placement] : machine.placements) {
    if (placement.shown && placement.phase == TaskPhase::Running) --placement.job->running;
    placement.shown = false;
    placement.restored = false;
    placement.startSent = true;
    placement.wanted = false;
    placement.startSentWith = machine.fence.latest().sequence;
  }
  machine.contactDue = true;
}

// The worker killed and forgot everything of the incarnation before (invariant 2).
void ShardScheduler::beginIncarnation(Machine& machine) {
  machine.fence.forgetCommandInDoubt();
  machine.reported.clear();
  tasksLost(machine, machine.tasksWhere([](const Placement& placement) {
    return placement.startSent || placement.restored;
  }));
}

// --- tasks that are gone ---

void ShardScheduler::taskLost(Machine& machine, const TaskId& task) {
  auto found = machine.placements.find(task);
  if (found == machine.placements.end()) return;  // went together with another member of its gang
  Job& job = *found->second.job;
  state_.markGone(machine, task, runtime_.now());
  completeGangIfDone(job);
  endIfFinished(job);
  handleGangMemberLost(job);
  cleanUp(job);
}

void ShardScheduler::tasksLost(Machine& machine, const std::vector<TaskId>& tasks) {
  for (const auto& task : tasks) taskLost(machine, task);
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
    return placement.wanted && !endsWithin(placement, secondsLeft, now);
  });
  for (const auto& task : tasksToMove) {
    auto found = machine.placements.find(task);
    if (found == machine.placements.end()) continue;  // it went with another member of its gang
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
  placement.wanted = false;
  machine.contactDue = true;
  if (!placement.committed || placement.startSent || placement.restored) return;
  taskLost(machine, task);  // committed but never sent: it is nowhere
}

}  // namespace cherryloft
