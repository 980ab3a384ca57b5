// Scenarios: small text files that describe a cluster, timed events and expectations. tests/README.md lists
// the directives.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace world {

// How the runs of a scenario are traced.
struct TraceOptions {
  bool enabled = false;
  std::ostream* events = nullptr;  // output for every event; may be null
};

// One run of a scenario with one seed and one value for every "$" in it. Both are empty where the file sets
// none.
struct ScenarioRun {
  std::string seed;
  std::string value;
  std::vector<std::string> failures;  // violated rules and unmet expectations; empty on success
  std::uint64_t traceDigest = 0;      // 0 unless tracing is enabled
  std::size_t traceEvents = 0;
};

// Runs a scenario: "seeds 1 2 3" runs it once per seed, "vary 40 41.5 43" once more per value, substituted
// for every "$". Throws std::runtime_error on an invalid file.
std::vector<ScenarioRun> runScenario(std::istream& in, const TraceOptions& trace = {});

}  // namespace world
