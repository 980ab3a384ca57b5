#include "policy/gang.h"

#include <algorithm>
#include <cmath>

namespace cherryloft::policy {

std::vector<Zone> zonesToTry(std::vector<GangZone> zones, std::uint32_t members) {
  std::erase_if(zones, [&](const GangZone& zone) { return zone.capacity < members; });
  auto slowestFetch = [&](const GangZone& zone) {
    return zone.capacityOnHolders >= members ? 0 : zone.fetchSeconds;
  };
  std::stable_sort(zones.begin(), zones.end(), [&](const GangZone& left, const GangZone& right) {
    double leftFetch = slowestFetch(left);
    double rightFetch = slowestFetch(right);
    if (leftFetch != rightFetch) return leftFetch < rightFetch;
    return left.capacity > right.capacity;
  });
  std::vector<Zone> order;
  order.reserve(zones.size());
  for (const auto& zone : zones) order.push_back(zone.zone);
  return order;
}

double lostSinceCheckpoint(double ranSeconds, double checkpointIntervalSeconds) {
  return checkpointIntervalSeconds > 0 ? std::fmod(ranSeconds, checkpointIntervalSeconds) : ranSeconds;
}

}  // namespace cherryloft::policy
