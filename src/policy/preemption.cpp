#include "policy/preemption.h"

#include <algorithm>
#include <numeric>

namespace cherryloft::policy {
namespace {

constexpr double kLeastCores =
    0.01;  // a task with fewer counts as having so many, so that it isn't free to stop

double lostCoreSeconds(const VictimCandidate& candidate) {
  return candidate.lostSeconds * std::max(candidate.held.cores, kLeastCores);
}

std::vector<std::size_t> cheapestFirst(const std::vector<VictimCandidate>& candidates) {
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
  for (auto index : cheapestFirst(candidates)) {
    if (needed.fitsIn(available)) break;
    available += candidates[index].held;
    victims.push_back(index);
  }
  if (!needed.fitsIn(available)) return std::nullopt;
  // Spare the most expensive ones that later, larger victims made unnecessary.
  for (std::size_t position = victims.size(); position-- > 0;) {
    auto without = available - candidates[victims[position]].held;
    if (!needed.fitsIn(without)) continue;
    available = without;
    victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(position));
  }
  for (auto index : victims) selection.lostCoreSeconds += lostCoreSeconds(candidates[index]);
  return selection;
}

}  // namespace cherryloft::policy
