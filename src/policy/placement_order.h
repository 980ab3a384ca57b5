// The order in which pending jobs get their turns in a placement round (DESIGN.md, section 2).
#pragma once

#include <optional>

#include "base/job.h"

namespace cherryloft::policy {

// The sort key of a pending job.
struct PlacementOrderKey {
  bool firstStartOverdue = false;  // waited too long for its first start: sorts first, for one turn
  PriorityClass priority = PriorityClass::Normal;
  bool withinGuarantee = false;        // its team's guarantee covers it along with the team's earlier jobs
  bool objectiveFeasible = true;       // can still meet its deadline, or the tightest objective of its class
  unsigned teamTurns = 0;              // turns of its team's jobs in this round
  std::optional<double> slackSeconds;  // until the deadline, minus the expected run time
  double remainingCoreSeconds = 0;
  double ageSeconds = 0;  // since submission
};

// Whether the job of `left` is placed before that of `right`. Criteria, the most significant first: overdue
// first start, higher priority, guaranteed before borrowed capacity, feasible objective, fewer turns of the
// team, least deadline slack (jobs without a deadline last), least remaining work, greatest age. A strict
// weak ordering.
[[nodiscard]] bool precedes(const PlacementOrderKey& left, const PlacementOrderKey& right);

}  // namespace cherryloft::policy
