#include "world/scenario_endpoints.h"

#include <algorithm>
#include <cctype>

#include "world/scenario_line.h"

namespace world {
namespace {

const std::string kMachinePrefix = "host-";
const std::string kJobPrefix = "on:";
const std::string kZonePrefix = "zone:";
const std::string kAllControllers = "*";

}  // namespace

std::string machineNamed(World& world, const std::string& word) {
  if (word.starts_with(kJobPrefix)) {
    auto machines = world.checker.machinesRunning(jobIdOf(word.substr(kJobPrefix.size())));
    return machines.empty() ? "" : *machines.begin();
  }
  if (word.starts_with(kMachinePrefix)) return word;
  auto* worker = world.cloud.nthUp(static_cast<unsigned>(parseNumber(word)));
  return worker ? worker->machine().id : "";
}

std::string endpointNamed(World& world, const std::string& word) {
  bool machine = word.starts_with(kJobPrefix) || std::isdigit(static_cast<unsigned char>(word[0]));
  return machine ? machineNamed(world, word) : word;
}

std::vector<std::string> endpointsNamed(World& world, const std::string& word) {
  if (word.starts_with(kZonePrefix)) return world.cloud.inZone(word.substr(kZonePrefix.size()));
  return {endpointNamed(world, word)};
}

std::vector<ControllerProcess*> controllersNamed(World& world, const std::string& word) {
  std::vector<ControllerProcess*> out;
  for (unsigned number = 0; number < world.controllers.size(); ++number) {
    bool named = word == kAllControllers || number == parseNumber(word);
    if (named) out.push_back(world.controllers[number].get());
  }
  return out;
}

std::vector<std::string> machinesUp(World& world, std::size_t first, std::size_t count) {
  auto all = world.cloud.allUp();
  auto begin = std::min(all.size(), first);
  auto end = std::min(all.size(), begin + count);
  return {all.begin() + static_cast<std::ptrdiff_t>(begin), all.begin() + static_cast<std::ptrdiff_t>(end)};
}

}  // namespace world
