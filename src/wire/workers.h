// The workers' side of the protocol: heartbeats and commands.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft::wire {

enum class TaskPhase : std::uint8_t { Fetching, Running, Saving, Exited };
// Peers: a member of a gang ended because the others were not there.
enum class ExitCause : std::uint8_t { Done, Stopped, Error, NoRoom, Busy, Unknown, Peers };

// A task as its worker tells of it.
struct ReportedTask {
  TaskId task;
  Attempt attempt;
  TaskPhase phase = TaskPhase::Fetching;
  ExitCause cause = ExitCause::Unknown;
  friend bool operator==(const ReportedTask&, const ReportedTask&) = default;
};

// What a worker says of itself at an interval, or when asked. `reclaimInS`: seconds until a spot machine is
// taken.
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

// Nothing when a field is missing or any task can't be read: an incomplete list proves nothing of what it
// lacks.
std::optional<WorkerHeartbeat> parseHeartbeat(const std::string& body);

// What a worker is to do with a task; `graceS`: seconds that a stopped one may take to save.
struct Command {
  enum class Verb : std::uint8_t { Start, Stop, Forget };
  Verb verb = Verb::Start;
  TaskId task;
  Attempt attempt;
  double graceS = 0;
};

// The answer to a heartbeat.
std::string encodeHeartbeatAnswer(FencingToken token, const std::vector<Command>& commands);
// The body of commands sent to a worker; refused by any other incarnation than this.
std::string encodeCommands(FencingToken token, Incarnation incarnation, const std::vector<Command>& commands);
// The body of 421: to which controller the worker should go.
std::string encodeOwner(const ControllerId& owner);

// "<job>/<index>"
std::string encodeTask(const TaskId& task);
std::optional<TaskId> parseTask(const std::string& text);

}  // namespace cherryloft::wire
