// One job's turn in a placement round: selects the machine for each of its next tasks.
//
// Machines that cache the job's image are preferred (image locality). Others are accepted with the
// probability of the paper's formula (3), see policy/coupling.h. Among otherwise equal machines the one with
// least free capacity that fits is selected (best-fit bin packing).
#pragma once

#include <optional>
#include <random>
#include <set>
#include <vector>

#include "policy/coupling.h"
#include "scheduler/placement_constraints.h"
#include "scheduler/start_latencies.h"

namespace cherryloft {

// Which machines without the image a round considers.
struct RoundScope {
  bool allMachines = false;      // all with capacity, found through the pool indices
  std::set<MachineId> machines;  // otherwise these, which reported since the previous round
};

// Shared state that placement turns use; everything referenced must outlive them.
struct PlacementContext {
  const Settings& settings;
  ShardState& state;
  const PlacementConstraints& constraints;
  const Runtime& runtime;
  std::mt19937_64& rng;  // runs are reproducible only if the order of draws is kept
  ShardCounters& counters;
};

// Caches what the whole turn uses: the sorted machines with the image, and the sample estimates. Must be
// discarded when the turn ends or when the job's constraints change.
class PlacementTurn {
 public:
  PlacementTurn(const PlacementContext& context, const RoundScope& scope, const Job& job);

  // The machine for the job's next task; nullptr if none is suitable now. The caller must place the task
  // before the next call.
  [[nodiscard]] Machine* nextMachine();

 private:
  Machine* nextMachineWithImage();
  // Up to K machines with capacity that do not cache the image, the preferred ones first.
  std::vector<Machine*> machinesWithoutImage() const;
  std::vector<Machine*> reportedMachines() const;
  std::vector<Machine*> indexedMachines() const;
  bool isCandidateWithoutImage(const Machine& machine) const;
  bool hasCapacityFor(const Machine& machine) const;
  bool isBetterMachine(const Machine& left, const Machine& right) const;
  bool hearsAtOnce(const Machine& machine) const;
  void sortMachinesWithoutImage(std::vector<Machine*>& machines) const;
  bool shouldWaitForMachineWithImage(const Machine& bestWithoutImage) const;
  const policy::SampleEstimate& sampleEstimate();
  policy::SampleEstimate sample() const;
  policy::ImageLocality localityOf(const Machine& machine);
  const std::set<Zone>& zonesWithImage();

  PlacementContext context_;
  const RoundScope& scope_;
  const Job& job_;
  Time now_;
  bool hasStartObjective_;
  std::vector<Machine*> machinesWithImage_;  // and those accepted without it in this turn
  std::set<std::uint32_t> rejected_;         // numbers of machines that a random draw rejected in this turn
  std::optional<policy::SampleEstimate> estimate_;
  std::optional<std::set<Zone>> zonesWithImage_;
};

}  // namespace cherryloft
