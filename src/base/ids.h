// StrongType types for ids, versions and counters, so that two of them are never mistaken for one another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cherryloft {

// A value of type T that converts to no other StrongType type. Ordered and hashed as its value.
template <class Tag, class T>
struct StrongType {
  T value{};
  friend auto operator<=>(const StrongType&, const StrongType&) = default;
  friend bool operator==(const StrongType&, const StrongType&) = default;
};

using JobId = StrongType<struct JobTag, std::string>;
using MachineId = StrongType<struct MachineTag, std::string>;
using TeamId = StrongType<struct TeamTag, std::string>;
using ControllerId = StrongType<struct ControllerTag, std::string>;
using Zone = StrongType<struct ZoneTag, std::string>;
using ImageId = StrongType<struct ImageTag, std::string>;
using ShardId = StrongType<struct ShardTag, std::uint32_t>;

// One try to run a task; unique for ever (makeAttempt).
using Attempt = StrongType<struct AttemptTag, std::uint64_t>;
// Drawn from one counter of the cluster with every change of ownership; never given twice.
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
// Of a key in the state service; 0: the key does not exist.
using Version = StrongType<struct VersionTag, std::uint64_t>;
// Of a controller, granted by the state service.
using LeaseId = StrongType<struct LeaseTag, std::uint64_t>;
// One life of a worker's lease, counted by the worker; what an earlier one ran is gone.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
// Of a worker's heartbeats within one incarnation.
using SequenceNumber = StrongType<struct SequenceNumberTag, std::uint64_t>;

// Attempts are unique for ever, as the epoch they carry is allocated once.
inline constexpr unsigned kAttemptCountBits = 24;
inline Attempt makeAttempt(Epoch epoch, std::uint64_t count) {
  return Attempt{(epoch.value << kAttemptCountBits) + count};
}

// One task of a job; `index` counts from 0.
struct TaskId {
  JobId job;
  std::uint32_t index = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
  friend bool operator==(const TaskId&, const TaskId&) = default;
};

}  // namespace cherryloft

template <class Tag, class T>
struct std::hash<cherryloft::StrongType<Tag, T>> {
  std::size_t operator()(const cherryloft::StrongType<Tag, T>& id) const { return std::hash<T>{}(id.value); }
};
