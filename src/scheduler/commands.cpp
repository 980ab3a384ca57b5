// Commands to workers: which ones are due, and how they go out, in answers to heartbeats and in calls of
// their own.
#include <algorithm>
#include <optional>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

using wire::Command;
using wire::TaskPhase;

constexpr Duration kDirectCommandTimeout{2'000};
// How long no further direct command goes to a machine after one ...
constexpr Duration kBackoffUnanswered{2'000};        // ... whose fate is unknown
constexpr Duration kBackoffUnreachable{10'000};      // ... if only its heartbeats get through
constexpr Duration kBackoffNotSent{1'000};           // ... that was not sent
constexpr Duration kStopRetryInterval{1'500};        // of direct commands; answers repeat a stop each time
constexpr double kCheckpointGraceMarginSeconds = 1;  // what a checkpoint may take longer than its job says
constexpr double kCheckpointSlackSeconds = 5;        // beyond twice the time that a checkpoint takes
constexpr std::size_t kMaxCommands = 300;            // keeps an answer's line under 64 KiB
constexpr std::size_t kMaxProbesInFlight = 64;       // the answers to heartbeats that come meanwhile go first
// Sockets are kept for a third of what a controller may have to command at once: all shards may be its own.
constexpr std::size_t kKeptSocketsPerCommand = 2;
constexpr std::size_t kMinDirectCommandsInFlight = 8;

std::optional<Address> addressOf(const Machine& machine) {
  try {
    return parseAddress(machine.address);
  } catch (const SettingsError&) {
    return std::nullopt;
  }
}

// The committed state allows the task to run.
bool mayStart(const Job& job) {
  // Perhaps its end is committed, without an answer to us, and told by a sibling (invariant 8).
  if (!job.open()) return false;
  // No member of a gang starts before the attempts of all are written.
  return !job.isGang() || job.allCommitted();
}

Command startCommand(const TaskId& task, const Placement& placement) {
  return {Command::Verb::Start, task, placement.attempt, 0};
}

Command stopCommand(const TaskId& task, Attempt attempt) { return {Command::Verb::Stop, task, attempt, 0}; }

}  // namespace

// --- which commands are due ---

void ShardScheduler::addCommands(std::vector<Command>& list, std::vector<Command> more) {
  std::set<TaskAttempt> named;
  for (const auto& command : list) named.insert({command.task, command.attempt});
  for (auto& command : more) {
    bool alreadyNamed = named.count({command.task, command.attempt}) > 0;
    if (!alreadyNamed) list.push_back(std::move(command));
  }
}

Duration ShardScheduler::maxCheckpointTime(const Job& job) const {
  double waitForPeers = job.isGang() ? settings_.gangPeerTimeoutS : 0;
  return seconds(2 * job.spec->checkpointSeconds + kCheckpointSlackSeconds + waitForPeers);
}

// A cancelled job's work is of no use to anyone, and nothing saves for ever.
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
  if (!machine.heard) return commands;
  auto now = runtime_.now();
  for (auto& [task, placement] : machine.placements) {
    if (commands.size() >= kMaxCommands) break;
    if (placement.awaitsStart()) {
      // A direct command may be about to start it.
      if (machine.commandInFlight || !mayStart(*placement.job)) continue;
      commands.push_back(startCommand(task, placement));
      placement.startSent = true;
      placement.startSentWith = heartbeat.sequence;
    } else if (placement.awaitsStop()) {
      commands.push_back(stopCommandFor(task, placement, now));
      if (placement.stopSent == Time{}) placement.stopSent = now;
    }
  }
  addCommandsForUnknownTasks(machine, commands);
  return commands;
}

std::vector<Command> ShardScheduler::takeDirectCommands(Machine& machine) {
  std::vector<Command> commands;
  if (!machine.heard) return commands;
  auto now = runtime_.now();
  for (auto& [task, placement] : machine.placements) {
    if (commands.size() >= kMaxCommands) break;
    if (placement.awaitsStart()) {
      if (placement.startSent || !mayStart(*placement.job)) continue;
      commands.push_back(startCommand(task, placement));
      placement.startSent = true;
    } else if (placement.awaitsStop()) {
      if (now - placement.stopSent < kStopRetryInterval) continue;
      commands.push_back(stopCommandFor(task, placement, now));
      placement.stopSent = now;
    }
  }
  return commands;
}

void ShardScheduler::addCommandsForUnknownTasks(Machine& machine, std::vector<Command>& commands) {
  // By then no copy of their start can still arrive (invariant 3).
  bool mayForget = machine.noCommandInDoubt() && !machine.commandInFlight;
  for (const auto& reported : machine.reported) {
    if (commands.size() >= kMaxCommands) return;
    if (machine.placementOf(reported)) continue;
    if (reported.phase != TaskPhase::Exited)
      commands.push_back(stopCommand(reported.task, reported.attempt));
    else if (mayForget && !doneIsUncommitted(reported.task))
      commands.push_back({Command::Verb::Forget, reported.task, reported.attempt, 0});
  }
}

// Done is committed before the last trace of it is forgotten (invariant 8).
bool ShardScheduler::doneIsUncommitted(const TaskId& id) {
  const Job* job = state_.job(id.job);
  if (!job || id.index >= job->tasks.size()) return false;
  const Task& task = job->tasks[id.index];
  return task.state == TaskState::Done && !task.doneCommitted && job->status == JobStatus::Open;
}

// --- direct commands ---

void ShardScheduler::sendCommands(Machine& machine) {
  if (!owns()) return;
  if (machine.commandInFlight) {
    machine.sendAgain = true;
    return;
  }
  if (runtime_.now() < machine.sendNotBefore || machine.address.empty()) return;
  auto commands = takeDirectCommands(machine);
  bool isProbe = commands.empty();
  if (isProbe && (!probeDue(machine) || probesInFlight_ >= kMaxProbesInFlight)) return;
  if (directCommandsInFlight_ >= maxDirectCommandsInFlight()) {
    machine.contactDue = true;
    return;
  }
  auto worker = addressOf(machine);
  if (!worker) return;
  machine.commandInFlight = true;
  machine.sendAgain = false;
  ++directCommandsInFlight_;
  if (isProbe) ++probesInFlight_;
  auto incarnation = machine.heard ? machine.fence.incarnation() : machine.fence.expectedIncarnation();
  DirectCommand sent{machine.token(), incarnation, machine.fence.latest(), isProbe};
  auto body = wire::encodeCommands(sent.token, sent.incarnation, commands);
  runtime_.call(*worker, {"POST", "/commands", std::move(body), false}, kDirectCommandTimeout,
                guarded([this, id = machine.id, sent](const HttpResult& result) {
                  handleDirectAnswer(id, sent, result);
                }));
}

// Without commands to send, a machine that was not heard, or not of late, is asked for a heartbeat.
bool ShardScheduler::probeDue(const Machine& machine) const {
  return !machine.heard || heartbeatOverdue(machine) || machine.sendAgain;
}

std::size_t ShardScheduler::maxDirectCommandsInFlight() const {
  return std::max(settings_.reservedSockets() / kKeptSocketsPerCommand / settings_.size(),
                  kMinDirectCommandsInFlight);
}

void ShardScheduler::sendCommandsToAll(const std::set<MachineId>& machines) {
  for (const auto& id : machines)
    if (Machine* machine = state_.machine(id)) sendCommands(*machine);
}

void ShardScheduler::handleDirectAnswer(const MachineId& id, const DirectCommand& sent,
                                        const HttpResult& result) {
  if (sent.isProbe) --probesInFlight_;
  --directCommandsInFlight_;
  Machine* machine = state_.machine(id);
  if (!machine) return;
  machine->commandInFlight = false;
  // 409: the worker refused the command, as it knows a higher token or has another incarnation.
  bool answered = result.answered(200) || result.answered(409);
  auto heartbeat = answered ? wire::parseHeartbeat(result.response.body) : std::nullopt;
  if (heartbeat && heartbeat->machine == id)
    handleCommandAnswered(*machine, sent, *heartbeat);
  else
    handleCommandUnanswered(*machine, sent, result);
}

void ShardScheduler::handleCommandAnswered(Machine& machine, const DirectCommand& sent,
                                           const wire::WorkerHeartbeat& heartbeat) {
  if (machine.fence.supersededBy(heartbeat)) return;  // its heartbeats will say so
  machine.unansweredProbes = 0;
  bool olderThanSent = positionOf(heartbeat) <= sent.latestHeartbeat;
  if (olderThanSent || machine.fence.isExpired(heartbeat.incarnation))
    handleWorkerRestart(machine, heartbeat);
  auto id = machine.id;
  reconcile(machine, heartbeat, HeartbeatSource::DirectAnswer);
  Machine* present = state_.machine(id);
  if (!present) return;
  // The first command could not know the incarnation.
  bool wrongIncarnation = heartbeat.incarnation != sent.incarnation;
  if (wrongIncarnation || present->sendAgain) sendCommands(*present);
}

void ShardScheduler::handleCommandUnanswered(Machine& machine, const DirectCommand& sent,
                                             const HttpResult& result) {
  auto now = runtime_.now();
  ++machine.unansweredProbes;
  bool unreachable = machine.unansweredProbes >= kUnansweredProbesToSuspect;
  if (unreachable) probeThroughPeers(machine);
  if (result.outcome == HttpResult::Outcome::NotSent) {
    machine.sendNotBefore = now + kBackoffNotSent;
    return;
  }
  // It may be executed minutes later. The advanced token shuts it out once the worker has seen it (invariant
  // 3).
  log_->debug("command unanswered: machine={} in_a_row={}", machine.id.value, machine.unansweredProbes);
  machine.fence.commandUnanswered(sent.token);
  machine.contactDue = true;
  // Where only its heartbeats get through, commands go in their answers: each lost command would shut it out
  // of new work until it has acknowledged the advanced token.
  bool onlyHeartbeatsArrive = unreachable && now - machine.lastHeard < reportDue();
  machine.sendNotBefore = now + (onlyHeartbeatsArrive ? kBackoffUnreachable : kBackoffUnanswered);
  noteTokenUnacknowledged(machine);
  state_.reindex(machine);
}

// Perhaps only we can't reach it: then its heartbeats are relayed, and it is not to be given up.
void ShardScheduler::probeThroughPeers(const Machine& machine) {
  callbacks_.probe(machine.address,
                   guarded([this, id = machine.id, asked = machine.fence.latest()](const std::string& body) {
                     handlePeerProbe(id, asked, body);
                   }));
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
