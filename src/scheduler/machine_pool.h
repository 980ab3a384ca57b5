// MachinePool: a shard's machines of one type, zone and pricing model (on-demand or spot), indexed by free
// cores.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/job.h"

namespace cherryloft {

struct Machine;

struct MachinePool {
  std::string type;
  Zone zone;
  bool spot = false;
  Resources size;            // of each machine; zero while the type is not in the catalog
  double cacheGb = 0;        // image cache of each machine
  double fetchGbPerS = 0;    // image download rate of a machine
  std::size_t machines = 0;  // all machines, open for new work or not
  // Machines open for new work, by free cores and machine number. Maintained by ShardState::reindex().
  using ByFreeCores = std::map<std::pair<double, std::uint32_t>, Machine*>;
  ByFreeCores byFreeCores;

  // The machine with the fewest free cores that still has this many; later entries have more.
  ByFreeCores::const_iterator withFreeCores(double cores) const {
    return byFreeCores.lower_bound({cores - kResourceTolerance, 0});
  }
  // Whether one of the first `maxExamined` candidates has room for such a task and satisfies `allows`.
  bool hasCapacity(const Resources& each, unsigned maxExamined,
                   const std::function<bool(const Machine&)>& allows) const;
};

}  // namespace cherryloft
