#include "scheduler/placement_constraints.h"

#include <algorithm>

namespace cherryloft {
namespace {

// Parts of the time that the class's objective allows from submission to the end.
constexpr double kLongRunPart = 0.7;     // a run this long can't be repeated in time after a lost machine
constexpr double kAfterLossPart = 0.5;   // the same for age and run of a job that lost a task already
constexpr double kInfeasiblePart = 1.3;  // age and run beyond this: the objective is missed anyway

}  // namespace

bool PlacementConstraints::allowsZone(const Job& job, const Zone& zone, unsigned planned) const {
  const auto& spec = *job.spec;
  if (spec.zone && *spec.zone != zone) return false;
  if (job.onlyZone && *job.onlyZone != zone) return false;
  // The owner's shard keeps to the rules about zones (invariant 18).
  if (job.delegation) return !job.delegation->zone || *job.delegation->zone == zone;
  if (spec.oneZone && !job.zones.empty()) {
    bool onlyThere = job.zones.size() == 1 && job.zones.begin()->first == zone;
    if (!onlyThere) return false;
  }
  if (!spec.spread) return true;
  auto tasksThere = job.zones.find(zone);
  return (tasksThere == job.zones.end() ? 0 : tasksThere->second) + planned + 1 <= (spec.tasks + 1) / 2;
}

bool PlacementConstraints::allowsPool(const Job& job, const Pool& pool) const {
  const auto& spec = *job.spec;
  if (!spec.allowsType(pool.type)) return false;
  if (pool.spot && (!spec.spotAllowed || job.avoidSpot)) return false;
  return allowsZone(job, pool.zone);
}

bool PlacementConstraints::allowsMachineKind(const Job& job, const Machine& machine) const {
  const auto& spec = *job.spec;
  if (!spec.allowsType(machine.known.record.type)) return false;
  if (machine.spot() && (!spec.spotAllowed || job.avoidSpot)) return false;
  return !failures_.avoids(job.id, machine.id, state_.machines().size(), runtime_.now());
}

bool PlacementConstraints::allowsMachine(const Job& job, const Machine& machine) const {
  return machine.open() && allowsZone(job, machine.zone()) && allowsMachineKind(job, machine);
}

bool PlacementConstraints::hasCapacity(const Job& job) const {
  return std::any_of(state_.pools().begin(), state_.pools().end(), [&](const Pool& pool) {
    return allowsPool(job, pool) &&
           pool.hasCapacity(job.spec->each, settings_.tuning.sampleSize,
                            [&](const Machine& machine) { return allowsMachine(job, machine); });
  });
}

bool PlacementConstraints::hasFreeCores(const Job& job) const {
  return std::any_of(state_.pools().begin(), state_.pools().end(), [&](const Pool& pool) {
    if (pool.byFreeCores.empty()) return false;
    double mostFreeCores = pool.byFreeCores.rbegin()->first.first;
    return mostFreeCores >= job.spec->each.cores - kResourceTolerance && allowsPool(job, pool);
  });
}

bool PlacementConstraints::fetchMissesStartObjective(const Job& job, const Machine& machine) const {
  auto startWithin = settings_.startWithin(job.spec->jobClass);
  return startWithin && job.holders->count(machine.no) == 0 && machine.fetchS(*job.spec) > *startWithin;
}

bool PlacementConstraints::shouldAvoidSpot(const Job& job) const {
  const auto& spec = *job.spec;
  auto finishWithin = settings_.finishWithin(spec.jobClass);
  if (!spec.spotAllowed || !finishWithin) return false;
  double ageSeconds = static_cast<double>(runtime_.wall().value - job.submitted.value) / 1000.0;
  double expectedEnd = ageSeconds + spec.expectedRunSeconds;
  if (expectedEnd > kInfeasiblePart * *finishWithin) return false;
  if (spec.expectedRunSeconds > kLongRunPart * *finishWithin) return true;
  return job.lost > 0 && expectedEnd > kAfterLossPart * *finishWithin;
}

}  // namespace cherryloft
