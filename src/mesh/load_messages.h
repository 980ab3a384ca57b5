// Load reports from the owner of a shard to the leader, serialized as part of a mesh frame (messages.h).
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cherryloft::mesh {

// A number of tasks that may be placed in a zone, or that fit there. Empty zone name: all zones combined.
struct ZoneTasks {
  std::string zone;
  std::uint32_t tasks = 0;
  template <class A>
  void serialize(A& a) {
    a(zone, tasks);
  }
};

struct MachineLoad {
  std::string machine;
  std::string type;
  std::string zone;
  bool spot = false;
  double freeCores = 0;
  double idleS = 0;  // how long it has run no tasks
  bool usable = false;
  bool decommissioning = false;
  bool draining = false;
  bool pinned = false;  // runs service replicas that fit on no other machine
  double ageS = 0;
  template <class A>
  void serialize(A& a) {
    a(machine, type, zone, spot, freeCores, idleS, usable, decommissioning, draining, pinned, ageS);
  }
};

// Demand for one kind of capacity in a shard, in cores unless noted otherwise.
struct Demand {
  double used = 0;
  double waiting = 0;       // of waiting tasks within their teams' quotas
  double arriving = 0;      // recent arrival rate, cores per second
  double departing = 0;     // recent rate of cores freed by completed tasks, per second
  double expectedRunS = 0;  // declared task duration in seconds, mean weighted by cores
  double largestTask = 0;
  double largestJob = 0;  // of recently submitted jobs
  double ramPerCore = 0;
  std::vector<std::string> types;       // empty: any
  std::vector<std::string> stuckZones;  // zones short of machines for tasks bound to them
  template <class A>
  void serialize(A& a) {
    a(used, waiting, arriving, departing, expectedRunS, largestTask, largestJob, ramPerCore, types,
      stuckZones);
  }
};

// Waiting tasks of a shard with the same requirements, within their teams' quotas. Resources are
// those of one task.
struct WaitingTaskGroup {
  double cores = 0;
  double gpus = 0;
  double ramGb = 0;
  std::vector<std::string> types;  // the types of the catalog that a task fits on and may use
  bool spotAllowed = false;
  bool gang = false;          // all tasks have to start at the same time
  bool oneZone = false;       // of a gang: all tasks have to be in the same zone
  std::uint32_t waiting = 0;  // tasks
  // Tasks of them that need another machine: none of the shard's, booting ones included, has capacity for
  // them, or will have in time.
  std::uint32_t lacking = 0;
  // Allowed zones, each with the number of lacking tasks that may be placed there; with `oneZone`, with the
  // number of tasks that lack capacity if all are placed there.
  std::vector<ZoneTasks> zones;
  template <class A>
  void serialize(A& a) {
    a(cores, gpus, ramGb, types, spotAllowed, gang, oneZone, waiting, lacking, zones);
  }
};

// The part of a load report that version 0.7.0 and earlier do not know. They ignore it; for their leaders the
// demands in ShardLoad describe a single waiting task each that lacks capacity, if there is one.
struct LoadDetails {
  Demand onDemandOnly;
  Demand spotAllowed;
  std::vector<WaitingTaskGroup> waiting;  // limited in number; the groups beyond take turns
  // The latest version of the machine records that the owner knows. Machines with a later record are not
  // taken into account in this report.
  std::uint64_t machinesVersion = 0;
  template <class A>
  void serialize(A& a) {
    a(onDemandOnly, spotAllowed, waiting, machinesVersion);
  }
};

// From a shard's owner to the leader, at a fixed interval.
struct ShardLoad {
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  Demand onDemandOnly;  // of jobs restricted to on-demand machines
  Demand spotAllowed;   // of jobs that may also run on spot machines
  // Only machines that are idle, accept no tasks or are the best candidates for draining.
  std::vector<MachineLoad> machines;
  std::optional<LoadDetails> details{};  // nothing if the owner's version does not report them
  template <class A>
  void serialize(A& a) {
    a(shard, epoch, onDemandOnly, spotAllowed, machines);
  }
};

}  // namespace cherryloft::mesh
