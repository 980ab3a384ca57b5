// Messages exchanged with workers: heartbeats and commands.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft::wire {

enum class TaskPhase : std::uint8_t { Fetching, Running, Saving, Exited };
// Peers: a gang member ended because other members were missing.
enum class ExitCause : std::uint8_t { Done, Stopped, Error, NoRoom, Busy, Unknown, Peers };

// A task as reported by its worker.
struct ReportedTask {
  TaskId task;
  Attempt attempt;
  TaskPhase phase = TaskPhase::Fetching;
  ExitCause cause = ExitCause::Unknown;
  friend bool operator==(const ReportedTask&, const ReportedTask&) = default;
};

// A worker's periodic report, also sent on request. `reclaimInS`: seconds until the cloud reclaims the spot
// machine.
struct WorkerHeartbeat {
  MachineId machine;
  std::string address;
  std::string type;
  Zone zone;
  bool spot = false;
  Incarnation incarnation;
  SequenceNumber sequence;
  FencingToken token;
  std::optional<double> reclaimInS;
  std::vector<ReportedTask> tasks;
};

// Workers send their reports at least this far apart, whatever there is to tell.
inline constexpr Duration kMinReportInterval{500};

// Returns nullopt when a field is missing or any task is malformed: from an incomplete list it does not
// follow that a task is absent.
std::optional<WorkerHeartbeat> parseHeartbeat(const std::string& body);

// An order to a worker about a task. `graceS`: seconds that a stopped task may take to save its state.
struct Command {
  enum class Verb : std::uint8_t { Start, Stop, Forget };
  Verb verb = Verb::Start;
  TaskId task;
  Attempt attempt;
  double graceS = 0;
};

// A start command that every worker refuses: it names a task with an index that no job reaches. The refusal
// is a change that makes the worker report at once; it does nothing else, however late or often it is
// executed. Another attempt makes the worker report once more.
Command wakeUpCommand(Attempt attempt);

// The response to a heartbeat.
std::string encodeHeartbeatAnswer(FencingToken token, const std::vector<Command>& commands);
// The body of a request with commands to a worker, which rejects it unless it has this incarnation.
std::string encodeCommands(FencingToken token, Incarnation incarnation, const std::vector<Command>& commands);
// The body of a 421 response: the controller that the worker should connect to.
std::string encodeOwner(const ControllerId& owner);

// "<job>/<index>"
std::string encodeTask(const TaskId& task);
std::optional<TaskId> parseTask(const std::string& text);

}  // namespace cherryloft::wire
