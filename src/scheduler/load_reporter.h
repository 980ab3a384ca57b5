// LoadReporter: tells the leader, at a steady interval, how much work a shard has and which of its machines
// are idle or could best be drained. The leader's autoscaler rents and returns machines by these reports.
//
// It keeps the work that arrived and that was done of late; all else it reads from the shard's state at the
// moment of the report.
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
  // What the report needs to know of the shard's placement rules, and where it goes.
  struct Callbacks {
    // One more loss of a spot machine and the job would be late: it is to run on ordinary ones.
    std::function<bool(const Job&)> avoidsSpot;
    // The rules of the job allow one more task in the zone.
    std::function<bool(const Job&, const Zone&)> zoneAllows;
    // Every replica on the machine could move to a machine that has its image.
    std::function<bool(const Machine&)> replicasCanMove;
    std::function<void(const mesh::ShardLoad&)> send;
  };

  // All references must outlive the reporter. The state is changed in one place only: a report counts anew
  // how many machines of each pool boot.
  LoadReporter(const Settings& settings, const Runtime& runtime, ShardTakeover takeover, ShardState& state,
               const FailureAttribution& failures, Callbacks callbacks);

  // Work that was submitted to this shard, or done by it, at that moment; cores of all its tasks.
  void recordArrivedWork(Time at, double cores, bool spotAllowed);
  void recordCompletedWork(Time at, double cores, bool spotAllowed);
  // Sends a report if the last one is a report interval old.
  void reportIfDue(Time now);

 private:
  struct RecentWork {
    Time at;
    double cores;
    bool spotAllowed;
  };
  // What is left to do of the open jobs of one kind.
  struct UnfinishedWork {
    double coreSeconds = 0;
    double cores = 0;
    void add(const Job& job);
    void describe(mesh::Demand& demand) const;
  };

  mesh::ShardLoad composeReport();
  void countBootingMachines();
  void addJobs(mesh::ShardLoad& load, Time now) const;
  void addOpenJob(const Job& job, mesh::ShardLoad& load, Time now) const;
  // Tasks of the job that are to be placed as soon as there is free capacity.
  std::size_t tasksWantingCapacity(const Job& job, Time now) const;
  // Zones that the job's next task may go to; nothing if a machine in one of them may yet take it.
  std::optional<std::vector<std::string>> stuckZones(const Job& job, Time now) const;
  bool zoneMayTake(const Zone& zone, const Job& job, bool waitedLong) const;
  void addRecentWork(mesh::ShardLoad& load, Time now);
  std::vector<const Machine*> machinesToName() const;
  mesh::MachineLoad describe(const Machine& machine, Time now) const;

  const Settings& settings_;
  const Runtime& runtime_;
  ShardTakeover takeover_;
  ShardState& state_;
  const FailureAttribution& failures_;
  Callbacks callbacks_;
  Time lastReport_{};
  std::deque<RecentWork> arrived_;  // oldest first
  std::deque<RecentWork> done_;     // oldest first
};

}  // namespace cherryloft
