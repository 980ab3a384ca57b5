// Which tasks to stop on one machine so that another fits.
#pragma once

#include <optional>
#include <vector>

#include "base/job.h"

namespace cherryloft::policy {

struct Victim {
  Resources holds;
  double lostS = 0;  // seconds of work that stopping it wastes
};

struct Eviction {
  std::vector<std::size_t> victims;  // indices into what was offered
  double lost = 0;                   // core seconds wasted
};

// A higher rank may stop a lower one; work within a guarantee may stop what another team runs above its own.
// The protocol allows the latter whatever the ranks; here lower ranks do not displace higher ones, as
// services must not give way to batches.
bool mayStop(PriorityClass claimant, bool claimantGuaranteed, bool sameTeam, PriorityClass victim,
             bool victimAboveGuarantee);

// Least lost work first; nothing if stopping all of them would not make the room.
std::optional<Eviction> evict(const Resources& free, const Resources& need,
                              const std::vector<Victim>& offered);

}  // namespace cherryloft::policy
