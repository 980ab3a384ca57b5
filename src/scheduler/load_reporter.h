// LoadReporter: reports to the leader, at a fixed interval, how much work a shard has and which of its
// machines are idle or are the best candidates for draining. The leader's autoscaler rents and returns
// machines based on these reports.
//
// It keeps a sliding window of arrived and completed work; everything else is read from the shard state when
// a report is composed.
#pragma once

#include <deque>
#include <functional>
#include <vector>

#include "cluster/membership.h"
#include "config/settings.h"
#include "mesh/messages.h"
#include "runtime/runtime.h"
#include "scheduler/capacity_demand.h"

namespace cherryloft {

class LoadReporter {
 public:
  struct Callbacks {
    // Whether each replica on the machine could move to another machine that has its image.
    std::function<bool(const Machine&)> replicasCanMove;
    std::function<void(const mesh::ShardLoad&)> send;
  };

  // All references must outlive the reporter. catalog: the machine types that can be rented.
  LoadReporter(const Settings& settings, const Catalog& catalog, const Runtime& runtime,
               ShardTakeover takeover, const ShardState& state, const FailureAttribution& failures,
               CapacityDemand::Rules rules, Callbacks callbacks);

  // Record work that was submitted to this shard, or completed by it, at that time. cores: the total of its
  // tasks.
  void recordArrivedWork(Time at, double cores, bool spotAllowed);
  void recordCompletedWork(Time at, double cores, bool spotAllowed);
  // Sends a report if the report interval has elapsed since the last one.
  void reportIfDue(Time now);
  // The jobs with waiting tasks that the last report left out.
  [[nodiscard]] const CapacityDemand::ExcludedJobs& excludedJobs() const { return demand_.excludedJobs(); }

 private:
  struct RecentWork {
    Time at;
    double cores;
    bool spotAllowed;
  };
  mesh::ShardLoad composeReport();
  void addJobs(mesh::LoadDetails& load);
  void addRecentWork(mesh::LoadDetails& load, Time now);
  std::vector<const Machine*> machinesToReport() const;
  mesh::MachineLoad describe(const Machine& machine, Time now) const;

  [[nodiscard]] mesh::Demand demandForOlderLeader(const mesh::LoadDetails& load, bool spotAllowed) const;
  [[nodiscard]] std::uint64_t machinesVersion() const;

  const Catalog& catalog_;
  const Runtime& runtime_;
  ShardTakeover takeover_;
  const ShardState& state_;
  CapacityDemand demand_;
  Callbacks callbacks_;
  std::size_t reportsSent_ = 0;
  Time lastReport_{};
  std::deque<RecentWork> arrived_;    // oldest first
  std::deque<RecentWork> completed_;  // oldest first
};

}  // namespace cherryloft
