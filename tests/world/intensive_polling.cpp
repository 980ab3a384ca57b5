// Users who poll intensively: after each answer about a job they query every controller again within
// milliseconds.
#include "world/world.h"

namespace world {
namespace {
constexpr Ms kAcceptancePollInterval = 20;   // between checks whether a job to cancel has been accepted
constexpr unsigned kPollsPerController = 5;  // queries to each controller
constexpr double kPollWindowMs = 60;         // after the answer that triggered the queries
constexpr double kResubmitShare = 0.2;       // share of the queries that resubmit the job instead
constexpr double kCancelWindowMs = 30;       // from the acceptance to an immediate cancellation
}  // namespace

void World::pollIntensively(const std::string& id) {
  if (clock.now() >= intensivePolling_.until) return;
  for (unsigned node = 0; node < controllers.size(); ++node)
    for (unsigned round = 0; round < kPollsPerController; ++round) {
      auto wait = static_cast<Ms>(clock.uniform(0, kPollWindowMs));
      bool resubmits = clock.chance(kResubmitShare);
      clock.after(wait, [this, id, node, resubmits] { pollOrResubmit(id, node, resubmits); });
    }
}

void World::pollContinuously(const std::string& id, Ms interval, Ms until, unsigned node) {
  if (clock.now() >= until) return;
  poll(id, false, node);
  auto next = (node + 1) % static_cast<unsigned>(controllers.size());
  clock.after(interval, [this, id, interval, until, next] { pollContinuously(id, interval, until, next); });
}

void World::pollOrResubmit(const std::string& id, unsigned node, bool resubmits) {
  if (resubmits)
    resubmit(id, node);
  else
    poll(id, false, node);
}

void World::cancelOnceAccepted(const std::string& id) {
  if (observations[id].acceptedAt >= 0) return cancel(id);
  clock.after(kAcceptancePollInterval, [this, id] { cancelOnceAccepted(id); });
}

void World::onAccepted(const std::string& id) {
  if (clock.now() >= intensivePolling_.until) return;
  pollIntensively(id);
  if (!clock.chance(intensivePolling_.cancelledShare)) return;
  clock.after(static_cast<Ms>(clock.uniform(0, kCancelWindowMs)), [this, id] { cancel(id); });
}

}  // namespace world
