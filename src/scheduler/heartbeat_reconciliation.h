// What reconciling the shard state with a worker's heartbeat takes and yields (ShardScheduler::reconcile).
#pragma once

#include <cstdint>

namespace cherryloft {

// How a heartbeat arrived, which determines what it proves about responses and commands in flight.
enum class HeartbeatSource : std::uint8_t {
  WorkerReport,  // the worker's periodic report, to which this scheduler responds
  DirectAnswer,  // its answer to a direct command or a probe, from this controller or a peer
};

enum class ReconcileResult : std::uint8_t {
  Accepted,   // newer than the previous one, and proven current
  Overtaken,  // a report older than an answer to a direct command: its worker waits for the response
  Ignored,    // late, a copy, or not proven current
};

// Changes of the machine itself by an accepted heartbeat.
struct MachineChange {
  bool firstHeartbeat = false;  // since the machine was added or its lease expired
  bool cordonLifted = false;
  bool newIncarnation = false;
  [[nodiscard]] bool any() const { return firstHeartbeat || cordonLifted || newIncarnation; }
};

}  // namespace cherryloft
