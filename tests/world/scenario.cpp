#include "world/scenario.h"

#include <istream>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "world/scenario_actions.h"
#include "world/scenario_expectations.h"
#include "world/scenario_setup.h"
#include "world/world.h"

namespace world {
namespace {

const std::string kAction = "at";
const std::string kExpectation = "expect";
const std::string kMachinesUp = "up";

// One run of a scenario file: parses its lines, then executes them in a World of its own.
class Scenario {
 public:
  void read(std::istream& in);
  // The caller fills in seed and value of the result.
  ScenarioRun run(const TraceOptions& trace);

 private:
  void readLine(const Line& line);
  void prepareWorld(const TraceOptions& trace);
  void checkRules();

  ScenarioSetup setup_;
  std::vector<Line> machinesUp_;
  std::vector<Line> actions_;
  std::vector<Line> expectations_;
  std::unique_ptr<World> world_;
  std::vector<std::string> failures_;
};

void Scenario::read(std::istream& in) {
  int number = 0;
  for (std::string text; std::getline(in, text);) {
    ++number;
    Line line(text);
    if (line.empty()) continue;
    try {
      readLine(line);
    } catch (const std::exception& e) {
      throw std::runtime_error("line " + std::to_string(number) + ": " + e.what());
    }
  }
}

void Scenario::readLine(const Line& line) {
  const auto& first = line.word(0);
  if (first == kAction)
    actions_.push_back(line);
  else if (first == kExpectation)
    expectations_.push_back(line);
  else if (first == kMachinesUp)
    machinesUp_.push_back(line);
  else
    applySetup(line, setup_);
}

ScenarioRun Scenario::run(const TraceOptions& trace) {
  prepareWorld(trace);
  world_->run(setup_.until);
  world_->eventTrace.finish();
  world_->checker.checkStartDelays();
  checkRules();
  for (const auto& line : expectations_) checkExpectation(*world_, line, failures_);
  ScenarioRun run;
  run.failures = std::move(failures_);
  run.traceDigest = world_->eventTrace.digest();
  run.traceEvents = world_->eventTrace.events();
  return run;
}

void Scenario::prepareWorld(const TraceOptions& trace) {
  world_ = std::make_unique<World>(setup_.deployment);
  if (trace.enabled) world_->eventTrace.enable();
  world_->eventTrace.writeEventsTo(trace.events);
  for (const auto& line : machinesUp_)
    for (int i = 0; i < line.number(3); ++i) world_->cloud.addRunning(line.word(1), line.word(2));
  for (const auto& line : actions_) {
    world_->clock.at(line.duration(1), [this, &line] { performAction({*world_, line, failures_}); });
    world_->checker.faultsEnd(faultEnd(line));
  }
}

// Every violated rule is a failure. If the scenario injects a violation, that rule must be reported; others
// may follow from it.
void Scenario::checkRules() {
  std::string expected;
  for (const auto& line : expectations_)
    if (auto rule = expectedViolation(line); !rule.empty()) expected = rule;
  bool found = false;
  for (const auto& violation : world_->checker.violations()) {
    found |= violation.rule == expected;
    if (expected.empty())
      failures_.push_back("rule " + violation.rule + " violated at " + std::to_string(violation.at) +
                          " ms: " + violation.what);
  }
  if (!expected.empty() && !found)
    failures_.push_back("the checker did not report the injected violation of " + expected);
}

// The seeds and the values for "$" that a scenario runs with. An empty string stands for the scenario
// unchanged.
struct Variations {
  std::vector<std::string> seeds{""};
  std::vector<std::string> values{""};
};

Variations readVariations(const std::string& text) {
  Variations variations;
  std::istringstream in(text);
  for (std::string next; std::getline(in, next);) {
    Line line(next);
    if (line.empty()) continue;
    if (line.word(0) == "seeds") variations.seeds = line.wordsFrom(1);
    if (line.word(0) == "vary") variations.values = line.wordsFrom(1);
  }
  return variations;
}

std::string substitute(std::string text, const std::string& value) {
  for (auto at = text.find('$'); at != std::string::npos; at = text.find('$', at)) text.replace(at, 1, value);
  return text;
}

ScenarioRun runOnce(const std::string& text, const std::string& seed, const TraceOptions& trace) {
  Scenario scenario;
  std::istringstream in(text + (seed.empty() ? "" : "\nseed " + seed + "\n"));
  scenario.read(in);
  return scenario.run(trace);
}

}  // namespace

std::vector<ScenarioRun> runScenario(std::istream& in, const TraceOptions& trace) {
  std::stringstream buffer;
  buffer << in.rdbuf();
  auto text = buffer.str();
  auto variations = readVariations(text);
  std::vector<ScenarioRun> runs;
  for (const auto& value : variations.values) {
    auto varied = substitute(text, value);
    for (const auto& seed : variations.seeds) {
      auto run = runOnce(varied, seed, trace);
      run.seed = seed;
      run.value = value;
      runs.push_back(std::move(run));
    }
  }
  return runs;
}

}  // namespace world
