// Preemption rules, and the choice of victims on one machine (DESIGN.md, section 2). Pure functions.
#pragma once

#include <optional>
#include <vector>

#include "base/job.h"

namespace cherryloft::policy {

// The pending job that needs capacity.
struct Preemptor {
  PriorityClass priority = PriorityClass::Normal;
  bool withinGuarantee = false;  // of its team
};

// A running task that might be stopped for it.
struct PreemptionTarget {
  PriorityClass priority = PriorityClass::Normal;
  bool sameTeam = false;            // as the preemptor
  bool teamAboveGuarantee = false;  // its team keeps its guarantee without the task
};

// A higher priority may stop a lower one; work within a guarantee may stop what another team runs above its
// own. The protocol allows the latter whatever the priorities; here only among equal ones, so that services
// are not stopped for batch work.
[[nodiscard]] bool mayPreempt(const Preemptor& preemptor, const PreemptionTarget& target);

// A task that may be stopped.
struct VictimCandidate {
  Resources held;
  double lostSeconds = 0;  // of progress, if it is stopped
};

struct VictimSelection {
  std::vector<std::size_t> victims;  // indices into the candidates, cheapest first
  double lostCoreSeconds = 0;
};

// The victims that free the needed resources with the least lost work, cheapest first, without those that
// turn out not to be needed. Empty victims if `free` suffices; nothing if stopping all candidates does not.
[[nodiscard]] std::optional<VictimSelection> selectVictims(const Resources& free, const Resources& needed,
                                                           const std::vector<VictimCandidate>& candidates);

}  // namespace cherryloft::policy
