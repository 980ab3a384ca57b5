#include "world/scenario_setup.h"

#include <stdexcept>

namespace world {
namespace {

constexpr double kMsPerSecond = 1000;

using Apply = void (*)(const Line&, ScenarioSetup&);

void setIfGiven(const Options& options, const char* name, double& value) {
  value = options.number(name, value);
}

void setIfGiven(const Options& options, const char* name, std::optional<double>& value) {
  if (options.has(name)) value = options.number(name, 0);
}

void applyTeams(const Line& line, ScenarioSetup& setup) {
  setup.deployment.teams = line.count(1);
  setup.deployment.guaranteed = line.number(2);
  setup.deployment.limit = line.number(3);
}

void applyWorkers(const Line& line, ScenarioSetup& setup) {
  auto options = line.optionsFrom(1);
  setIfGiven(options, "report", setup.deployment.heartbeatIntervalS);
  setIfGiven(options, "lease", setup.deployment.workerLeaseS);
  setIfGiven(options, "cancel", setup.deployment.cancelDeadlineS);
  setIfGiven(options, "gang_wait", setup.deployment.gangStartTimeoutS);
  setIfGiven(options, "gang_peer", setup.deployment.gangPeerTimeoutS);
}

void applyStore(const Line& line, ScenarioSetup& setup) {
  auto options = line.optionsFrom(1);
  setIfGiven(options, "rps", setup.deployment.rps);
  setIfGiven(options, "writes", setup.deployment.writeRps);
  setIfGiven(options, "value_kb", setup.deployment.valueKb);
  setIfGiven(options, "txn", setup.deployment.txnOps);
  setIfGiven(options, "next_value_kb", setup.deployment.nextValueKb);
  setIfGiven(options, "next_txn", setup.deployment.nextTxnOps);
  setIfGiven(options, "next_writes", setup.deployment.nextWriteRps);
}

void applyMachineType(const Line& line, ScenarioSetup& setup) {
  auto options = line.optionsFrom(4);
  CloudType type;
  type.name = line.word(1);
  type.size = {line.number(2), options.number("gpus", 0), line.number(3)};
  type.price = options.number("price", 1);
  type.spotPrice = options.number("spot", 0.45);
  type.boot = static_cast<Ms>(kMsPerSecond * options.number("boot", 5));
  type.capacity = static_cast<unsigned>(options.number("capacity", 4));
  type.spotCapacity = static_cast<unsigned>(options.number("spot_capacity", 2));
  type.cacheGb = options.number("cache", 50);
  type.fetchGbPerS = options.number("fetch", 1);
  setup.deployment.types.push_back(type);
}

void ignore(const Line&, ScenarioSetup&) {}

const std::map<std::string, Apply>& setupDirectives() {
  static const std::map<std::string, Apply> words{
      {"seeds", ignore},  // read by runScenario
      {"vary", ignore},   // likewise
      {"seed",
       [](const Line& line, ScenarioSetup& setup) {
         setup.deployment.seed = static_cast<std::uint64_t>(line.number(1));
       }},
      {"controllers",
       [](const Line& line, ScenarioSetup& setup) { setup.deployment.controllers = line.count(1); }},
      {"zones", [](const Line& line, ScenarioSetup& setup) { setup.deployment.zones = line.wordsFrom(1); }},
      {"teams", applyTeams},
      {"previous-version",
       [](const Line&, ScenarioSetup& setup) { setup.deployment.startsOnPreviousVersion = true; }},
      {"guest", [](const Line&, ScenarioSetup& setup) { setup.deployment.guest = true; }},
      {"workers", applyWorkers},
      {"store", applyStore},
      {"token-generations",
       [](const Line& line, ScenarioSetup& setup) { setup.deployment.tokenGenerations = line.count(1); }},
      {"type", applyMachineType},
      {"until", [](const Line& line, ScenarioSetup& setup) { setup.until = line.duration(1); }}};
  return words;
}

cherryloft::JobKind parseKind(const std::string& word) {
  if (word == "service") return cherryloft::JobKind::Service;
  if (word == "gang") return cherryloft::JobKind::Gang;
  return cherryloft::JobKind::Array;
}

cherryloft::PriorityClass parsePriority(const std::string& word) {
  if (word == "prod") return cherryloft::PriorityClass::Production;
  if (word == "high") return cherryloft::PriorityClass::High;
  if (word == "normal") return cherryloft::PriorityClass::Normal;
  return cherryloft::PriorityClass::BestEffort;
}

}  // namespace

void applySetup(const Line& line, ScenarioSetup& setup) {
  auto it = setupDirectives().find(line.word(0));
  if (it == setupDirectives().end()) throw std::runtime_error("unknown directive '" + line.word(0) + "'");
  it->second(line, setup);
}

JobBehavior parseJob(const std::string& id, const Options& options) {
  JobBehavior behavior;
  auto& spec = behavior.spec;
  double runS = options.number("run", 10);
  spec.id = cherryloft::JobId{id};
  spec.team = cherryloft::TeamId{"team-" + options.text("team", "0")};
  spec.jobClass = options.text("class", "plain");
  spec.kind = parseKind(options.text("kind", "array"));
  spec.priority = parsePriority(options.text("priority", "normal"));
  spec.tasks = static_cast<std::uint32_t>(options.number("tasks", 1));
  spec.each = {options.number("cores", 4), options.number("gpus", 0), options.number("ram", 4)};
  spec.image = cherryloft::ImageId{options.text("image", "img-1")};
  spec.imageGb = options.number("gb", 0.5);
  spec.expectedRunSeconds = options.number("expect", runS);
  spec.checkpointIntervalSeconds = options.number("checkpoint_every", 0);
  spec.checkpointSeconds = options.number("checkpoint_time", 0);
  spec.spotAllowed = options.has("spot_allowed");
  spec.spread = options.has("spread");
  spec.oneZone = options.has("one_zone");
  if (options.has("zone")) spec.zone = cherryloft::Zone{options.text("zone")};
  if (options.has("type")) spec.types = std::vector<std::string>{options.text("type")};
  for (int n = 0; n < options.number("more_types", 0); ++n)
    spec.types->push_back("a-type-that-does-not-exist-" + std::to_string(n));
  behavior.runTime = static_cast<Ms>(runS * kMsPerSecond);
  behavior.fails = options.has("fails");
  return behavior;
}

}  // namespace world
