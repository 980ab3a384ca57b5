#include "wire/workers.h"

#include <charconv>

#include "wire/json.h"

namespace cherryloft::wire {
namespace {

std::optional<ReportedTask> parseReported(const Json& e) {
  auto task = textAt(e, "piece");
  auto attempt = countAt(e, "try");
  auto phase = textAt(e, "status");
  auto id = task ? parseTask(*task) : std::nullopt;
  if (!id || !attempt || !phase) return std::nullopt;
  ReportedTask t{*id, Attempt{*attempt}, TaskPhase::Fetching, ExitCause::Unknown};
  if (*phase == "fetching" || *phase == "gathering") {
    t.phase = TaskPhase::Fetching;
  } else if (*phase == "running") {
    t.phase = TaskPhase::Running;
  } else if (*phase == "flushing") {
    t.phase = TaskPhase::Saving;
  } else if (*phase == "ended") {
    t.phase = TaskPhase::Exited;
    auto cause = textAt(e, "exit_cause").value_or("");
    t.cause = cause == "done"                        ? ExitCause::Done
              : cause == "halted"                    ? ExitCause::Stopped
              : cause == "no_room"                   ? ExitCause::NoRoom
              : cause == "busy"                      ? ExitCause::Busy
              : cause == "unknown"                   ? ExitCause::Unknown
              : cause == "peers" || cause == "alone" ? ExitCause::Peers
                                                     : ExitCause::Error;
  } else {
    return std::nullopt;
  }
  return t;
}

Json commandsJson(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const auto& o : commands) {
    Json j{{"piece", encodeTask(o.task)}, {"try", o.attempt.value}};
    switch (o.verb) {
      case Command::Verb::Start:
        j["verb"] = "start";
        break;
      case Command::Verb::Stop:
        j["verb"] = "kill";
        j["grace_s"] = o.graceS;
        break;
      case Command::Verb::Forget:
        j["verb"] = "forget";
        break;
    }
    list.push_back(std::move(j));
  }
  return list;
}

}  // namespace

std::string encodeTask(const TaskId& t) { return t.job.value + "/" + std::to_string(t.index); }

std::optional<TaskId> parseTask(const std::string& text) {
  auto slash = text.rfind('/');
  if (slash == std::string::npos || slash == 0) return std::nullopt;
  TaskId t{JobId{text.substr(0, slash)}, 0};
  const char* end = text.data() + text.size();
  auto [p, ec] = std::from_chars(text.data() + slash + 1, end, t.index);
  if (ec != std::errc{} || p != end) return std::nullopt;
  return t;
}

std::optional<WorkerHeartbeat> parseHeartbeat(const std::string& body) {
  auto doc = parse(body);
  if (!doc) return std::nullopt;
  auto machine = textAt(*doc, "host");
  auto incarnation = countAt(*doc, "tenure");
  auto sequence = countAt(*doc, "serial");
  auto token = countAt(*doc, "epoch");
  if (!machine || machine->empty() || !incarnation || !sequence || !token) return std::nullopt;
  WorkerHeartbeat r{MachineId{*machine},
                    textAt(*doc, "addr").value_or(""),
                    textAt(*doc, "flavour").value_or(""),
                    Zone{textAt(*doc, "site").value_or("")},
                    flagAt(*doc, "lendable").value_or(false),
                    Incarnation{*incarnation},
                    SequenceNumber{*sequence},
                    FencingToken{*token},
                    numberAt(*doc, "reclaim_in_s"),
                    {}};
  for (const auto& e : listAt(*doc, "pieces")) {
    auto t = parseReported(e);
    // A list that cannot be read in full proves nothing about what is absent from it.
    if (!t) return std::nullopt;
    r.tasks.push_back(std::move(*t));
  }
  return r;
}

std::string encodeHeartbeatAnswer(FencingToken token, const std::vector<Command>& commands) {
  return dump(Json{{"epoch", token.value}, {"orders", commandsJson(commands)}});
}

std::string encodeCommands(FencingToken token, Incarnation incarnation,
                           const std::vector<Command>& commands) {
  return dump(
      Json{{"epoch", token.value}, {"tenure", incarnation.value}, {"orders", commandsJson(commands)}});
}

std::string encodeOwner(const ControllerId& owner) { return dump(Json{{"steward", owner.value}}); }

}  // namespace cherryloft::wire
