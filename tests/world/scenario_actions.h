// The timed events of a scenario, "at SECONDS VERB ...": user requests, faults, and violations injected to
// test the checker. tests/README.md lists the verbs.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "world/scenario_line.h"
#include "world/world.h"

namespace world {

// The context of one event. Word 2 of the line is the verb, its arguments follow.
struct ActionContext {
  World& world;
  const Line& line;
  std::vector<std::string>& failures;

  Ms now() const { return world.clock.now(); }
  // The time from now plus the duration given by that word.
  Ms until(std::size_t at) const { return now() + line.duration(at); }
};

// The handler of a verb, and how long the fault that it causes lasts.
struct Action {
  void (*perform)(const ActionContext&);
  std::size_t durationWord = 0;  // index of the word with the duration; 0: instantaneous or permanent
  std::size_t trailingWord = 0;  // index of the word with the extra time during which effects arrive; 0: none
  Ms settleTime = 0;             // additional recovery time
};
using ActionTable = std::map<std::string, Action>;

// User requests.
const ActionTable& userActions();
// Faults of controllers, connections, the state service and the cloud.
const ActionTable& faultActions();
// random-faults FOR EVERY (scenario_random_faults.cpp): until then a random fault each EVERY seconds, on
// average.
void startRandomFaults(const ActionContext& context);
// Faults of machines.
const ActionTable& machineActions();
// Injected violations, and assertions on the checker.
const ActionTable& checkerActions();

// Executes the event now. Throws std::runtime_error on an unknown verb.
void performAction(const ActionContext& context);

// When the fault of an event ends; a permanent one counts as ending at once.
Ms faultEnd(const Line& line);

}  // namespace world
