#include "wire/workers.h"

#include <charconv>

#include "wire/json.h"
#include "wire/users.h"

namespace cherryloft::wire {
namespace {

std::optional<ReportedTask> parseReportedTask(const Json& entry) {
  auto task = stringField(entry, "piece");
  auto attempt = unsignedField(entry, "try");
  auto phase = stringField(entry, "status");
  auto id = task ? parseTask(*task) : std::nullopt;
  if (!id || !attempt || !phase) return std::nullopt;
  ReportedTask reported{*id, Attempt{*attempt}, TaskPhase::Fetching, ExitCause::Unknown};
  if (*phase == "fetching" || *phase == "gathering") {
    reported.phase = TaskPhase::Fetching;
  } else if (*phase == "running") {
    reported.phase = TaskPhase::Running;
  } else if (*phase == "flushing") {
    reported.phase = TaskPhase::Saving;
  } else if (*phase == "ended") {
    reported.phase = TaskPhase::Exited;
    auto cause = stringField(entry, "exit_cause").value_or("");
    reported.cause = cause == "done"                        ? ExitCause::Done
                     : cause == "halted"                    ? ExitCause::Stopped
                     : cause == "no_room"                   ? ExitCause::NoRoom
                     : cause == "busy"                      ? ExitCause::Busy
                     : cause == "unknown"                   ? ExitCause::Unknown
                     : cause == "peers" || cause == "alone" ? ExitCause::Peers
                                                            : ExitCause::Error;
  } else {
    return std::nullopt;
  }
  return reported;
}

Json encodeCommandList(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& command : commands) {
    Json object{{"piece", encodeTask(command.task)}, {"try", command.attempt.value}};
    switch (command.verb) {
      case Command::Verb::Start:
        object["verb"] = "start";
        break;
      case Command::Verb::Stop:
        object["verb"] = "kill";
        object["grace_s"] = command.graceS;
        break;
      case Command::Verb::Forget:
        object["verb"] = "forget";
        break;
    }
    list.push_back(std::move(object));
  }
  return list;
}

}  // namespace

Command wakeUpCommand(Attempt attempt) {
  return {Command::Verb::Start, TaskId{JobId{std::string(kJobIdPrefix) + "0"}, kMaxTasksPerJob}, attempt, 0};
}

std::string encodeTask(const TaskId& task) { return task.job.value + "/" + std::to_string(task.index); }

std::optional<TaskId> parseTask(const std::string& text) {
  auto slash = text.rfind('/');
  if (slash == std::string::npos || slash == 0) return std::nullopt;
  TaskId task{JobId{text.substr(0, slash)}, 0};
  const char* end = text.data() + text.size();
  auto [parsedEnd, ec] = std::from_chars(text.data() + slash + 1, end, task.index);
  if (ec != std::errc{} || parsedEnd != end) return std::nullopt;
  return task;
}

std::optional<WorkerHeartbeat> parseHeartbeat(const std::string& body) {
  auto doc = parse(body);
  if (!doc) return std::nullopt;
  auto machine = stringField(*doc, "host");
  auto incarnation = unsignedField(*doc, "tenure");
  auto sequence = unsignedField(*doc, "serial");
  auto token = unsignedField(*doc, "epoch");
  if (!machine || machine->empty() || !incarnation || !sequence || !token) return std::nullopt;
  WorkerHeartbeat heartbeat{MachineId{*machine},
                            stringField(*doc, "addr").value_or(""),
                            stringField(*doc, "flavour").value_or(""),
                            Zone{stringField(*doc, "site").value_or("")},
                            boolField(*doc, "lendable").value_or(false),
                            Incarnation{*incarnation},
                            SequenceNumber{*sequence},
                            FencingToken{*token},
                            numberField(*doc, "reclaim_in_s"),
                            {}};
  for (const auto& entry : arrayField(*doc, "pieces")) {
    auto task = parseReportedTask(entry);
    // From a partly read list it would not follow that a task is absent.
    if (!task) return std::nullopt;
    heartbeat.tasks.push_back(std::move(*task));
  }
  return heartbeat;
}

std::string encodeHeartbeatAnswer(FencingToken token, const std::vector<Command>& commands) {
  return dump(Json{{"epoch", token.value}, {"orders", encodeCommandList(commands)}});
}

std::string encodeCommands(FencingToken token, Incarnation incarnation,
                           const std::vector<Command>& commands) {
  return dump(
      Json{{"epoch", token.value}, {"tenure", incarnation.value}, {"orders", encodeCommandList(commands)}});
}

std::string encodeOwner(const ControllerId& owner) { return dump(Json{{"steward", owner.value}}); }

}  // namespace cherryloft::wire
