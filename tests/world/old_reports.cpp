// Old reports of machines that reach every controller just as a new leader begins.
#include <algorithm>

#include "world/world.h"

namespace world {
namespace {
constexpr Ms kOld = 2'000;          // the least age of a report that is delivered again
constexpr double kWithinMs = 1500;  // of the moment at which the new leader's record is written
}  // namespace

void World::keepReports(const std::string& machines, Ms until) {
  net.overhear([this, machines, until](const std::string& from, const HttpRequest& r) {
    if (clock.now() < until && r.target == "/checkin" && Net::matches(machines, from))
      keptReports_[from].push_back({clock.now(), r});
  });
  store.whenLeaderBegins([this] { deliverOldReports(); });
}

// Of each machine one of its reports, the same to every controller, each copy at its own moment.
void World::deliverOldReports() {
  for (const auto& entry : keptReports_) {
    const auto& machine = entry.first;
    const auto& kept = entry.second;
    auto old = std::count_if(kept.begin(), kept.end(),
                             [&](const KeptReport& k) { return clock.now() - k.sentAt >= kOld; });
    if (old == 0) continue;
    const auto& report = kept[clock.rng() % static_cast<std::size_t>(old)].request;
    for (const auto& node : settings.controllers) {
      auto to = "node" + std::to_string(&node - settings.controllers.data());
      clock.after(static_cast<Ms>(clock.uniform(0, kWithinMs)),
                  [this, machine, to, report] { net.deliverCopy(machine, to, report); });
      ++oldReports_;
    }
  }
}

}  // namespace world
