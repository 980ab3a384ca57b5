// Users who look closely: after each word about a job they ask every controller again within milliseconds.
#include "world/world.h"

namespace world {
namespace {
constexpr Ms kAcceptancePollInterval = 20;   // whether a job that is to be cancelled is accepted by now
constexpr unsigned kPollsPerController = 5;  // questions to each controller
constexpr double kPollWindowMs = 60;         // of what the user heard
constexpr double kResubmitShare = 0.2;       // the share of the looks that repeat the submission instead
constexpr double kCancelWindowMs = 30;       // a cancellation at once, measured from the acceptance
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
