#include "policy/preemption.h"

#include <algorithm>
#include <numeric>

namespace cherryloft::policy {
namespace {

// Lower bound for the cores that the cost is computed from: tasks with hardly any cores still have a cost.
constexpr double kMinCostCores = 0.01;

double lostCoreSeconds(const VictimCandidate& candidate) {
  return candidate.lostSeconds * std::max(candidate.allocated.cores, kMinCostCores);
}

std::vector<std::size_t> indicesByCost(const std::vector<VictimCandidate>& candidates) {
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return lostCoreSeconds(candidates[left]) < lostCoreSeconds(candidates[right]);
  });
  return order;
}

}  // namespace

bool mayPreempt(const Preemptor& preemptor, const PreemptionTarget& target) {
  if (preemptor.priority != target.priority) return preemptor.priority > target.priority;
  return preemptor.withinGuarantee && !target.sameTeam && target.teamAboveGuarantee;
}

std::optional<VictimSelection> selectVictims(const Resources& free, const Resources& needed,
                                             const std::vector<VictimCandidate>& candidates) {
  Resources available = free;
  VictimSelection selection;
  auto& victims = selection.victims;
  for (auto index : indicesByCost(candidates)) {
    if (needed.fitsIn(available)) break;
    available += candidates[index].allocated;
    victims.push_back(index);
  }
  if (!needed.fitsIn(available)) return std::nullopt;
  // Drops victims made redundant by larger ones that were added later, the most expensive first.
  for (std::size_t position = victims.size(); position-- > 0;) {
    auto without = available - candidates[victims[position]].allocated;
    if (!needed.fitsIn(without)) continue;
    available = without;
    victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(position));
  }
  for (auto index : victims) selection.lostCoreSeconds += lostCoreSeconds(candidates[index]);
  return selection;
}

}  // namespace cherryloft::policy
