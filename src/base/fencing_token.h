// The fencing token by which workers refuse commands of a former owner (DESIGN.md, invariants 3 and 5).
#pragma once

#include "base/ids.h"

namespace cherryloft {

// What workers compare: the epoch of ownership in the high bits, and in the low ones how often the owner has
// advanced the token of this machine. A worker obeys no token lower than the highest it has seen.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;

inline constexpr unsigned kTokenGenerationBits = 20;
inline FencingToken makeFencingToken(Epoch epoch, std::uint64_t generation = 0) {
  return FencingToken{(epoch.value << kTokenGenerationBits) + generation};
}
inline Epoch epochOf(FencingToken token) { return Epoch{token.value >> kTokenGenerationBits}; }

}  // namespace cherryloft
