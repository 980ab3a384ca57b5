#include "policy/coupling.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cherryloft::policy {

double alphaOf(bool zoneHolds, bool runsJob) { return !zoneHolds ? 1.0 : runsJob ? 0.7 : 0.8; }

double couplingProbability(double alpha, const Peek& peek, double waiting) {
  double beta = 0.1 + 0.9 * (1.0 - std::exp(-waiting / std::max(peek.withRoom, 1.0)));
  double p = 1.0 - alpha * std::pow(peek.holders, beta) * (1.0 - std::exp(-peek.withRoom));
  return std::clamp(p, 0.0, 1.0);
}

std::vector<std::size_t> sample(std::size_t n, std::size_t k, std::mt19937_64& rng) {
  std::vector<std::size_t> all(n), out;
  std::iota(all.begin(), all.end(), std::size_t{0});
  if (n <= k) return all;
  out.reserve(k);
  std::sample(all.begin(), all.end(), std::back_inserter(out), k, rng);
  return out;
}

}  // namespace cherryloft::policy
