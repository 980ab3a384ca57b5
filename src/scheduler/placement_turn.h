// One job's turn in a placement round: which machine takes its next task.
//
// Machines that cache the job's image come first (image locality); others by the draw of the paper's formula
// (3), see policy/coupling.h. Among machines alike the fullest that fits is taken (bin packing: best fit).
#pragma once

#include <optional>
#include <random>
#include <set>
#include <vector>

#include "policy/coupling.h"
#include "scheduler/placement_constraints.h"
#include "scheduler/start_latencies.h"

namespace cherryloft {

// The machines without the image that a round considers.
struct RoundScope {
  bool allMachines = false;      // that have capacity, found by the pools' indices
  std::set<MachineId> machines;  // otherwise these, which reported since the last round
};

// What turns work on; all must outlive them.
struct PlacementContext {
  const Settings& settings;
  ShardState& state;
  const PlacementConstraints& constraints;
  const Runtime& runtime;
  std::mt19937_64& rng;  // the order of draws is part of the scheduler's behaviour
  ShardCounters& counters;
};

// Looks up once what the whole turn uses: the imageHolders of the image in order, and the estimates for the
// draw. To be discarded when the turn ends, or when the job's constraints change.
class PlacementTurn {
 public:
  PlacementTurn(const PlacementContext& context, const RoundScope& scope, const Job& job);

  // The machine that the job's next task is to be placed on; nullptr if none takes it now. The caller places
  // the task before it asks again.
  [[nodiscard]] Machine* nextMachine();

 private:
  Machine* nextHolder();
  // Up to K machines with capacity that do not cache the image, in the order in which they should be tried.
  std::vector<Machine*> otherMachines() const;
  std::vector<Machine*> reportedMachines() const;
  std::vector<Machine*> indexedMachines() const;
  bool isOtherWithCapacity(const Machine& machine) const;
  bool hasCapacityFor(const Machine& machine) const;
  void sortOthers(std::vector<Machine*>& machines) const;
  bool shouldWaitForHolder(const Machine& bestOther) const;
  const policy::SampleEstimate& sampleEstimate();
  policy::SampleEstimate sample() const;
  policy::ImageLocality localityOf(const Machine& machine);
  const std::set<Zone>& holderZones();

  PlacementContext context_;
  const RoundScope& scope_;
  const Job& job_;
  bool hasStartObjective_;
  std::vector<Machine*> holders_;
  std::set<std::uint32_t> rejected_;  // machines, by number, that the draw decided against in this turn
  std::optional<policy::SampleEstimate> estimate_;
  std::optional<std::set<Zone>> holderZones_;
};

}  // namespace cherryloft
