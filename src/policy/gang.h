// Where a gang should be tried first, and what stopping one wastes.
#pragma once

#include <cstdint>
#include <vector>

#include "base/job.h"

namespace cherryloft::policy {

// What a zone, or all zones together, has for a gang now.
struct GangZone {
  Zone zone;
  std::uint32_t room = 0;           // members that fit
  std::uint32_t roomOnHolders = 0;  // of these, on machines that cache the image
  double fetchS = 0;                // of the image to the quickest machine with room that lacks it
};

// The zones that have room for all members, in the order in which they should be tried. A gang starts with
// its slowest member: where all find the image first, then by the time of the fetch, then where most room is
// left.
std::vector<Zone> zonesToTry(std::vector<GangZone> zones, std::uint32_t members);

// Seconds of progress that every member loses when the gang is stopped without saving.
double lostSinceCheckpoint(double ranS, double checkpointIntervalSeconds);

}  // namespace cherryloft::policy
