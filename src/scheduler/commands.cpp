// Commands to workers: which commands are due, and how they are sent, either in heartbeat answers or as
// direct requests. Tasks are started by answers alone, which are never executed late; where a start is due, a
// direct command makes the worker send a heartbeat (invariant 3).
#include <algorithm>
#include <optional>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

using wire::Command;

constexpr Duration kDirectCommandTimeout{2'000};
// Delays before the next direct command to a machine, after one that was ...
constexpr Duration kBackoffNotSent{1'000};     // ... not sent
constexpr Duration kBackoffUnanswered{2'000};  // ... sent but not answered
// ... not answered, where only the machine's heartbeats get through
constexpr Duration kBackoffUnreachable{10'000};
constexpr Duration kStopRetryInterval{1'500};  // of direct commands; every heartbeat answer repeats a stop
// A worker reports a change of its tasks within this time, which includes the way here.
constexpr Duration kChangeReportedWithin = wire::kMinReportInterval + Duration{100};
// How much longer than its job specifies a checkpoint may take.
constexpr double kCheckpointGraceMarginSeconds = 1;
// Added to twice the job's checkpoint time to get the time after which a stop no longer waits for a
// checkpoint.
constexpr double kCheckpointSlackSeconds = 5;
constexpr std::size_t kMaxCommands = 300;  // keeps a heartbeat answer under 64 KiB
// Limits probes in flight so that heartbeat answers are not delayed.
constexpr std::size_t kMaxProbesInFlight = 64;
// Number of the controller's pooled sockets per direct command in flight. The resulting limit is shared by
// all shards, as one controller may own all of them.
constexpr std::size_t kKeptSocketsPerCommand = 2;
constexpr std::size_t kMinDirectCommandsInFlight = 8;

std::optional<Address> addressOf(const Machine& machine) {
  try {
    return parseAddress(machine.address);
  } catch (const SettingsError&) {
    return std::nullopt;
  }
}

// Whether the committed state allows the task to run.
bool mayStart(const Job& job) {
  // The job's end may have been committed without our receiving the answer, and a sibling may already have
  // reported it to users (invariant 8).
  if (!job.open()) return false;
  // No member of a gang starts before the attempts of all members are committed.
  return !job.isGang() || job.allCommitted();
}

// Whether a task may start on the machine of which no answer has carried the start yet.
bool anyStartUnsent(const Machine& machine) {
  return std::any_of(machine.placements.begin(), machine.placements.end(), [](const auto& entry) {
    const auto& placement = entry.second;
    return placement.awaitsStart() && !placement.startSent && mayStart(*placement.job);
  });
}

Command startCommand(const TaskId& task, const Placement& placement) {
  return {Command::Verb::Start, task, placement.attempt, 0};
}

Command stopCommand(const TaskId& task, Attempt attempt) { return {Command::Verb::Stop, task, attempt, 0}; }

}  // namespace

// --- which commands are due ---

Duration ShardScheduler::maxCheckpointTime(const Job& job) const {
  double waitForPeers = job.isGang() ? settings_.gangPeerTimeoutS : 0;
  return seconds(2 * job.spec->checkpointSeconds + kCheckpointSlackSeconds + waitForPeers);
}

// The progress of a cancelled job need not be saved, and the time for a checkpoint is limited.
bool ShardScheduler::mayCheckpoint(const Placement& placement, Time now) const {
  const Job& job = *placement.job;
  if (job.spec->checkpointIntervalSeconds <= 0 || !job.open() || placement.skipCheckpoint) return false;
  bool stopSentBefore = placement.stopSent != Time{};
  return !stopSentBefore || now - placement.stopSent < maxCheckpointTime(job);
}

Command ShardScheduler::stopCommandFor(const TaskId& task, const Placement& placement, Time now) const {
  auto command = stopCommand(task, placement.attempt);
  if (mayCheckpoint(placement, now))
    command.graceS = placement.job->spec->checkpointSeconds + kCheckpointGraceMarginSeconds;
  return command;
}

std::vector<Command> ShardScheduler::commandsInAnswer(Machine& machine,
                                                      const wire::WorkerHeartbeat& heartbeat) {
  std::vector<Command> commands;
  if (!machine.registered) return commands;
  auto now = runtime_.now();
  machine.heartbeatExpectedUntil = now;
  for (auto& [task, placement] : machine.placements) {
    if (commands.size() >= kMaxCommands) break;
    if (placement.awaitsStart()) {
      if (!mayStart(*placement.job)) continue;
      commands.push_back(startCommand(task, placement));
      // A task that is new to the worker is reported soon.
      if (!placement.startSent) machine.heartbeatExpectedUntil = now + kChangeReportedWithin;
      placement.startSent = true;
      placement.startSentWith = heartbeat.sequence;
    } else if (placement.awaitsStop()) {
      commands.push_back(stopCommandFor(task, placement, now));
      if (placement.stopSent == Time{}) placement.stopSent = now;
    }
  }
  unplacedTasks_.addCommands(machine, commands, kMaxCommands);
  commandAudit_.commandsSent(machine, CommandRoute::HeartbeatAnswer, commands, leaseLeft());
  return commands;
}

std::vector<Command> ShardScheduler::takeDirectCommands(Machine& machine) {
  std::vector<Command> commands;
  if (!machine.registered) return commands;
  auto now = runtime_.now();
  for (auto& [task, placement] : machine.placements) {
    if (commands.size() >= kMaxCommands) break;
    if (!placement.awaitsStop() || now - placement.stopSent < kStopRetryInterval) continue;
    commands.push_back(stopCommandFor(task, placement, now));
    placement.stopSent = now;
  }
  if (!anyStartUnsent(machine)) return commands;
  if (now < machine.heartbeatExpectedUntil) {
    machine.directCommandDue = true;  // in case that the heartbeat does not come
    return commands;
  }
  // Until the next heartbeat is accepted the attempt stays the same, so that repeating it changes nothing.
  commands.push_back(wire::wakeUpCommand(Attempt{machine.fence.latestPosition().sequence.value}));
  machine.heartbeatExpectedUntil = now + kChangeReportedWithin;
  return commands;
}

// --- direct commands ---

void ShardScheduler::sendCommands(Machine& machine) {
  if (!owns()) return;
  if (machine.commandInFlight) {
    machine.followUpCommandDue = true;
    return;
  }
  if (runtime_.now() < machine.nextCommandNotBefore) return;
  auto worker = addressOf(machine);
  if (!worker) return;
  if (directCommandsInFlight_ >= maxDirectCommandsInFlight()) return queueForDirectCommand(machine);
  auto commands = takeDirectCommands(machine);
  bool isProbe = commands.empty();
  if (isProbe && (!probeDue(machine) || probesInFlight_ >= kMaxProbesInFlight)) return;
  commandAudit_.commandsSent(machine, CommandRoute::Direct, commands, leaseLeft());
  machine.commandInFlight = true;
  machine.followUpCommandDue = false;
  ++directCommandsInFlight_;
  if (isProbe) ++probesInFlight_;
  auto incarnation = machine.registered ? machine.fence.incarnation() : machine.fence.expectedIncarnation();
  DirectCommand sent{incarnation, machine.fence.latestPosition(), isProbe};
  auto body = wire::encodeCommands(machine.token(), sent.incarnation, commands);
  runtime_.call(*worker, {"POST", "/commands", std::move(body), false}, kDirectCommandTimeout,
                guarded([this, id = machine.id, sent](const HttpResult& result) {
                  handleDirectCommandResult(id, sent, result);
                }));
}

// If there are no commands to send, a machine without a recent heartbeat is probed for one.
bool ShardScheduler::probeDue(const Machine& machine) const {
  return !machine.registered || heartbeatOverdue(machine) || machine.followUpCommandDue;
}

void ShardScheduler::queueForDirectCommand(Machine& machine) {
  machine.directCommandDue = true;
  if (machine.queuedForDirectCommand) return;
  machine.queuedForDirectCommand = true;
  directCommandQueue_.push_back(machine.id);
}

// Sends commands to the machines for which too many others were in flight, in the order in which they came.
void ShardScheduler::sendQueuedCommands() {
  while (!directCommandQueue_.empty() && directCommandsInFlight_ < maxDirectCommandsInFlight()) {
    Machine* machine = state_.machine(directCommandQueue_.front());
    directCommandQueue_.pop_front();
    if (!machine) continue;
    machine->queuedForDirectCommand = false;
    sendCommands(*machine);
  }
}

std::size_t ShardScheduler::maxDirectCommandsInFlight() const {
  return std::max(settings_.reservedSockets() / kKeptSocketsPerCommand / settings_.size(),
                  kMinDirectCommandsInFlight);
}

// Skips machines that are no longer in the shard state.
void ShardScheduler::sendCommandsToAll(const std::set<MachineId>& machines) {
  for (const auto& id : machines)
    if (Machine* machine = state_.machine(id)) sendCommands(*machine);
}

void ShardScheduler::handleDirectCommandResult(const MachineId& id, const DirectCommand& sent,
                                               const HttpResult& result) {
  if (sent.isProbe) --probesInFlight_;
  --directCommandsInFlight_;
  if (Machine* machine = state_.machine(id)) applyDirectCommandResult(*machine, sent, result);
  sendQueuedCommands();
}

void ShardScheduler::applyDirectCommandResult(Machine& machine, const DirectCommand& sent,
                                              const HttpResult& result) {
  machine.commandInFlight = false;
  // 409: the worker rejected the command because it has seen a higher token or has another incarnation.
  bool answered = result.answered(200) || result.answered(409);
  auto heartbeat = answered ? wire::parseHeartbeat(result.response.body) : std::nullopt;
  if (heartbeat && heartbeat->machine == machine.id)
    handleCommandAnswered(machine, sent, *heartbeat);
  else
    handleCommandUnanswered(machine, result);
}

void ShardScheduler::handleCommandAnswered(Machine& machine, const DirectCommand& sent,
                                           const wire::WorkerHeartbeat& heartbeat) {
  if (machine.fence.supersededBy(heartbeat)) return;  // handled when its next heartbeat arrives
  machine.unansweredProbes = 0;
  bool olderThanSent = positionOf(heartbeat) <= sent.latestHeartbeat;
  if (olderThanSent || machine.fence.isExpired(heartbeat.incarnation))
    handleWorkerRestart(machine, heartbeat);
  auto id = machine.id;
  reconcile(machine, heartbeat, HeartbeatSource::DirectAnswer);
  Machine* current = state_.machine(id);  // reconcile() may have removed it
  if (!current) return;
  // The first command to a machine is sent without knowing its incarnation.
  bool wrongIncarnation = heartbeat.incarnation != sent.incarnation;
  if (wrongIncarnation || current->followUpCommandDue) sendCommands(*current);
}

void ShardScheduler::handleCommandUnanswered(Machine& machine, const HttpResult& result) {
  auto now = runtime_.now();
  ++machine.unansweredProbes;
  bool unreachable = machine.unansweredProbes >= kUnansweredProbesToSuspect;
  if (unreachable) probeThroughPeers(machine);
  if (result.outcome == HttpResult::Outcome::NotSent) {
    machine.nextCommandNotBefore = now + kBackoffNotSent;
    return;
  }
  log_->debug("command unanswered: machine={} in_a_row={}", machine.id.value, machine.unansweredProbes);
  // The worker may not hear us: it gets no new work before it has shown that it does (invariant 11).
  if (machine.acknowledged()) requireAcknowledgement(machine, TokenRaiseReason::CommandUnanswered);
  machine.directCommandDue = true;
  // If only its heartbeats get through, commands are sent in their answers.
  bool onlyHeartbeatsArrive = unreachable && now - machine.lastHeartbeatAt < heartbeatDueAfter();
  machine.nextCommandNotBefore = now + (onlyHeartbeatsArrive ? kBackoffUnreachable : kBackoffUnanswered);
  state_.reindex(machine);
  if (unreachable && heartbeatOverdue(machine)) placeUnsentTasksElsewhere(machine);
}

// Tasks whose start was never sent run on no machine, so they need not wait for this one. The members of a
// gang stay, as the gang would have to start anew.
void ShardScheduler::placeUnsentTasksElsewhere(Machine& machine) {
  auto unsent = machine.tasksWhere([](const Placement& placement) {
    return placement.awaitsStart() && !placement.startSent && !placement.job->isGang();
  });
  if (unsent.empty()) return;
  handleTasksLost(machine, unsent);
  requestPlacementRound(true);
}

// The machine may be unreachable only from this controller. Then peers relay its heartbeats, and it must not
// be returned to the cloud.
void ShardScheduler::probeThroughPeers(const Machine& machine) {
  callbacks_.probe(machine.address,
                   guarded([this, id = machine.id, latest = machine.fence.latestPosition()](
                               const std::string& body) { handlePeerProbe(id, latest, body); }));
}

void ShardScheduler::handlePeerProbe(const MachineId& id, const HeartbeatPosition& latestWhenAsked,
                                     const std::string& body) {
  auto heartbeat = wire::parseHeartbeat(body);
  Machine* machine = state_.machine(id);
  if (!machine || !heartbeat || heartbeat->machine != id) return;
  if (machine->fence.supersededBy(*heartbeat)) return;
  if (positionOf(*heartbeat) > latestWhenAsked)
    reconcile(*machine, *heartbeat, HeartbeatSource::DirectAnswer);
}

}  // namespace cherryloft
