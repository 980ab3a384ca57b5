// Which tasks may be stopped for a pending job, and on which machine that loses least work.
//
// Plans only: reads the shard's state and changes nothing. Who carries a plan out stops its victims and takes
// the capacity from the forecast.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "policy/preemption.h"
#include "scheduler/pending_jobs.h"
#include "scheduler/placement_constraints.h"

namespace cherryloft {

// What machines have free now, or will once the tasks being stopped are gone, less what this round has
// promised to others.
class CapacityForecast {
 public:
  // To be changed as capacity is promised or freed.
  Resources& of(const Machine& machine);

 private:
  std::map<std::uint32_t, Resources> byMachine_;  // by the machine's number in the shard's state
};

// Capacity for one task on one machine.
struct PlannedEviction {
  Machine* machine = nullptr;  // owned by the shard's state
  double lostCoreSeconds = 0;  // what stopping the victims loses, and a late start counts as
  std::vector<TaskId> victims;
};

class EvictionPlanner {
 public:
  // The references must outlive this object; `now` is the moment that it plans for.
  EvictionPlanner(const Settings& settings, const ShardState& state, const PlacementConstraints& constraints,
                  Time now)
      : settings_(settings), state_(state), constraints_(constraints), now_(now) {}

  // One of up to K machines that cache the job's image could be preempted for less than what a start in time
  // is worth.
  [[nodiscard]] bool shouldPreemptForCachedImage(const Job& job) const;

  // The machines to consider: up to K that cache the image, and of all others as many as a random sample of K
  // (the draws from `rng`) has.
  [[nodiscard]] std::vector<Machine*> sampleMachines(const Job& job, std::mt19937_64& rng) const;

  // Capacity for one task where it loses least; nothing if no machine can be made to fit it.
  [[nodiscard]] std::optional<PlannedEviction> planForTask(const PendingJob& pending,
                                                           const std::vector<Machine*>& machines,
                                                           CapacityForecast& forecast) const;

  // Capacity for all waiting members, in one zone if they must share one; nothing if there is none for all.
  [[nodiscard]] std::optional<std::vector<PlannedEviction>> planForGang(
      const PendingJob& pending, const std::vector<Machine*>& machines,
      const CapacityForecast& forecast) const;

  // Whether a victim on that machine may save a checkpoint first: not if the task would then start too late
  // for its class's objective or its team's guarantee, and would be in time otherwise.
  [[nodiscard]] bool leavesTimeForCheckpoint(const PendingJob& pending, const Machine& machine,
                                             const JobSpec& victim) const;

 private:
  struct VictimCandidates {
    std::vector<TaskId> tasks;
    std::vector<policy::VictimCandidate> costs;  // of each of the tasks
  };
  // `excluded` are victims of the same plan.
  VictimCandidates victimCandidates(const Job& job, const policy::Preemptor& preemptor,
                                    const Machine& machine, const std::set<TaskId>& excluded) const;
  bool isEligibleVictim(const Job& job, const policy::Preemptor& preemptor, const Placement& placement) const;
  double lostSeconds(const Placement& placement) const;
  std::optional<PlannedEviction> cheapestEviction(const PendingJob& pending,
                                                  const std::vector<Machine*>& machines,
                                                  CapacityForecast& forecast,
                                                  const std::set<TaskId>& excluded) const;
  std::optional<std::vector<PlannedEviction>> planAllMembers(const PendingJob& pending,
                                                             const std::vector<Machine*>& machines,
                                                             CapacityForecast forecast) const;

  const Settings& settings_;
  const ShardState& state_;
  const PlacementConstraints& constraints_;
  Time now_;
};

}  // namespace cherryloft
