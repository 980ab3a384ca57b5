// What a job is, free of any wire names.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft {

enum class PriorityClass : std::uint8_t { BestEffort, Normal, High, Production };
enum class JobKind : std::uint8_t { Array, Service, Gang };
enum class JobStatus : std::uint8_t { Open, Done, Cancelled };

// Sums of decimal numbers are not exact: what is missing by less does not count.
inline constexpr double kResourceTolerance = 1e-6;

// What a task takes or a machine has: cores, gpus, and memory in gigabytes.
struct Resources {
  double cores = 0;
  double gpus = 0;
  double ram = 0;

  Resources& operator+=(const Resources& other) {
    cores += other.cores;
    gpus += other.gpus;
    ram += other.ram;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cores -= other.cores;
    gpus -= other.gpus;
    ram -= other.ram;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources each, double count) {
    return {each.cores * count, each.gpus * count, each.ram * count};
  }
  [[nodiscard]] bool fitsIn(const Resources& available) const {
    return cores <= available.cores + kResourceTolerance && gpus <= available.gpus + kResourceTolerance &&
           ram <= available.ram + kResourceTolerance;
  }
};

// A job as its user described it. Its tasks are alike.
struct JobSpec {
  JobId id;
  std::string jobClass;
  TeamId team;
  JobKind kind = JobKind::Array;
  PriorityClass priority = PriorityClass::Normal;
  std::uint32_t tasks = 1;
  Resources each;
  std::optional<std::vector<std::string>> types;
  std::optional<Zone> zone;
  bool oneZone = false;
  bool spread = false;
  bool spotAllowed = false;
  ImageId image;
  double imageGb = 0;
  double expectedRunSeconds = 0;
  double checkpointIntervalSeconds = 0;
  double checkpointSeconds = 0;
  std::optional<double> deadlineSeconds;

  [[nodiscard]] bool allowsType(const std::string& type) const {
    if (!types) return true;
    return std::find(types->begin(), types->end(), type) != types->end();
  }
};

// Tasks of a job that another shard places for the shard that owns the job (DESIGN.md, invariant 18).
struct Delegation {
  ShardId shard;
  std::optional<Zone> zone;  // the only one that they may be placed in, where the job's rules need one
  std::vector<std::uint32_t> tasks;  // ascending
  std::optional<Attempt> attempt{};  // of a gang: common to all its members
  bool recalled = false;             // the owner asks for what is not done

  [[nodiscard]] bool contains(std::uint32_t index) const {
    return std::binary_search(tasks.begin(), tasks.end(), index);
  }
};

inline const Delegation* findDelegation(const std::vector<Delegation>& delegations, ShardId shard) {
  for (const auto& delegation : delegations)
    if (delegation.shard == shard) return &delegation;
  return nullptr;
}

// A type of machine that the cloud offers. Prices are per hour.
struct MachineType {
  std::string name;
  Resources size;
  double cacheGb = 0;
  double fetchGbPerS = 0;
  double price = 0;
  double spotPrice = 0;
  double bootSeconds = 0;
  std::vector<Zone> zones;
};
using Catalog = std::vector<MachineType>;

inline const MachineType* findType(const Catalog& catalog, const std::string& name) {
  for (const auto& type : catalog)
    if (type.name == name) return &type;
  return nullptr;
}

}  // namespace cherryloft
