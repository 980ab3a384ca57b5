// The lines of a scenario that describe its cluster, and the options that describe a job.
#pragma once

#include "world/scenario_line.h"
#include "world/world.h"

namespace world {

// The deployment that a scenario runs in, and its duration.
struct ScenarioSetup {
  Deployment deployment;
  Ms until = 60'000;
};

// Applies one line such as "controllers 3" to the setup. Throws std::runtime_error on an unknown directive.
void applySetup(const Line& line, ScenarioSetup& setup);

// The job with that id, described by options such as "cores=2 run=5 spot_allowed".
JobBehavior parseJob(const std::string& id, const Options& options);

}  // namespace world
