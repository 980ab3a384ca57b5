// Fencing token with which workers reject commands from a former owner (DESIGN.md, invariants 3 and 5).
#pragma once

#include "base/ids.h"

namespace cherryloft {

// The high bits hold the ownership epoch, the low bits a generation: how many times the owner has advanced
// the token of this machine. A worker rejects any token lower than the highest that it has seen.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;

inline constexpr unsigned kTokenGenerationBits = 20;
// Generations of one epoch, numbered from 0; the next would be a token of the next epoch.
inline constexpr std::uint64_t kTokenGenerations = std::uint64_t{1} << kTokenGenerationBits;
inline FencingToken makeFencingToken(Epoch epoch, std::uint64_t generation = 0) {
  return FencingToken{(epoch.value << kTokenGenerationBits) + generation};
}
inline Epoch epochOf(FencingToken token) { return Epoch{token.value >> kTokenGenerationBits}; }

}  // namespace cherryloft
