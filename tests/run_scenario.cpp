// Plays the scenario files named on the command line and prints what went against their expectations.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "world/scenario.h"

namespace {

constexpr int kComplaints = 1;
constexpr int kUnreadable = 2;
constexpr int kDigestDigits = 16;

struct Options {
  std::vector<std::string> files;
  bool traceDigest = false;
  std::string traceFile;
};

// "seed 7: with 40: ", as far as the scenario names them.
std::string labelOf(const world::Play& play) {
  return (play.seed.empty() ? "" : "seed " + play.seed + ": ") +
         (play.value.empty() ? "" : "with " + play.value + ": ");
}

// "quiet_day seed=7 value=- events=1234 digest=0123456789abcdef"
void printDigest(const std::string& file, const world::Play& play) {
  std::ostringstream line;
  line << std::filesystem::path(file).stem().string() << " seed=" << (play.seed.empty() ? "-" : play.seed)
       << " value=" << (play.value.empty() ? "-" : play.value) << " events=" << play.traceEvents
       << " digest=" << std::hex << std::setw(kDigestDigits) << std::setfill('0') << play.traceDigest;
  std::cout << line.str() << std::endl;
}

// Plays one file; whether all went as it expects.
bool playFile(const std::string& file, const Options& options, const world::TraceOptions& trace) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error("cannot be read");
  bool good = true;
  for (const auto& play : world::runScenario(in, trace)) {
    for (const auto& complaint : play.complaints) {
      std::cout << file << ": " << labelOf(play) << complaint << "\n";
      good = false;
    }
    if (options.traceDigest) printDigest(file, play);
  }
  return good;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app{"Plays scenarios: whole deployments in virtual time (tests/README.md)"};
  app.add_option("files", options.files, "scenario files")->required();
  app.add_flag("--trace-digest", options.traceDigest,
               "print for each play one line with a digest of all that passed between the parties");
  app.add_option("--trace", options.traceFile, "write each event that the digest is made of to this file");
  CLI11_PARSE(app, argc, argv);

  std::ofstream events;
  world::TraceOptions trace;
  trace.enabled = options.traceDigest || !options.traceFile.empty();
  if (!options.traceFile.empty()) {
    events.open(options.traceFile);
    trace.events = &events;
  }
  bool good = true;
  for (const auto& file : options.files) {
    try {
      good = playFile(file, options, trace) && good;
    } catch (const std::exception& error) {
      std::cerr << file << ": " << error.what() << "\n";
      return kUnreadable;
    }
  }
  return good ? 0 : kComplaints;
}
