// The order in which pending jobs get their turns in a placement round (DESIGN.md, section 2).
#pragma once

#include <optional>

#include "base/job.h"

namespace cherryloft::policy {

// What decides on a pending job's place in the order.
struct PlacementOrderKey {
  bool firstStartOverdue = false;  // waited too long for its first start: before all others, for one turn
  PriorityClass priority = PriorityClass::Normal;
  bool withinGuarantee = false;        // fits its team's guarantee along with the team's earlier jobs
  bool objectiveFeasible = true;       // may still meet its deadline, or the tightest objective of its class
  unsigned teamTurns = 0;              // turns its team had in this round
  std::optional<double> slackSeconds;  // until the deadline, less the expected run time
  double remainingCoreSeconds = 0;     // of work
  double ageSeconds = 0;               // since submission
};

// Whether the job of `left` goes before that of `right`. In order of weight: an overdue first start,
// priority, guarantee before borrowed capacity, feasible objectives, the team with fewer turns, least
// deadline slack (jobs without a deadline last), least remaining work, age. A strict weak order.
[[nodiscard]] bool precedes(const PlacementOrderKey& left, const PlacementOrderKey& right);

}  // namespace cherryloft::policy
