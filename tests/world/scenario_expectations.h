// What a scenario expects once it is over: "expect WHAT ...". tests/README.md lists the words.
#pragma once

#include <string>
#include <vector>

#include "world/scenario_line.h"
#include "world/world.h"

namespace world {

// Adds to the complaints if the world is not as the line expects. Throws std::runtime_error on an unknown
// word.
void checkExpectation(World& world, const Line& line, std::vector<std::string>& failures);

// The rule that a line "expect violated RULE" wants broken; empty for all other lines.
std::string expectedViolation(const Line& line);

}  // namespace world
