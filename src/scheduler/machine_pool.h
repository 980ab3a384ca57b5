// Pool: a shard's machines of one type in one zone, ordinary or spot, by the cores that are free on them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/job.h"

namespace cherryloft {

struct Machine;

struct Pool {
  std::string type;
  Zone zone;
  bool spot = false;
  Resources size;            // of each machine; nothing while the type is not in the catalog
  double fetchGbPerS = 0;    // at which a machine fetches images
  std::size_t machines = 0;  // open or not
  std::size_t booting = 0;   // never heard yet, when last counted
  // Only machines that take new work, by free cores and number. Kept by ShardState::reindex.
  using ByFreeCores = std::map<std::pair<double, std::uint32_t>, Machine*>;
  ByFreeCores byFreeCores;

  // The fullest machine that has so many cores free; those after it have more.
  ByFreeCores::const_iterator withFreeCores(double cores) const {
    return byFreeCores.lower_bound({cores - kResourceTolerance, 0});
  }
  // Whether a machine has room for such a task and is allowed for it, with at most so many examined.
  bool hasCapacity(const Resources& each, unsigned mostExamined,
                   const std::function<bool(const Machine&)>& allows) const;
};

}  // namespace cherryloft
