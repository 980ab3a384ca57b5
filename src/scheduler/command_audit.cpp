#include "scheduler/command_audit.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

namespace cherryloft {
namespace {

using wire::Command;

const char* nameOf(Command::Verb verb) {
  switch (verb) {
    case Command::Verb::Start:
      return "start";
    case Command::Verb::Stop:
      return "stop";
    case Command::Verb::Forget:
      return "forget";
  }
  return "?";
}

const char* nameOf(TokenRaiseReason reason) {
  switch (reason) {
    case TokenRaiseReason::CommandUnanswered:
      return "command_unanswered";
    case TokenRaiseReason::StartsMissed:
      return "starts_missed";
    case TokenRaiseReason::LeaseLost:
      return "lease_lost";
    case TokenRaiseReason::WorkerRestarted:
      return "worker_restarted";
  }
  return "?";
}

}  // namespace

void CommandAudit::commandsSent(const Machine& machine, CommandRoute route,
                                const std::vector<Command>& commands, Duration leaseLeft) {
  bool direct = route == CommandRoute::Direct;
  bool logged = log_->should_log(spdlog::level::debug);
  for (const auto& command : commands) {
    if (command.verb == Command::Verb::Start)
      ++(direct ? counters_.wakeUps : counters_.starts);
    else if (command.verb == Command::Verb::Stop)
      ++counters_.stops;
    else
      ++counters_.forgets;
    if (!logged) continue;
    log_->debug("command sent: {} task={} attempt={} machine={} token={} incarnation={} route={} lease_ms={}",
                nameOf(command.verb), wire::encodeTask(command.task), command.attempt.value, machine.id.value,
                machine.token().value, machine.fence.incarnation().value, direct ? "direct" : "answer",
                leaseLeft.count());
  }
}

void CommandAudit::tokenRaised(const Machine& machine, TokenRaiseReason reason) {
  ++totals_.tokenRaises;
  ++counters_.tokenRaises;
  log_->debug("token raised: machine={} token={} reason={}", machine.id.value, machine.token().value,
              nameOf(reason));
}

void CommandAudit::attemptReappeared(const Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                     const wire::ReportedTask& reported) {
  ++counters_.reappeared;
  ++totals_.attemptsReappeared;
  log_->error(
      "attempt reappeared: task={} attempt={} machine={} token={} worker_token={} incarnation={} sequence={}",
      wire::encodeTask(reported.task), reported.attempt.value, machine.id.value, machine.token().value,
      heartbeat.token.value, heartbeat.incarnation.value, heartbeat.sequence.value);
}

std::string CommandAudit::summarizeAndReset() {
  auto counters = std::exchange(counters_, {});
  return fmt::format(
      "commands shard={} starts={} wake_ups={} stops={} forgets={} token_raises={} reappeared={}",
      shard_.value, counters.starts, counters.wakeUps, counters.stops, counters.forgets, counters.tokenRaises,
      counters.reappeared);
}

}  // namespace cherryloft
