#include "policy/placement_order.h"

#include <limits>

namespace cherryloft::policy {

bool precedes(const PlacementOrderKey& left, const PlacementOrderKey& right) {
  if (left.firstStartOverdue != right.firstStartOverdue) return left.firstStartOverdue;
  if (left.priority != right.priority) return left.priority > right.priority;
  if (left.withinGuarantee != right.withinGuarantee) return left.withinGuarantee;
  if (left.objectiveFeasible != right.objectiveFeasible) return left.objectiveFeasible;
  if (left.teamTurns != right.teamTurns) return left.teamTurns < right.teamTurns;
  constexpr double kNoDeadline = std::numeric_limits<double>::infinity();
  double leftSlack = left.slackSeconds.value_or(kNoDeadline);
  double rightSlack = right.slackSeconds.value_or(kNoDeadline);
  if (leftSlack != rightSlack) return leftSlack < rightSlack;
  if (left.remainingCoreSeconds != right.remainingCoreSeconds)
    return left.remainingCoreSeconds < right.remainingCoreSeconds;
  return left.ageSeconds > right.ageSeconds;
}

}  // namespace cherryloft::policy
