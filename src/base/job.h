// Domain types for jobs and machine types, independent of any wire format.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft {

enum class PriorityClass : std::uint8_t { BestEffort, Normal, High, Production };
enum class JobKind : std::uint8_t { Array, Service, Gang };
enum class JobStatus : std::uint8_t { Open, Done, Cancelled };

// Tolerance for rounding errors in sums of resources: a smaller shortfall is ignored.
inline constexpr double kResourceTolerance = 1e-6;

// Resources that a task requires or a machine provides.
struct Resources {
  double cores = 0;
  double gpus = 0;
  double ram = 0;  // GB

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
  friend Resources operator*(Resources unit, double count) {
    return {unit.cores * count, unit.gpus * count, unit.ram * count};
  }
  [[nodiscard]] bool fitsIn(const Resources& available) const {
    return cores <= available.cores + kResourceTolerance && gpus <= available.gpus + kResourceTolerance &&
           ram <= available.ram + kResourceTolerance;
  }
};

// How many tasks of that size fit into the available resources.
inline std::uint32_t tasksThatFit(const Resources& each, const Resources& available) {
  constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();
  if (!each.fitsIn(available)) return 0;
  auto limit = static_cast<double>(kUnlimited);
  auto restrict = [&limit](double needed, double present) {
    if (needed > 0) limit = std::min(limit, std::floor((present + kResourceTolerance) / needed));
  };
  restrict(each.cores, available.cores);
  restrict(each.gpus, available.gpus);
  restrict(each.ram, available.ram);
  return static_cast<std::uint32_t>(limit);
}

// Specification of a job as submitted by its user. All tasks of a job are identical.
struct JobSpec {
  JobId id;
  std::string jobClass;
  TeamId team;
  JobKind kind = JobKind::Array;
  PriorityClass priority = PriorityClass::Normal;
  std::uint32_t tasks = 1;
  Resources each;                                 // requested by each task
  std::optional<std::vector<std::string>> types;  // allowed machine types; not set: any
  std::optional<Zone> zone;                       // the only zone allowed; not set: any
  bool oneZone = false;                           // all tasks must be in the same zone
  bool spread = false;                            // tasks must be spread over zones
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
  ShardId shard;                     // the delegate
  std::optional<Zone> zone;          // the only allowed zone, if the job's placement rules require one
  std::vector<std::uint32_t> tasks;  // indices in ascending order
  std::optional<Attempt> attempt{};  // for a gang: shared by all its members
  bool recalled = false;             // the owner has requested the return of all tasks that are not done

  [[nodiscard]] bool contains(std::uint32_t index) const {
    return std::binary_search(tasks.begin(), tasks.end(), index);
  }
};

inline const Delegation* findDelegation(const std::vector<Delegation>& delegations, ShardId shard) {
  for (const auto& delegation : delegations)
    if (delegation.shard == shard) return &delegation;
  return nullptr;
}

// A machine type offered by the cloud provider. Prices are per hour.
struct MachineType {
  std::string name;
  Resources size;
  double cacheGb = 0;      // image cache
  double fetchGbPerS = 0;  // image download rate
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
