// Runs the scenario files named on the command line and prints every expectation that was not met.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "world/scenario.h"

namespace {

constexpr int kExitExpectationsFailed = 1;
constexpr int kExitUnreadable = 2;
constexpr int kDigestDigits = 16;

struct Options {
  std::vector<std::string> files;
  bool traceDigest = false;
  std::string traceFile;
};

// "seed 7: with 40: ", leaving out what the scenario does not set.
std::string runLabel(const world::ScenarioRun& run) {
  return (run.seed.empty() ? "" : "seed " + run.seed + ": ") +
         (run.value.empty() ? "" : "with " + run.value + ": ");
}

// "quiet_day seed=7 value=- events=1234 digest=0123456789abcdef"
void printDigest(const std::string& file, const world::ScenarioRun& run) {
  std::ostringstream line;
  line << std::filesystem::path(file).stem().string() << " seed=" << (run.seed.empty() ? "-" : run.seed)
       << " value=" << (run.value.empty() ? "-" : run.value) << " events=" << run.traceEvents
       << " digest=" << std::hex << std::setw(kDigestDigits) << std::setfill('0') << run.traceDigest;
  std::cout << line.str() << std::endl;
}

// Runs one file; returns whether all expectations were met.
bool runFile(const std::string& file, const Options& options, const world::TraceOptions& trace) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error("cannot open scenario file");
  bool passed = true;
  for (const auto& run : world::runScenario(in, trace)) {
    for (const auto& failure : run.failures) {
      std::cout << file << ": " << runLabel(run) << failure << "\n";
      passed = false;
    }
    if (options.traceDigest) printDigest(file, run);
  }
  return passed;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app{"Runs scenarios: whole deployments in virtual time (tests/README.md)"};
  app.add_option("files", options.files, "scenario files")->required();
  app.add_flag("--trace-digest", options.traceDigest,
               "print one line per run with a digest of all messages between the simulated processes");
  app.add_option("--trace", options.traceFile, "write every event that enters the digest to this file");
  CLI11_PARSE(app, argc, argv);

  std::ofstream events;
  world::TraceOptions trace;
  trace.enabled = options.traceDigest || !options.traceFile.empty();
  if (!options.traceFile.empty()) {
    events.open(options.traceFile);
    trace.events = &events;
  }
  bool passed = true;
  for (const auto& file : options.files) {
    try {
      passed = runFile(file, options, trace) && passed;
    } catch (const std::exception& error) {
      std::cerr << file << ": " << error.what() << "\n";
      return kExitUnreadable;
    }
  }
  return passed ? 0 : kExitExpectationsFailed;
}
