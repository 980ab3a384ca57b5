#include "policy/gang.h"

#include <algorithm>
#include <cmath>

namespace cherryloft::policy {

std::vector<Zone> rankZones(std::vector<GangZoneCapacity> zones, std::uint32_t members) {
  std::erase_if(zones, [&](const GangZoneCapacity& zone) { return zone.capacity < members; });
  auto slowestFetch = [&](const GangZoneCapacity& zone) {
    return zone.capacityWithImage >= members ? 0 : zone.fetchSeconds;
  };
  std::stable_sort(zones.begin(), zones.end(),
                   [&](const GangZoneCapacity& left, const GangZoneCapacity& right) {
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

double progressSinceCheckpoint(double ranSeconds, double checkpointIntervalSeconds) {
  return checkpointIntervalSeconds > 0 ? std::fmod(ranSeconds, checkpointIntervalSeconds) : ranSeconds;
}

}  // namespace cherryloft::policy
