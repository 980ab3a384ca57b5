// Scenarios: small text files of a cluster, timed events and expectations. tests/README.md lists the words.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace world {

// Plays a scenario and returns what went against expectations; empty if all is well. "seeds 1 2 3" plays it
// once with each, "vary 40 41.5 43" once more with each for every "$" in it. Throws std::runtime_error on a
// file that can't be read.
std::vector<std::string> runScenario(std::istream& in);

}  // namespace world
