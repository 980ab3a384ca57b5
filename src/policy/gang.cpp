#include "policy/gang.h"

#include <algorithm>
#include <cmath>

namespace cherryloft::policy {

std::vector<Zone> rankZones(std::vector<GangZoneCapacity> zones, std::uint32_t members) {
  std::erase_if(zones, [&](const GangZoneCapacity& zone) { return zone.capacity < members; });
  auto slowestFetchSeconds = [&](const GangZoneCapacity& zone) {
    return zone.capacityWithImage >= members ? 0 : zone.fetchSeconds;
  };
  std::stable_sort(zones.begin(), zones.end(),
                   [&](const GangZoneCapacity& left, const GangZoneCapacity& right) {
                     double leftFetch = slowestFetchSeconds(left);
                     double rightFetch = slowestFetchSeconds(right);
                     if (leftFetch != rightFetch) return leftFetch < rightFetch;
                     return left.capacity > right.capacity;
                   });
  std::vector<Zone> ranked;
  ranked.reserve(zones.size());
  for (const auto& zone : zones) ranked.push_back(zone.zone);
  return ranked;
}

double progressSinceCheckpoint(double ranSeconds, double checkpointIntervalSeconds) {
  return checkpointIntervalSeconds > 0 ? std::fmod(ranSeconds, checkpointIntervalSeconds) : ranSeconds;
}

}  // namespace cherryloft::policy
