// Points and spans of time. Actors are told the time by their Runtime and never read a clock.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/ids.h"

namespace cherryloft {

// Steady time of this controller, in milliseconds. Runs on while the process stands still.
struct SteadyTag {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<SteadyTag>;
  static constexpr bool is_steady = true;
};
using Duration = SteadyTag::duration;
using Time = SteadyTag::time_point;
// Time of day in milliseconds since 1970, good to `clock_error_ms` of the settings.
using WallTime = StrongType<struct WallTag, std::int64_t>;

inline constexpr double kMillisecondsPerSecond = 1000.0;
inline Duration seconds(double count) {
  return Duration{static_cast<std::int64_t>(count * kMillisecondsPerSecond)};
}
inline double toSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMillisecondsPerSecond;
}

}  // namespace cherryloft
