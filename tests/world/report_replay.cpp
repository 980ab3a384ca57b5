// Delivers old machine reports to every controller just when a new leader takes over.
#include <algorithm>

#include "world/world.h"

namespace world {
namespace {
constexpr Ms kMinReplayAge = 2'000;       // minimum age of a replayed report
constexpr double kReplayWindowMs = 1500;  // after the new leader's record is written
}  // namespace

void World::recordReports(const std::string& machines, Ms until) {
  net.observeRequests([this, machines, until](const std::string& from, const HttpRequest& r) {
    if (clock.now() < until && r.target == "/checkin" && Network::matches(machines, from))
      recordedReports_[from].push_back({clock.now(), r});
  });
  stateService.onLeaderElected([this] { replayReports(); });
}

// Delivers one old report of each machine to every controller, each copy at a random time.
void World::replayReports() {
  for (const auto& entry : recordedReports_) {
    const auto& machine = entry.first;
    const auto& reports = entry.second;
    auto oldEnough = std::count_if(reports.begin(), reports.end(), [&](const RecordedReport& k) {
      return clock.now() - k.sentAt >= kMinReplayAge;
    });
    if (oldEnough == 0) continue;
    const auto& report = reports[clock.rng() % static_cast<std::size_t>(oldEnough)].request;
    for (const auto& node : settings.controllers) {
      auto to = "node" + std::to_string(&node - settings.controllers.data());
      clock.after(static_cast<Ms>(clock.uniform(0, kReplayWindowMs)),
                  [this, machine, to, report] { net.deliverCopy(machine, to, report, clock.now()); });
      ++replayedReports_;
    }
  }
}

}  // namespace world
