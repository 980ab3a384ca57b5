// Detects that so many machines are silent at once that the machines themselves are probably not at fault.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/types.h"

namespace cherryloft {

struct Machine;

// Among the machines that were ever up: how many are overdue or suspected.
struct SuspectCount {
  std::size_t overdue = 0;
  std::size_t machines = 0;
  // So many are affected that the machines themselves are probably not at fault.
  [[nodiscard]] bool exceedsFraction(double fraction) const;
};

struct SuspicionCounts {
  SuspectCount shard;
  std::map<Zone, SuspectCount> zones;
  std::vector<Machine*> suspected;
};

class MassSuspicion {
 public:
  void record(const SuspicionCounts& counts, Time now);
  // Whether much of the shard, or of the zone, was suspected within the last `duration`: machines also
  // recover one after another.
  [[nodiscard]] bool inShard(Time now, Duration duration) const;
  [[nodiscard]] bool inZone(const Zone& zone, Time now, Duration duration) const;

 private:
  std::optional<Time> lastInShard_;
  std::map<Zone, Time> lastInZone_;
};

}  // namespace cherryloft
