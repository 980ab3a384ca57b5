// Resolves the names of machines, controllers and other connection endpoints in scenario lines.
#pragma once

#include <string>
#include <vector>

#include "world/world.h"

namespace world {

// A machine by its id, by its index among those that are up, or "on:1": one that runs a task of job 1. Empty
// if there is none.
std::string machineNamed(World& world, const std::string& word);

// A connection endpoint: a machine as above; any other name is returned unchanged.
std::string endpointNamed(World& world, const std::string& word);

// Like endpointNamed(); "zone:a" stands for all machines that are up in that zone now.
std::vector<std::string> endpointsNamed(World& world, const std::string& word);

// "2", or "*" for all controllers.
std::vector<ControllerProcess*> controllersNamed(World& world, const std::string& word);

// Up to `count` of the machines that are up, starting at index `first`.
std::vector<std::string> machinesUp(World& world, std::size_t first, std::size_t count);

}  // namespace world
