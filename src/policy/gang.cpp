#include "policy/gang.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cherryloft::policy {

std::vector<Zone> zonesToTry(std::vector<GangZone> zones, std::uint32_t members) {
  std::erase_if(zones, [&](const GangZone& z) { return z.room < members; });
  auto slowest = [&](const GangZone& z) { return z.roomOnHolders >= members ? 0 : z.fetchS; };
  std::stable_sort(zones.begin(), zones.end(), [&](const GangZone& a, const GangZone& b) {
    return std::tuple(slowest(a), b.room) < std::tuple(slowest(b), a.room);
  });
  std::vector<Zone> order;
  order.reserve(zones.size());
  for (const auto& z : zones) order.push_back(z.zone);
  return order;
}

double lostSinceCheckpoint(double ranS, double checkpointIntervalSeconds) {
  return checkpointIntervalSeconds > 0 ? std::fmod(ranS, checkpointIntervalSeconds) : ranS;
}

}  // namespace cherryloft::policy
