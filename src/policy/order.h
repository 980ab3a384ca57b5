// Which waiting job comes first.
#pragma once

#include <optional>

#include "base/job.h"

namespace cherryloft::policy {

struct Candidate {
  Rank rank = Rank::Normal;
  bool guaranteed = false;       // fits its team's guarantee along with the team's earlier jobs
  unsigned turns = 0;            // batches of tasks its team was given in this round
  std::optional<double> slackS;  // until the deadline, less the time the work takes
  double ageS = 0;
};

// True if a comes before b: rank, guarantee before borrowed, teams in turn, deadline slack, age.
bool before(const Candidate& a, const Candidate& b);

}  // namespace cherryloft::policy
