// Users who look closely: after each word about a job they ask every controller again within milliseconds.
#include "world/world.h"

namespace world {
namespace {
constexpr Ms kLookAgain = 20;           // whether a job that is to be cancelled is accepted by now
constexpr unsigned kRounds = 5;         // questions to each controller
constexpr double kWithinMs = 60;        // of what the user heard
constexpr double kResubmits = 0.2;      // the share of the looks that repeat the submission instead
constexpr double kCancelWithinMs = 30;  // a cancellation at once, measured from the acceptance
}  // namespace

void World::lookClosely(const std::string& id) {
  if (clock.now() >= closeLooks_.until) return;
  for (unsigned node = 0; node < controllers.size(); ++node)
    for (unsigned round = 0; round < kRounds; ++round) {
      auto wait = static_cast<Ms>(clock.uniform(0, kWithinMs));
      bool resubmits = clock.chance(kResubmits);
      clock.after(wait, [this, id, node, resubmits] { lookOnce(id, node, resubmits); });
    }
}

void World::lookOnce(const std::string& id, unsigned node, bool resubmits) {
  if (resubmits)
    resubmit(id, node);
  else
    poll(id, false, node);
}

void World::cancelAccepted(const std::string& id) {
  if (traces[id].acceptedAt >= 0) return cancel(id);
  clock.after(kLookAgain, [this, id] { cancelAccepted(id); });
}

void World::heardAccepted(const std::string& id) {
  if (clock.now() >= closeLooks_.until) return;
  lookClosely(id);
  if (!clock.chance(closeLooks_.cancelled)) return;
  clock.after(static_cast<Ms>(clock.uniform(0, kCancelWithinMs)), [this, id] { cancel(id); });
}

}  // namespace world
