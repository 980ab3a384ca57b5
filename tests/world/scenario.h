// Scenarios: small text files of a cluster, timed events and expectations. tests/README.md lists the words.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace world {

// How the plays of a scenario are traced.
struct TraceOptions {
  bool enabled = false;
  std::ostream* events = nullptr;  // where each event is written, if anywhere
};

// One play of a scenario: with one seed, and one value for every "$" in it. Both are empty where the file
// names none.
struct ScenarioRun {
  std::string seed;
  std::string value;
  std::vector<std::string> failures;  // what went against expectations; empty if all is well
  std::uint64_t traceDigest = 0;      // where traces are enabled
  std::size_t traceEvents = 0;
};

// Plays a scenario: "seeds 1 2 3" once with each, "vary 40 41.5 43" once more with each for every "$" in it.
// Throws std::runtime_error on a file that can't be read.
std::vector<ScenarioRun> runScenario(std::istream& in, const TraceOptions& trace = {});

}  // namespace world
