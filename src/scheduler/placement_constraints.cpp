#include "scheduler/placement_constraints.h"

#include <algorithm>
#include <limits>

namespace cherryloft {
namespace {

// Fractions of the finish objective (the time from submission to completion) of the job's class.
constexpr double kLongRunFraction = 0.7;     // a longer run can't be repeated in time after a machine loss
constexpr double kAfterLossFraction = 0.5;   // limit for age plus run time of a job that already lost a task
constexpr double kInfeasibleFraction = 1.3;  // age plus run time above this: the objective is missed anyway

constexpr std::uint32_t kNoTaskLimit = std::numeric_limits<std::uint32_t>::max();

}  // namespace

bool PlacementConstraints::allowsZone(const Job& job, const Zone& zone, unsigned planned) const {
  return tasksAllowedIn(job, zone) > planned;
}

std::uint32_t PlacementConstraints::tasksAllowedIn(const Job& job, const Zone& zone) const {
  const auto& spec = *job.spec;
  if (spec.zone && *spec.zone != zone) return 0;
  if (job.requiredZone && *job.requiredZone != zone) return 0;
  // The shard that owns a delegated job enforces its other zone rules (invariant 18).
  if (job.delegation) return !job.delegation->zone || *job.delegation->zone == zone ? kNoTaskLimit : 0;
  if (spec.oneZone && !job.zones.empty()) {
    bool allTasksInZone = job.zones.size() == 1 && job.zones.begin()->first == zone;
    if (!allTasksInZone) return 0;
  }
  if (!spec.spread) return kNoTaskLimit;
  auto tasksInZone = job.zones.find(zone);
  auto placed = tasksInZone == job.zones.end() ? 0 : tasksInZone->second;
  auto limit = (spec.tasks + 1) / 2;
  return limit - std::min(placed, limit);
}

bool PlacementConstraints::allowsPool(const Job& job, const MachinePool& pool) const {
  const auto& spec = *job.spec;
  if (!spec.allowsType(pool.type) || spec.imageGb > pool.cacheGb) return false;
  if (pool.spot && (!spec.spotAllowed || job.avoidSpot)) return false;
  return allowsZone(job, pool.zone);
}

bool PlacementConstraints::allowsMachineIgnoringZone(const Job& job, const Machine& machine) const {
  const auto& spec = *job.spec;
  if (!spec.allowsType(machine.known.record.type) || spec.imageGb > machine.images.capacityGb()) return false;
  if (machine.spot() && (!spec.spotAllowed || job.avoidSpot)) return false;
  return !failures_.shouldAvoid(job.id, machine.id, state_.machines().size(), runtime_.now());
}

bool PlacementConstraints::allowsMachine(const Job& job, const Machine& machine) const {
  return machine.open() && allowsZone(job, machine.zone()) && allowsMachineIgnoringZone(job, machine);
}

bool PlacementConstraints::hasCapacity(const Job& job) const {
  return std::any_of(state_.pools().begin(), state_.pools().end(), [&](const MachinePool& pool) {
    return allowsPool(job, pool) &&
           pool.hasCapacity(job.spec->each, settings_.tuning.sampleSize,
                            [&](const Machine& machine) { return allowsMachine(job, machine); });
  });
}

bool PlacementConstraints::hasFreeCores(const Job& job) const {
  return std::any_of(state_.pools().begin(), state_.pools().end(), [&](const MachinePool& pool) {
    if (pool.byFreeCores.empty()) return false;
    double maxFreeCores = pool.byFreeCores.rbegin()->first.first;
    return maxFreeCores >= job.spec->each.cores - kResourceTolerance && allowsPool(job, pool);
  });
}

bool PlacementConstraints::fetchMissesStartObjective(const Job& job, const Machine& machine) const {
  auto startWithin = settings_.startWithin(job.spec->jobClass);
  return startWithin && job.imageHolders->count(machine.no) == 0 &&
         machine.imageFetchSeconds(*job.spec) > *startWithin;
}

bool PlacementConstraints::shouldAvoidSpot(const Job& job) const {
  const auto& spec = *job.spec;
  auto finishWithin = settings_.finishWithin(spec.jobClass);
  if (!spec.spotAllowed || !finishWithin) return false;
  double ageSeconds = static_cast<double>(runtime_.wall().value - job.submitted.value) / 1000.0;
  double expectedEnd = ageSeconds + spec.expectedRunSeconds;
  if (expectedEnd > kInfeasibleFraction * *finishWithin) return false;
  if (spec.expectedRunSeconds > kLongRunFraction * *finishWithin) return true;
  return job.lost > 0 && expectedEnd > kAfterLossFraction * *finishWithin;
}

}  // namespace cherryloft
