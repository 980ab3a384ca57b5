// Random peeking: the paper's formula (3), read as DESIGN.md section 2 says.
#pragma once

#include <cstddef>
#include <random>
#include <vector>

namespace cherryloft::policy {

struct SampleEstimate {
  double holders = 0;        // p-hat: fraction of the sampled machines that cache the image and have room
  double withFreeCores = 0;  // N-hat: owned machines times the sampled fraction with room
};

// Alpha: 0.7 if the zone holds the image and the machine runs tasks of the job, 0.8 for the zone alone.
double alphaOf(bool zoneHolds, bool runsJob);
// Chance of starting a task on a machine that does not cache its image; waiting is the job's M.
double couplingProbability(double alpha, const SampleEstimate& peek, double waiting);

// k of n indices without replacement, all of them if there are fewer.
std::vector<std::size_t> sampleIndices(std::size_t n, std::size_t k, std::mt19937_64& rng);

}  // namespace cherryloft::policy
