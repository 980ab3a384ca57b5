#include "world/scenario_actions.h"

#include <stdexcept>

namespace world {
namespace {

constexpr std::size_t kTimeWord = 1;
constexpr std::size_t kVerbWord = 2;

const Action* findAction(const std::string& verb) {
  for (const auto* table : {&userActions(), &faultActions(), &machineActions(), &checkerActions()})
    if (auto it = table->find(verb); it != table->end()) return &it->second;
  return nullptr;
}

}  // namespace

void performAction(const ActionContext& context) {
  const auto& verb = context.line.word(kVerbWord);
  const auto* action = findAction(verb);
  if (!action) throw std::runtime_error("unknown event '" + verb + "'");
  action->perform(context);
}

Ms faultEnd(const Line& line) {
  Ms end = line.duration(kTimeWord);
  const auto* action = findAction(line.word(kVerbWord));
  if (!action) return end;
  if (action->durationWord > 0) end += line.duration(action->durationWord);
  if (action->trailingWord > 0) end += line.duration(action->trailingWord);
  return end + action->settleTime;
}

}  // namespace world
