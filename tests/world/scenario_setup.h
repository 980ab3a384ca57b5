// The lines of a scenario that describe its cluster, and the options that describe a job.
#pragma once

#include "world/scenario_line.h"
#include "world/world.h"

namespace world {

// What a scenario plays in, and how long.
struct ScenarioSetup {
  Deployment deployment;
  Ms until = 60'000;
};

// Takes one line such as "controllers 3" into the setup. Throws std::runtime_error on an unknown word.
void applySetup(const Line& line, ScenarioSetup& setup);

// The job with that id as its options tell it, "cores=2 run=5 allowed on spot machines" and so on.
JobBehavior parseJob(const std::string& id, const Options& options);

}  // namespace world
