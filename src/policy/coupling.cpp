#include "policy/coupling.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace cherryloft::policy {

double alphaOf(bool zoneHolds, bool runsJob) { return !zoneHolds ? 1.0 : runsJob ? 0.7 : 0.8; }

double couplingProbability(double alpha, const SampleEstimate& peek, double waiting) {
  double beta = 0.1 + 0.9 * (1.0 - std::exp(-waiting / std::max(peek.withFreeCores, 1.0)));
  double p = 1.0 - alpha * std::pow(peek.holders, beta) * (1.0 - std::exp(-peek.withFreeCores));
  return std::clamp(p, 0.0, 1.0);
}

// Floyd's way: as many steps as there are picked, however large the fleet.
std::vector<std::size_t> sampleIndices(std::size_t n, std::size_t k, std::mt19937_64& rng) {
  std::vector<std::size_t> out;
  if (n <= k) {
    out.resize(n);
    std::iota(out.begin(), out.end(), std::size_t{0});
    return out;
  }
  std::set<std::size_t> picked;
  for (std::size_t j = n - k; j < n; ++j) {
    auto i = std::uniform_int_distribution<std::size_t>(0, j)(rng);
    if (!picked.insert(i).second) picked.insert(j);
  }
  out.assign(picked.begin(), picked.end());
  return out;
}

}  // namespace cherryloft::policy
