// The workers' side of the protocol: reports and orders.
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

struct Report {
  MachineId machine;
  std::string address;
  std::string type;
  Zone zone;
  bool spot = false;
  WorkerSession session;
  Serial serial;
  Token token;
  std::optional<double> reclaimInS;
  std::vector<ReportedTask> tasks;
};

std::optional<Report> parseReport(const std::string& body);

struct Order {
  enum class Verb : std::uint8_t { Start, Stop, Forget };
  Verb verb = Verb::Start;
  TaskId task;
  Attempt attempt;
  double graceS = 0;
};

// The answer to a check-in, and the body of direct commands.
std::string encodeOrders(Token token, const std::vector<Order>& orders);
std::string encodeCommands(Token token, WorkerSession session, const std::vector<Order>& orders);
std::string encodeOwner(const ControllerId& owner);

std::string encodeTask(const TaskId& t);
std::optional<TaskId> parseTask(const std::string& text);

}  // namespace cherryloft::wire
