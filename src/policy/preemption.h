// Preemption: eligibility rules and victim selection on one machine (DESIGN.md, section 2). Pure functions.
#pragma once

#include <optional>
#include <vector>

#include "base/job.h"

namespace cherryloft::policy {

// The pending job that needs capacity.
struct Preemptor {
  PriorityClass priority = PriorityClass::Normal;
  bool withinGuarantee = false;  // its team's guarantee covers it
};

// A running task that may be preempted, if the rules allow it.
struct PreemptionTarget {
  PriorityClass priority = PriorityClass::Normal;
  bool sameTeam = false;            // belongs to the preemptor's team
  bool teamAboveGuarantee = false;  // its team's usage still meets its guarantee without this task
};

// A higher priority may preempt a lower one. At equal priority, work within its team's guarantee may preempt
// work that another team runs above its own guarantee. The protocol allows the latter at any priorities; this
// implementation restricts it to equal ones so that services are not stopped for batch work.
[[nodiscard]] bool mayPreempt(const Preemptor& preemptor, const PreemptionTarget& target);

// A task that the rules allow to preempt.
struct VictimCandidate {
  Resources allocated;
  double lostSeconds = 0;  // progress lost if it is stopped
};

struct VictimSelection {
  std::vector<std::size_t> victims;  // indices into the candidates, in order of increasing cost
  double lostCoreSeconds = 0;        // the total cost
};

// Selects victims greedily by least lost work until the needed resources are free, then drops those made
// redundant by later ones. No victims if `free` suffices; nothing if preempting every candidate does not.
[[nodiscard]] std::optional<VictimSelection> selectVictims(const Resources& free, const Resources& needed,
                                                           const std::vector<VictimCandidate>& candidates);

}  // namespace cherryloft::policy
