// Log lines and counters about the commands to workers and the tokens under which they are sent, for
// operators (OPERATING.md).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "log/log.h"
#include "scheduler/shard_state.h"
#include "scheduler/start_latencies.h"
#include "wire/workers.h"

namespace cherryloft {

// How a command reaches its worker.
enum class CommandRoute : std::uint8_t { Direct, HeartbeatAnswer };

// Why a machine's fencing token was raised.
enum class TokenRaiseReason : std::uint8_t {
  CommandUnanswered,
  StartsMissed,  // answers to heartbeats do not seem to arrive
  LeaseLost,     // the worker's lease expired although its heartbeats were answered
  WorkerRestarted,
};

class CommandAudit {
 public:
  // `totals` must outlive this object.
  CommandAudit(Log log, ShardId shard, ShardCounters& totals)
      : log_(std::move(log)), shard_(shard), totals_(totals) {}

  // `leaseLeft`: for how long this controller may still act as the shard's owner.
  void commandsSent(const Machine& machine, CommandRoute route, const std::vector<wire::Command>& commands,
                    Duration leaseLeft);
  void tokenRaised(const Machine& machine, TokenRaiseReason reason);
  // The worker reports an attempt that was known to be gone from it, and that it did not report before.
  void attemptReappeared(const Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                         const wire::ReportedTask& reported);
  // "commands shard=… starts=… …", for the time since the last call.
  std::string summarizeAndReset();

 private:
  struct Counters {
    std::size_t starts = 0;
    std::size_t wakeUps = 0;
    std::size_t stops = 0;
    std::size_t forgets = 0;
    std::size_t tokenRaises = 0;
    std::size_t reappeared = 0;
  };

  Log log_;
  ShardId shard_;
  Counters counters_;
  ShardCounters& totals_;
};

}  // namespace cherryloft
