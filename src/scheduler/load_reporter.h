// LoadReporter: reports to the leader, at a fixed interval, how much work a shard has and which of its
// machines are idle or are the best candidates for draining. The leader's autoscaler rents and returns
// machines based on these reports.
//
// It keeps a sliding window of arrived and completed work; everything else is read from the shard state when
// a report is composed.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/membership.h"
#include "config/settings.h"
#include "mesh/messages.h"
#include "runtime/runtime.h"
#include "scheduler/failure_attribution.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

class LoadReporter {
 public:
  // Placement rules of the shard that the report depends on, and the recipient of the report.
  struct Callbacks {
    // Whether the job must run on on-demand machines because losing one more spot machine would make it late.
    std::function<bool(const Job&)> avoidsSpot;
    // Whether the job's placement rules allow one more task in the zone.
    std::function<bool(const Job&, const Zone&)> zoneAllows;
    // Whether each replica on the machine could move to another machine that has its image.
    std::function<bool(const Machine&)> replicasCanMove;
    std::function<void(const mesh::ShardLoad&)> send;
  };

  // All references must outlive the reporter. It modifies the state only by updating the number of booting
  // machines in each pool when it composes a report.
  LoadReporter(const Settings& settings, const Runtime& runtime, ShardTakeover takeover, ShardState& state,
               const FailureAttribution& failures, Callbacks callbacks);

  // Record work that was submitted to this shard, or completed by it, at that time. cores: the total of its
  // tasks.
  void recordArrivedWork(Time at, double cores, bool spotAllowed);
  void recordCompletedWork(Time at, double cores, bool spotAllowed);
  // Sends a report if the report interval has elapsed since the last one.
  void reportIfDue(Time now);

 private:
  struct RecentWork {
    Time at;
    double cores;
    bool spotAllowed;
  };
  // Unfinished work of the open jobs of one kind.
  struct UnfinishedWork {
    double coreSeconds = 0;
    double cores = 0;
    void add(const Job& job);
    void setRunTime(mesh::Demand& demand) const;
  };

  mesh::ShardLoad composeReport();
  void countBootingMachines();
  void addJobs(mesh::ShardLoad& load, Time now) const;
  void addOpenJob(const Job& job, mesh::ShardLoad& load, Time now) const;
  // Number of the job's tasks that can be placed as soon as there is free capacity.
  std::size_t tasksNeedingCapacity(const Job& job, Time now) const;
  // Zones allowed for the job's next task; nothing if a machine in one of them may still take it.
  std::optional<std::vector<std::string>> zonesLackingCapacity(const Job& job, Time now) const;
  bool zoneMayTake(const Zone& zone, const Job& job, bool hasWaitedLong) const;
  void addRecentWork(mesh::ShardLoad& load, Time now);
  std::vector<const Machine*> machinesToReport() const;
  mesh::MachineLoad describe(const Machine& machine, Time now) const;

  const Settings& settings_;
  const Runtime& runtime_;
  ShardTakeover takeover_;
  ShardState& state_;
  const FailureAttribution& failures_;
  Callbacks callbacks_;
  Time lastReport_{};
  std::deque<RecentWork> arrived_;    // oldest first
  std::deque<RecentWork> completed_;  // oldest first
};

}  // namespace cherryloft
