// Which waiting job comes first.
#pragma once

#include <optional>

#include "base/job.h"

namespace cherryloft::policy {

struct Candidate {
  bool overdue = false;  // has waited so long for its first start that it goes before all others once
  PriorityClass priority = PriorityClass::Normal;
  bool guaranteed = false;       // fits its team's guarantee along with the team's earlier jobs
  bool hopeful = true;           // may still meet its deadline or the tightest objective of its class
  unsigned turns = 0;            // batches of tasks its team was given in this round
  std::optional<double> slackS;  // until the deadline, less the time the work takes
  double workLeft = 0;           // core seconds
  double ageS = 0;
};

// True if a comes before b: overdue, rank, guarantee before borrowed, what may still be in time, teams in
// turn, deadline slack, little work before much, age.
bool before(const Candidate& a, const Candidate& b);

}  // namespace cherryloft::policy
