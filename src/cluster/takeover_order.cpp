#include "cluster/takeover_order.h"

namespace cherryloft {
namespace {

// How long the next in line waits for the one before it.
constexpr Duration kTakeoverStep{1'500};

unsigned livingControllersBefore(const Settings& settings, const ClusterView& view, ShardId shard) {
  unsigned living = 0;
  for (unsigned step = 0; step < settings.size(); ++step) {
    const auto& controller = settings.controllers[(shard.value + step) % settings.size()];
    if (controller == settings.controller) break;
    if (view.alive(controller)) ++living;
  }
  return living;
}

}  // namespace

Duration takeoverDelay(const Settings& settings, const ClusterView& view, ShardId shard) {
  return kTakeoverStep * livingControllersBefore(settings, view, shard);
}

}  // namespace cherryloft
