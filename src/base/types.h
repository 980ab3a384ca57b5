// Small types of their own for ids, versions and times.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cherryloft {

template <class Tag, class T>
struct Strong {
  T value{};
  friend auto operator<=>(const Strong&, const Strong&) = default;
  friend bool operator==(const Strong&, const Strong&) = default;
};

using JobId = Strong<struct JobTag, std::string>;
using MachineId = Strong<struct MachineTag, std::string>;
using TeamId = Strong<struct TeamTag, std::string>;
using ControllerId = Strong<struct ControllerTag, std::string>;
using Zone = Strong<struct ZoneTag, std::string>;
using ImageId = Strong<struct ImageTag, std::string>;

using Attempt = Strong<struct AttemptTag, std::uint64_t>;
using Epoch = Strong<struct EpochTag, std::uint64_t>;
// What workers compare: an epoch in the high bits, the owner's own count of raises in the low ones.
using FencingToken = Strong<struct FencingTokenTag, std::uint64_t>;
using Version = Strong<struct VersionTag, std::uint64_t>;
using LeaseId = Strong<struct LeaseTag, std::uint64_t>;
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
using SequenceNumber = Strong<struct SequenceNumberTag, std::uint64_t>;
using ShardId = Strong<struct ShardTag, std::uint32_t>;

inline constexpr unsigned kTokenGenerationBits = 20;
inline FencingToken tokenOf(Epoch epoch, std::uint64_t tokenGeneration = 0) {
  return FencingToken{(epoch.value << kTokenGenerationBits) + tokenGeneration};
}
inline Epoch epochOf(FencingToken t) { return Epoch{t.value >> kTokenGenerationBits}; }
// Attempts are unique for ever, as the epoch they carry was drawn once.
inline Attempt attemptOf(Epoch epoch, std::uint64_t count) { return Attempt{(epoch.value << 24) + count}; }

struct TaskId {
  JobId job;
  std::uint32_t index = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
  friend bool operator==(const TaskId&, const TaskId&) = default;
};

// Steady time of this controller.
struct SteadyTag {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<SteadyTag>;
  static constexpr bool is_steady = true;
};
using Duration = SteadyTag::duration;
using Time = SteadyTag::time_point;
// Time of day in milliseconds, good to the bound in the settings.
using WallTime = Strong<struct WallTag, std::int64_t>;

inline Duration seconds(double s) { return Duration{static_cast<std::int64_t>(s * 1000.0)}; }
inline double inSeconds(Duration d) { return static_cast<double>(d.count()) / 1000.0; }

}  // namespace cherryloft

template <class Tag, class T>
struct std::hash<cherryloft::Strong<Tag, T>> {
  std::size_t operator()(const cherryloft::Strong<Tag, T>& id) const { return std::hash<T>{}(id.value); }
};
