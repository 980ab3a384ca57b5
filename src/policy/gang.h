// Gang scheduling: which zone to try first, and what stopping a gang loses. Pure functions.
#pragma once

#include <cstdint>
#include <vector>

#include "base/job.h"

namespace cherryloft::policy {

// What a zone has for a gang now.
struct GangZoneCapacity {
  Zone zone;
  std::uint32_t capacity = 0;           // members that fit
  std::uint32_t capacityWithImage = 0;  // of these, on machines that cache the image
  double fetchSeconds = 0;              // of the image, to the fastest machine with capacity that lacks it
};

// The zones with capacity for all members, in the order in which they should be tried. A gang starts with its
// slowest member: first where all find the image, then by fetch time, then where most capacity is left.
[[nodiscard]] std::vector<Zone> rankZones(std::vector<GangZoneCapacity> zones, std::uint32_t members);

// Seconds of progress that every member loses when the gang is stopped without a checkpoint after it ran for
// so long. An interval of 0 means that it writes none.
[[nodiscard]] double progressSinceCheckpoint(double ranSeconds, double checkpointIntervalSeconds);

}  // namespace cherryloft::policy
