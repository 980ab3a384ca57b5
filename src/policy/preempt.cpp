#include "policy/preempt.h"

#include <algorithm>
#include <numeric>

namespace cherryloft::policy {

bool mayStop(PriorityClass claimant, bool claimantGuaranteed, bool sameTeam, PriorityClass victim,
             bool victimAboveGuarantee) {
  return claimant > victim || (claimant == victim && claimantGuaranteed && !sameTeam && victimAboveGuarantee);
}

std::optional<Eviction> evict(const Resources& free, const Resources& need,
                              const std::vector<Victim>& offered) {
  std::vector<std::size_t> order(offered.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  auto cost = [&](std::size_t i) { return offered[i].lostS * std::max(offered[i].holds.cores, 0.01); };
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return cost(a) < cost(b); });
  Resources room = free;
  Eviction e;
  for (auto i : order) {
    if (need.fitsIn(room)) break;
    room += offered[i].holds;
    e.victims.push_back(i);
  }
  if (!need.fitsIn(room)) return std::nullopt;
  // The dearest first: what turned out not to be needed runs on.
  for (std::size_t n = e.victims.size(); n-- > 0;) {
    auto without = room - offered[e.victims[n]].holds;
    if (!need.fitsIn(without)) continue;
    room = without;
    e.victims.erase(e.victims.begin() + static_cast<std::ptrdiff_t>(n));
  }
  for (auto i : e.victims) e.lost += cost(i);
  return e;
}

}  // namespace cherryloft::policy
