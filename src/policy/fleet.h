// The machines and the work of a shard, as known to the leader.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/offerings.h"

namespace cherryloft::policy {

// Demand for one class of capacity in a shard, in cores unless stated otherwise.
struct Workload {
  double used = 0;
  double waiting = 0;
  double arriving = 0;   // recent arrival rate, cores per second
  double departing = 0;  // recent completion rate, cores per second
  double runS = 0;       // mean run time of tasks, as declared by users
  double largestTask = 0;
  double largestJob = 0;  // of the recent arrivals
  double ramPerCore = 0;
  std::vector<std::string> types;  // the machine types to request; empty: any
};

// A machine of a shard, as known to the leader.
struct FleetMachine {
  std::string type;
  Zone zone;
  bool spot = false;
  double cores = 0;
  bool countsAsCapacity = false;  // in use, or booting and expected to be
  double idleS = -1;              // negative: busy or not up yet
  double usedCores = 0;
  double ageS = 0;
  bool draining = false;
  bool pinned = false;  // must not be drained at present
  MachineId id{};       // empty: still being provisioned
  // Whether the owner's report of waiting tasks takes the machine's capacity into account.
  bool inReport = true;
  unsigned count = 1;  // identical machines still being provisioned; `cores` is the total
};

// Waiting tasks of a shard with the same requirements, within their teams' quotas.
struct TaskGroup {
  TaskRequirements needs;
  bool gang = false;     // all tasks have to start at the same time
  bool oneZone = false;  // of a gang: all tasks have to be in the same zone
  unsigned waiting = 0;  // tasks
  unsigned lacking = 0;  // tasks of them that need another machine
  // Lacking tasks that may be placed in each allowed zone; with `oneZone`, the tasks that lack capacity if
  // all are placed there.
  std::map<Zone, unsigned> tasksByZone{};
};

// The demand and the machines of a shard.
struct ShardFleet {
  Workload onDemandOnly;  // work that must not run on spot machines
  Workload spotAllowed;
  std::vector<FleetMachine> machines;
  std::vector<TaskGroup> waitingTasks;
  bool waitingTasksKnown = false;  // false: the owner reports only sums and zones short of machines
  // Offerings that some waiting tasks depend on: machines of them must not be given up.
  InstanceOfferings neededOfferings;
};

// A request for a number of machines of one offering.
struct ScaleOutRequest {
  InstanceOffering offering;
  unsigned count = 1;
  double cores = 0;  // that the work can use, of all requested machines
};

}  // namespace cherryloft::policy
