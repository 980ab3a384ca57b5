// Time points and durations. Actors get the time from their Runtime and never read a clock directly.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/ids.h"

namespace cherryloft {

// Monotonic time of this controller, in milliseconds. Continues to advance while the process is suspended.
struct SteadyTag {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<SteadyTag>;
  static constexpr bool is_steady = true;
};
using Duration = SteadyTag::duration;
using Time = SteadyTag::time_point;
// Wall-clock time in milliseconds since the Unix epoch, accurate to the `clock_error_ms` setting.
using WallTime = StrongType<struct WallTag, std::int64_t>;

inline constexpr double kMillisecondsPerSecond = 1000.0;
inline Duration seconds(double count) {
  return Duration{static_cast<std::int64_t>(count * kMillisecondsPerSecond)};
}
inline double toSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMillisecondsPerSecond;
}

}  // namespace cherryloft
