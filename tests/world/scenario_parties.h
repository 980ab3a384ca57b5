// How the lines of a scenario name machines, controllers and other ends of connections.
#pragma once

#include <string>
#include <vector>

#include "world/world.h"

namespace world {

// A machine by its id, by its place among those that are up, or "on:1": one on which job 1 has a task. Empty
// if there is none.
std::string machineNamed(World& world, const std::string& word);

// An end of connections: a machine as above, and anything else as it is.
std::string partyNamed(World& world, const std::string& word);

// The same; "zone:a" is every machine that is up in that zone now.
std::vector<std::string> partiesNamed(World& world, const std::string& word);

// "2", or "*" for all.
std::vector<ControllerProcess*> controllersNamed(World& world, const std::string& word);

// So many of the machines that are up, from the first-th on.
std::vector<std::string> machinesUp(World& world, std::size_t first, std::size_t count);

}  // namespace world
