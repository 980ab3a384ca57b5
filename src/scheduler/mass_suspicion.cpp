#include "scheduler/mass_suspicion.h"

#include <algorithm>

namespace cherryloft {
namespace {

// If more than this fraction of the machines is overdue or suspected, the cause is probably not the machines
// themselves.
constexpr double kMassSuspicionFraction = 0.26;
constexpr double kMassSuspicionFractionOfZone = 0.5;
// Up to this many machines are never treated as mass suspicion, even if they are a large part of a small
// shard.
constexpr double kMinMassSuspicion = 3;

}  // namespace

bool SuspectCount::exceedsFraction(double fraction) const {
  return static_cast<double>(overdue) > std::max(kMinMassSuspicion, fraction * static_cast<double>(machines));
}

void MassSuspicion::record(const SuspicionCounts& counts, Time now) {
  if (counts.shard.exceedsFraction(kMassSuspicionFraction)) lastInShard_ = now;
  for (const auto& [zone, count] : counts.zones)
    if (count.exceedsFraction(kMassSuspicionFractionOfZone)) lastInZone_[zone] = now;
}

bool MassSuspicion::inShard(Time now, Duration duration) const {
  return lastInShard_ && now - *lastInShard_ < duration;
}

bool MassSuspicion::inZone(const Zone& zone, Time now, Duration duration) const {
  auto last = lastInZone_.find(zone);
  return last != lastInZone_.end() && now - last->second < duration;
}

}  // namespace cherryloft
