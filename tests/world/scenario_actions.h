// The timed events of a scenario, "at SECONDS VERB ...": what users do, what fails, and violations that are
// planted for the checker to find. tests/README.md lists the verbs.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "world/scenario_line.h"
#include "world/world.h"

namespace world {

// What one event has at hand. Word 2 of the line is the verb, its arguments follow.
struct ActionContext {
  World& world;
  const Line& line;
  std::vector<std::string>& failures;

  Ms now() const { return world.clock.now(); }
  // The moment so long from now as that word says.
  Ms until(std::size_t at) const { return now() + line.duration(at); }
};

// What a verb does, and how long the trouble that it brings lasts.
struct Action {
  void (*perform)(const ActionContext&);
  std::size_t durationWord = 0;  // the word that tells how long; 0: over at once, or never
  std::size_t trailingWord = 0;  // the word that tells how much longer its effects arrive; 0: none do
  Ms settleTime = 0;             // and how long what it did takes to be put right
};
using ActionTable = std::map<std::string, Action>;

// Requests of users and what they ask of controllers.
const ActionTable& userActions();
// Troubles of controllers, connections, the state service and the cloud.
const ActionTable& faultActions();
// Troubles of machines.
const ActionTable& machineActions();
// Violations planted on purpose, and questions to the checker.
const ActionTable& checkerActions();

// Carries the event out now. Throws std::runtime_error on an unknown verb.
void performAction(const ActionContext& context);

// When the trouble that an event brings is over; what never ends counts as over at once.
Ms faultEnd(const Line& line);

}  // namespace world
