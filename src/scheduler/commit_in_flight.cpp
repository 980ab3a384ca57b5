#include "scheduler/commit_in_flight.h"

#include <algorithm>

namespace cherryloft {

bool CommitInFlight::ends(const JobId& job) const {
  return std::any_of(jobEnds.begin(), jobEnds.end(),
                     [&](const JobEndWrite& write) { return write.job == job; });
}

bool CommitInFlight::migrates(const JobId& job) const {
  return std::find(migrations.begin(), migrations.end(), job) != migrations.end();
}

}  // namespace cherryloft
