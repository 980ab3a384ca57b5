// Strong types for ids, versions and counters, so that the compiler rejects a mix-up of two of them.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cherryloft {

// Wraps a value of type T; instantiations with different tags don't convert to each other. Ordered and hashed
// by its value.
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

// Identifies one attempt to run a task; never reused (makeAttempt).
using Attempt = StrongType<struct AttemptTag, std::uint64_t>;
// Ownership epoch: allocated from a cluster-wide counter on each change of ownership; never reused.
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
// Version of a key in the state service; 0 if the key does not exist.
using Version = StrongType<struct VersionTag, std::uint64_t>;
// Lease of a controller, granted by the state service.
using LeaseId = StrongType<struct LeaseTag, std::uint64_t>;
// Counts the lifetimes of a worker's lease, incremented by the worker; no task of an earlier incarnation
// still runs.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
// Numbers a worker's heartbeats within one incarnation.
using SequenceNumber = StrongType<struct SequenceNumberTag, std::uint64_t>;

// Attempts are never reused because each contains an epoch, which is allocated only once.
inline constexpr unsigned kAttemptCountBits = 24;
inline Attempt makeAttempt(Epoch epoch, std::uint64_t count) {
  return Attempt{(epoch.value << kAttemptCountBits) + count};
}

// Identifies one task of a job; `index` is zero-based.
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
