#include "cluster/takeover_order.h"

namespace cherryloft {
namespace {

// Additional delay for each live controller that is earlier in the order.
constexpr Duration kTakeoverStep{1'500};

unsigned liveControllersBefore(const Settings& settings, const ClusterView& view, ShardId shard) {
  unsigned live = 0;
  for (unsigned step = 0; step < settings.size(); ++step) {
    const auto& controller = settings.controllers[(shard.value + step) % settings.size()];
    if (controller == settings.controller) break;
    if (view.alive(controller)) ++live;
  }
  return live;
}

}  // namespace

Duration takeoverDelay(const Settings& settings, const ClusterView& view, ShardId shard) {
  return kTakeoverStep * liveControllersBefore(settings, view, shard);
}

}  // namespace cherryloft
