// Gang scheduling: ranking of zones, and the progress lost when a gang is stopped. Pure functions.
#pragma once

#include <cstdint>
#include <vector>

#include "base/job.h"

namespace cherryloft::policy {

// The capacity that a zone has for a gang at present.
struct GangZoneCapacity {
  Zone zone;
  std::uint32_t capacity = 0;           // number of members that fit
  std::uint32_t capacityWithImage = 0;  // of those, on machines that cache the image
  double fetchSeconds = 0;  // image fetch time on the fastest machine with capacity but without the image
};

// The zones with capacity for all members, best first. A gang starts when its slowest member does, so zones
// rank by the slowest image fetch (zero if all members fit on machines that cache the image), then by
// capacity, largest first.
[[nodiscard]] std::vector<Zone> rankZones(std::vector<GangZoneCapacity> zones, std::uint32_t members);

// Seconds of progress that every member loses when a gang that ran for `ranSeconds` is stopped without a
// final checkpoint. An interval of 0 means that the gang writes no checkpoints.
[[nodiscard]] double progressSinceCheckpoint(double ranSeconds, double checkpointIntervalSeconds);

}  // namespace cherryloft::policy
