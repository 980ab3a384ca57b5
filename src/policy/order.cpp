#include "policy/order.h"

#include <limits>

namespace cherryloft::policy {

bool before(const Candidate& a, const Candidate& b) {
  if (a.overdue != b.overdue) return a.overdue;
  if (a.priority != b.priority) return a.priority > b.priority;
  if (a.guaranteed != b.guaranteed) return a.guaranteed;
  if (a.hopeful != b.hopeful) return a.hopeful;
  if (a.turns != b.turns) return a.turns < b.turns;
  constexpr double never = std::numeric_limits<double>::infinity();
  double sa = a.slackS.value_or(never), sb = b.slackS.value_or(never);
  if (sa != sb) return sa < sb;
  if (a.workLeft != b.workLeft) return a.workLeft < b.workLeft;
  return a.ageS > b.ageS;
}

}  // namespace cherryloft::policy
