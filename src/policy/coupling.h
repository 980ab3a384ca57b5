// The probability of placing a task on a machine that does not cache its image: formula (3) of "Coupling Task
// Progress for MapReduce Resource-Aware Scheduling", interpreted as in DESIGN.md, section 2. Pure functions,
// except for the state of the random generator that is passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace cherryloft::policy {

// Estimates for all machines of the shard from a random sample of them (the paper's "random peeking").
struct SampleEstimate {
  double cachedFraction = 0;        // the paper's p-hat: fraction of the sample with the image and capacity
  double machinesWithCapacity = 0;  // the paper's N-hat: estimated machines with capacity
};

// How close a machine without the image is to the job's data. Zones stand in for the paper's racks.
enum class ImageLocality : std::uint8_t {
  OutsideZone,         // no machine in its zone caches the image
  InZone,              // a machine in its zone caches the image
  InZoneWithJobTasks,  // likewise, and the machine itself runs tasks of the job
};

// The paper's alpha: 1.0, 0.8 or 0.7. A lower value makes placement on the machine more likely.
[[nodiscard]] double localityAlpha(ImageLocality locality);

// The probability, in [0, 1], of placing a task on a machine that does not cache its image; `waitingTasks` is
// the paper's M, the number of the job's waiting tasks.
[[nodiscard]] double couplingProbability(double alpha, const SampleEstimate& estimate, double waitingTasks);

// `count` distinct random indices below `population`, in ascending order, by Floyd's algorithm: `count` draws
// from the generator for any population. If the population is not larger than `count`, returns all indices
// without a draw.
[[nodiscard]] std::vector<std::size_t> sampleIndices(std::size_t population, std::size_t count,
                                                     std::mt19937_64& rng);

}  // namespace cherryloft::policy
