// The expectations checked at the end of a scenario: "expect WHAT ...". tests/README.md lists them.
#pragma once

#include <string>
#include <vector>

#include "world/scenario_line.h"
#include "world/world.h"

namespace world {

// Adds a failure if the world does not match the line. Throws std::runtime_error on an unknown expectation.
void checkExpectation(World& world, const Line& line, std::vector<std::string>& failures);

// The rule named by a line "expect violated RULE"; empty for all other lines.
std::string expectedViolation(const Line& line);

}  // namespace world
