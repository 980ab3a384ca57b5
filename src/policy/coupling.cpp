#include "policy/coupling.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace cherryloft::policy {

double localityAlpha(ImageLocality locality) {
  switch (locality) {
    case ImageLocality::OutsideZone:
      return 1.0;
    case ImageLocality::InZone:
      return 0.8;
    case ImageLocality::InZoneWithJobTasks:
      return 0.7;
  }
  return 1.0;
}

double couplingProbability(double alpha, const SampleEstimate& estimate, double waitingTasks) {
  double beta = 0.1 + 0.9 * (1.0 - std::exp(-waitingTasks / std::max(estimate.machinesWithCapacity, 1.0)));
  double probability = 1.0 - alpha * std::pow(estimate.cachedFraction, beta) *
                                 (1.0 - std::exp(-estimate.machinesWithCapacity));
  return std::clamp(probability, 0.0, 1.0);
}

std::vector<std::size_t> sampleIndices(std::size_t population, std::size_t count, std::mt19937_64& rng) {
  if (population <= count) {
    std::vector<std::size_t> all(population);
    std::iota(all.begin(), all.end(), std::size_t{0});
    return all;
  }
  std::set<std::size_t> sampled;
  for (std::size_t last = population - count; last < population; ++last) {
    auto drawn = std::uniform_int_distribution<std::size_t>(0, last)(rng);
    bool inserted = sampled.insert(drawn).second;
    if (!inserted) sampled.insert(last);
  }
  return {sampled.begin(), sampled.end()};
}

}  // namespace cherryloft::policy
