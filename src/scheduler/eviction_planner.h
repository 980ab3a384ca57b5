// Preemption planning: which running tasks to evict for a pending job, on the machine where least work is
// lost.
//
// Reads the shard state and never modifies it. The caller executes a plan by stopping its victims, and
// updates the capacity forecast.
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

// The capacity of machines that is free or will be once the tasks being stopped are gone, minus what the
// current preemption round has reserved.
class CapacityForecast {
 public:
  // The caller updates the value as capacity is reserved or freed.
  Resources& availableOn(const Machine& machine);

 private:
  std::map<std::uint32_t, Resources> byMachine_;  // by machine number
};

// A plan that frees capacity for one task on one machine.
struct PlannedEviction {
  Machine* machine = nullptr;  // owned by the shard state
  double lostCoreSeconds = 0;  // cost of the victims, plus a penalty if the start would be late
  std::vector<TaskId> victims;
};

class EvictionPlanner {
 public:
  // The references must outlive this object; `now` is the time that plans are made for.
  EvictionPlanner(const Settings& settings, const ShardState& state, const PlacementConstraints& constraints,
                  Time now)
      : settings_(settings), state_(state), constraints_(constraints), now_(now) {}

  // Whether on one of up to K machines that cache the job's image preemption costs no more than a timely
  // start is worth.
  [[nodiscard]] bool shouldPreemptForCachedImage(const Job& job) const;

  // The machines to consider: up to K that cache the image, and those of a random sample of K (drawn from
  // `rng`) that do not.
  [[nodiscard]] std::vector<Machine*> sampleMachines(const Job& job, std::mt19937_64& rng) const;

  // The cheapest plan for one task; nothing if preemption can make it fit on none of the machines.
  [[nodiscard]] std::optional<PlannedEviction> planForTask(const PendingJob& pending,
                                                           const std::vector<Machine*>& machines,
                                                           CapacityForecast& forecast) const;

  // The cheapest plan for all waiting members, in a single zone if the gang requires it; nothing if not all
  // fit.
  [[nodiscard]] std::optional<std::vector<PlannedEviction>> planForGang(
      const PendingJob& pending, const std::vector<Machine*>& machines,
      const CapacityForecast& forecast) const;

  // Whether a victim on the machine may save a checkpoint first. It may not if only the save would make the
  // pending task miss the start objective of its class or its team's guarantee.
  [[nodiscard]] bool leavesTimeForCheckpoint(const PendingJob& pending, const Machine& machine,
                                             const JobSpec& victim) const;

 private:
  struct VictimCandidates {
    std::vector<TaskId> tasks;
    std::vector<policy::VictimCandidate> costs;  // parallel to `tasks`
  };
  // `excluded`: victims that the same plan has selected already.
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
