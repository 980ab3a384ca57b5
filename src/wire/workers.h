// The workers' side of the protocol: reports and commands.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft::wire {

enum class TaskPhase : std::uint8_t { Fetching, Running, Saving, Exited };
// Peers: a member of a gang ended because the others were not there.
enum class ExitCause : std::uint8_t { Done, Stopped, Error, NoRoom, Busy, Unknown, Peers };

struct ReportedTask {
  TaskId task;
  Attempt attempt;
  TaskPhase phase = TaskPhase::Fetching;
  ExitCause cause = ExitCause::Unknown;
  friend bool operator==(const ReportedTask&, const ReportedTask&) = default;
};

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

std::optional<WorkerHeartbeat> parseHeartbeat(const std::string& body);

struct Command {
  enum class Verb : std::uint8_t { Start, Stop, Forget };
  Verb verb = Verb::Start;
  TaskId task;
  Attempt attempt;
  double graceS = 0;
};

// The answer to a heartbeat, and the body of direct commands.
std::string encodeHeartbeatAnswer(FencingToken token, const std::vector<Command>& commands);
std::string encodeCommands(FencingToken token, Incarnation incarnation, const std::vector<Command>& commands);
std::string encodeOwner(const ControllerId& owner);

std::string encodeTask(const TaskId& t);
std::optional<TaskId> parseTask(const std::string& text);

}  // namespace cherryloft::wire
