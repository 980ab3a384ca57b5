// The probability of placing a task away from its image: formula (3) of "Coupling Task Progress for MapReduce
// Resource-Aware Scheduling", as read in DESIGN.md, section 2. Pure functions, but for the generator that is
// handed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace cherryloft::policy {

// What a random sample of the shard's machines says about all of them (the paper's random peeking).
struct SampleEstimate {
  double cachedFraction = 0;  // the paper's p-hat: sampled machines that cache the image and have capacity
  double machinesWithCapacity = 0;  // the paper's N-hat: machines times the sampled fraction with capacity
};

// How close a machine without the image is to the job's data: the paper's rack is a zone here.
enum class ImageLocality : std::uint8_t {
  OutsideZone,         // no machine of its zone caches the image
  InZone,              // a machine of its zone does
  InZoneWithJobTasks,  // the same, and it runs tasks of the job
};

// The paper's alpha: 1.0, 0.8 or 0.7. The lower, the likelier a start on the machine.
[[nodiscard]] double localityAlpha(ImageLocality locality);

// The probability, in [0, 1], of starting a task on a machine that does not cache its image; `waitingTasks`
// is the paper's M, the tasks of the job that wait.
[[nodiscard]] double couplingProbability(double alpha, const SampleEstimate& estimate, double waitingTasks);

// `count` distinct indices below `population`, ascending; all of them, without a draw, if there are no more.
// Takes `count` draws from the generator, however large the population (Floyd's algorithm).
[[nodiscard]] std::vector<std::size_t> sampleIndices(std::size_t population, std::size_t count,
                                                     std::mt19937_64& rng);

}  // namespace cherryloft::policy
