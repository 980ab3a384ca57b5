// What controllers say to each other, in cereal's portable form.
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cherryloft::mesh {

struct OwnedShard {
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  std::uint64_t cancelled = 0;  // the revision of its latest cancellation
  template <class A>
  void serialize(A& a) {
    a(shard, epoch, cancelled);
  }
};

// Sent to every sibling at a steady interval.
struct PeerHeartbeat {
  std::uint32_t hears = 0;            // bit per controller heard directly
  bool serving = false;               // it has loaded what it needs
  std::int64_t leaseRemainingMs = 0;  // its lease is good for so long
  std::vector<OwnedShard> owns;
  // What keep-alive proxies need (cluster/keep_alive_proxy.h), each for the sibling that the heartbeat goes
  // to.
  std::uint64_t processIncarnation = 0;    // of the process, later ones higher
  std::int64_t at = 0;                     // when it was sent, by the sender's steady clock
  std::int64_t echoedAt = 0;               // the at of the last heartbeat from there
  bool proxy = false;                      // the sender may answer workers in its name
  std::int64_t lastProxyAnswerAgoMs = -1;  // the last time it did, if ever
  template <class A>
  void serialize(A& a) {
    a(hears, serving, leaseRemainingMs, owns, processIncarnation, at, echoedAt, proxy, lastProxyAnswerAgoMs);
  }
};

// A user's question about a job, to the owner of its shard.
struct JobRequest {
  std::uint64_t id = 0;
  bool cancel = false;
  std::string job;
  template <class A>
  void serialize(A& a) {
    a(id, cancel, job);
  }
};

// A worker's heartbeat, relayed to the owner of its shard; the body is passed on as it came.
struct RelayedHeartbeat {
  std::uint64_t id = 0;
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(id, body);
  }
};

// Asks a sibling to probe a machine, as we can't reach it.
struct ProbeRequest {
  std::uint64_t id = 0;
  std::string address;
  template <class A>
  void serialize(A& a) {
    a(id, address);
  }
};

// The reply to any ask.
struct Answer {
  std::uint64_t id = 0;
  std::int32_t status = 0;
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(id, status, body);
  }
};

// To everybody: a job's end that is committed and about to be told to users. No bound depends on its arrival.
struct JobEnded {
  std::string job;
  bool done = false;  // or cancelled
  std::uint64_t version = 0;
  template <class A>
  void serialize(A& a) {
    a(job, done, version);
  }
};

// To the leader: a machine that no record names has reported.
struct UnrecordedMachineSeen {
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(body);
  }
};

struct MachineLoad {
  std::string machine;
  std::string type;
  std::string zone;
  bool spot = false;
  double freeCores = 0;
  double idleS = 0;  // how long nothing has been on it
  bool usable = false;
  bool decommissioning = false;
  bool draining = false;
  bool pinned = false;  // replicas on it have nowhere to go
  double ageS = 0;
  template <class A>
  void serialize(A& a) {
    a(machine, type, zone, spot, freeCores, idleS, usable, decommissioning, draining, pinned, ageS);
  }
};

// Work of one kind in a shard; cores unless said otherwise.
struct Demand {
  double used = 0;
  double waiting = 0;       // within the teams' limits
  double arriving = 0;      // cores asked for per second of late
  double departing = 0;     // cores that tasks done left per second of late
  double expectedRunS = 0;  // how long tasks take, as their owners say
  double largestTask = 0;
  double largestJob = 0;  // of those that came of late
  double ramPerCore = 0;
  std::vector<std::string> types;       // empty: any
  std::vector<std::string> stuckZones;  // where machines are missing for tasks that may go nowhere else
  template <class A>
  void serialize(A& a) {
    a(used, waiting, arriving, departing, expectedRunS, largestTask, largestJob, ramPerCore, types,
      stuckZones);
  }
};

// From a shard's owner to the leader, at a steady interval.
struct ShardLoad {
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  Demand onDemandOnly;  // work that may use ordinary machines only
  Demand spotAllowed;   // work that may use spot machines too
  // Machines that are idle, don't take work, or could best be emptied. All others are in plain use.
  std::vector<MachineLoad> machines;
  template <class A>
  void serialize(A& a) {
    a(shard, epoch, onDemandOnly, spotAllowed, machines);
  }
};

// From the leader to a shard's owner: what is to become of one of its machines.
struct MachineDirective {
  enum Kind : std::int32_t {
    Return,  // back to the cloud if it is idle
    Move,    // to another shard if it is idle
    Drain,   // takes no more work and goes once what ends by itself has ended, unless capacity gets short
    Keep,    // takes work again after all
    MoveAfterDrain,  // to another shard once what ends by itself has ended
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

// From a shard's owner to everybody: jobs that have waited long and that none of the shard's machines has
// capacity for.
struct CapacityRequest {
  std::uint32_t shard = 0;
  std::vector<std::string> jobs;
  template <class A>
  void serialize(A& a) {
    a(shard, jobs);
  }
};

// The reply of another shard's owner: its machines have capacity for so many tasks of the job now.
struct CapacityOffer {
  std::uint32_t shard = 0;    // whose machines they are
  std::uint32_t toShard = 0;  // that asked
  std::string job;
  std::uint32_t tasks = 0;
  template <class A>
  void serialize(A& a) {
    a(shard, toShard, job, tasks);
  }
};

// So many tasks of a job may go to a zone, or find capacity there. An empty name stands for all zones
// together.
struct ZoneTasks {
  std::string zone;
  std::uint32_t tasks = 0;
  template <class A>
  void serialize(A& a) {
    a(zone, tasks);
  }
};

// Waiting tasks of a job that its shard has no capacity for, while others of it are placed or done, or while
// it must be placed whole.
struct TaskCapacityNeed {
  std::string job;
  std::uint32_t tasks = 0;
  std::vector<ZoneTasks> zones;
  template <class A>
  void serialize(A& a) {
    a(job, tasks, zones);
  }
};

// From a shard's owner to everybody.
struct TaskCapacityRequest {
  std::uint32_t shard = 0;
  std::vector<TaskCapacityNeed> jobs;
  template <class A>
  void serialize(A& a) {
    a(shard, jobs);
  }
};

// The reply of another shard's owner: its machines in that zone have capacity for so many of the tasks now.
struct TaskCapacityOffer {
  std::uint32_t shard = 0;    // whose machines they are
  std::uint32_t toShard = 0;  // that asked
  std::string job;
  ZoneTasks zoneCapacity;
  template <class A>
  void serialize(A& a) {
    a(shard, toShard, job, zoneCapacity);
  }
};

// New kinds go to the end: a controller of an earlier version refuses the frames that it does not know.
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

std::string encode(const Frame& f);
// Nothing when the bytes are no frame.
std::optional<Frame> decode(const std::string& bytes);

}  // namespace cherryloft::mesh
