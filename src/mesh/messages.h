// Messages between controllers, serialized with cereal's portable binary archive.
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mesh/load_messages.h"

namespace cherryloft::mesh {

struct OwnedShard {
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  std::uint64_t cancelled = 0;  // store revision of the shard's latest job cancellation
  template <class A>
  void serialize(A& a) {
    a(shard, epoch, cancelled);
  }
};

// Sent to every sibling at a fixed interval.
struct PeerHeartbeat {
  std::uint32_t hears = 0;            // bitmask of the controllers that the sender receives heartbeats from
  bool serving = false;               // the sender has loaded the state it needs to serve requests
  std::int64_t leaseRemainingMs = 0;  // remaining validity of the sender's lease
  std::vector<OwnedShard> owns;
  // For keep-alive proxies (cluster/keep_alive_proxy.h); specific to the receiving sibling:
  std::uint64_t processIncarnation = 0;    // of the sender's process; higher after each restart
  std::int64_t at = 0;                     // send time on the sender's monotonic clock
  std::int64_t echoedAt = 0;               // `at` of the last heartbeat received from the receiver
  bool proxy = false;                      // the sender may answer workers on the receiver's behalf
  std::int64_t lastProxyAnswerAgoMs = -1;  // time since it last did so; -1: never
  template <class A>
  void serialize(A& a) {
    a(hears, serving, leaseRemainingMs, owns, processIncarnation, at, echoedAt, proxy, lastProxyAnswerAgoMs);
  }
};

// A user's request to query or cancel a job, forwarded to the owner of the job's shard.
struct JobRequest {
  std::uint64_t id = 0;
  bool cancel = false;
  std::string job;
  template <class A>
  void serialize(A& a) {
    a(id, cancel, job);
  }
};

// A worker's heartbeat, forwarded unchanged to the owner of its shard.
struct RelayedHeartbeat {
  std::uint64_t id = 0;
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(id, body);
  }
};

// Asks a sibling to probe a machine that the sender can't reach.
struct ProbeRequest {
  std::uint64_t id = 0;
  std::string address;
  template <class A>
  void serialize(A& a) {
    a(id, address);
  }
};

// The response to a JobRequest, RelayedHeartbeat or ProbeRequest; `id` is that of the request.
struct Answer {
  std::uint64_t id = 0;
  std::int32_t status = 0;
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(id, status, body);
  }
};

// Broadcast when a job's final status is committed and about to be reported to users. Best effort: no
// guarantee depends on its delivery.
struct JobEnded {
  std::string job;
  bool done = false;  // false: cancelled
  std::uint64_t version = 0;
  template <class A>
  void serialize(A& a) {
    a(job, done, version);
  }
};

// To the leader: a machine without a record in the store has sent a heartbeat (`body`).
struct UnrecordedMachineSeen {
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(body);
  }
};

// From the leader to a shard's owner: what to do with one of its machines.
struct MachineDirective {
  enum Kind : std::int32_t {
    Return,          // return it to the cloud if it is idle
    Move,            // transfer it to another shard if it is idle
    Drain,           // no new tasks; return it once its finite tasks have ended, unless capacity runs short
    Keep,            // cancel the drain: accept tasks again
    MoveAfterDrain,  // transfer it to another shard once its finite tasks have ended
  };
  std::uint32_t shard = 0;
  std::string machine;
  std::int32_t kind = Return;
  std::uint32_t toShard = 0;
  template <class A>
  void serialize(A& a) {
    a(shard, machine, kind, toShard);
  }
};

// Broadcast by a shard's owner: long-waiting jobs that none of the shard's machines has capacity for.
struct CapacityRequest {
  std::uint32_t shard = 0;
  std::vector<std::string> jobs;
  template <class A>
  void serialize(A& a) {
    a(shard, jobs);
  }
};

// Another shard's reply: how many tasks of the job its machines have capacity for now.
struct CapacityOffer {
  std::uint32_t shard = 0;    // whose machines are offered
  std::uint32_t toShard = 0;  // the requesting shard
  std::string job;
  std::uint32_t tasks = 0;
  template <class A>
  void serialize(A& a) {
    a(shard, toShard, job, tasks);
  }
};

// Waiting tasks that the job's shard has no capacity for, of a job whose other tasks are placed or done or
// that must be placed as a whole.
struct TaskCapacityNeed {
  std::string job;
  std::uint32_t tasks = 0;
  std::vector<ZoneTasks> zones;
  template <class A>
  void serialize(A& a) {
    a(job, tasks, zones);
  }
};

// Broadcast by a shard's owner.
struct TaskCapacityRequest {
  std::uint32_t shard = 0;
  std::vector<TaskCapacityNeed> jobs;
  template <class A>
  void serialize(A& a) {
    a(shard, jobs);
  }
};

// Another shard's reply: how many of the tasks its machines in that zone have capacity for now.
struct TaskCapacityOffer {
  std::uint32_t shard = 0;    // whose machines are offered
  std::uint32_t toShard = 0;  // the requesting shard
  std::string job;
  ZoneTasks zoneCapacity;
  template <class A>
  void serialize(A& a) {
    a(shard, toShard, job, zoneCapacity);
  }
};

// Append new message types at the end: older controllers reject frames of a type they do not know, and close
// the connection. Fields cannot be added to a message either, except as ShardLoad::details.
using Payload = std::variant<PeerHeartbeat, JobRequest, RelayedHeartbeat, ProbeRequest, Answer,
                             UnrecordedMachineSeen, ShardLoad, MachineDirective, JobEnded, CapacityRequest,
                             CapacityOffer, TaskCapacityRequest, TaskCapacityOffer>;

struct Frame {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  Payload payload;
  template <class A>
  void serialize(A& a) {
    a(from, to, payload);
  }
};

// The details of a ShardLoad follow the frame: versions that do not know them read no further than the frame.
std::string encode(const Frame& frame);
// Returns nullopt when the bytes are not a valid frame.
std::optional<Frame> decode(const std::string& bytes);

}  // namespace cherryloft::mesh
