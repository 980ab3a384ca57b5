#include "scheduler/eviction_planner.h"

#include <algorithm>

#include "policy/coupling.h"
#include "policy/gang.h"

namespace cherryloft {
namespace {

// Preemption costs, in seconds of lost progress.
constexpr double kReplicaMoveCostSeconds = 600;  // of a service replica, added to its progress
constexpr double kGangRestartCostSeconds = 120;  // of each gang member, as the whole gang restarts
// The lost work, in core-seconds, that a start within the start objective is worth.
constexpr double kTimelyStartCoreSeconds = 100;
// From the end of a victim to the start of the task that replaces it.
constexpr double kStopToStartSeconds = 0.5;

policy::Preemptor preemptorOf(const PendingJob& pending) {
  return {pending.job->spec->priority, pending.orderKey.withinGuarantee};
}

double totalLostCoreSeconds(const std::vector<PlannedEviction>& plan) {
  double sum = 0;
  for (const auto& eviction : plan) sum += eviction.lostCoreSeconds;
  return sum;
}

}  // namespace

Resources& CapacityForecast::availableOn(const Machine& machine) {
  auto [entry, inserted] = byMachine_.try_emplace(machine.no);
  if (inserted) entry->second = machine.free() + machine.capacityBeingFreed();
  return entry->second;
}

bool EvictionPlanner::isEligibleVictim(const Job& job, const policy::Preemptor& preemptor,
                                       const Placement& placement) const {
  // Placements of the current round are not evicted: the two jobs would displace each other indefinitely.
  if (!placement.committed || !placement.desired) return false;
  const auto& spec = *placement.job->spec;
  const Team* team = settings_.team(spec.team);
  bool teamAboveGuarantee =
      team && state_.teamUsage(spec.team).cores - spec.each.cores >= team->cores - kResourceTolerance;
  return policy::mayPreempt(preemptor, {spec.priority, spec.team == job.spec->team, teamAboveGuarantee});
}

// The progress lost by stopping the task, plus the additional cost of service replicas and gang members.
double EvictionPlanner::lostSeconds(const Placement& placement) const {
  const auto& spec = *placement.job->spec;
  bool isRunning = placement.observed && placement.phase == wire::TaskPhase::Running;
  double seconds = isRunning ? toSeconds(now_ - placement.runningSince) : 0;
  if (placement.job->isGang()) {
    double secondsPerMember =
        policy::progressSinceCheckpoint(seconds, spec.checkpointIntervalSeconds) + kGangRestartCostSeconds;
    seconds = secondsPerMember * placement.job->placed;
  } else if (spec.checkpointIntervalSeconds > 0) {
    seconds = std::min(seconds, spec.checkpointIntervalSeconds);
  }
  if (spec.kind == JobKind::Service) seconds += kReplicaMoveCostSeconds;
  return seconds;
}

EvictionPlanner::VictimCandidates EvictionPlanner::victimCandidates(const Job& job,
                                                                    const policy::Preemptor& preemptor,
                                                                    const Machine& machine,
                                                                    const std::set<TaskId>& excluded) const {
  VictimCandidates candidates;
  for (const auto& [task, placement] : machine.placements) {
    if (excluded.count(task) > 0 || !isEligibleVictim(job, preemptor, placement)) continue;
    candidates.tasks.push_back(task);
    candidates.costs.push_back({placement.job->spec->each, lostSeconds(placement)});
  }
  return candidates;
}

bool EvictionPlanner::shouldPreemptForCachedImage(const Job& job) const {
  const policy::Preemptor preemptor{job.spec->priority, false};
  if (!state_.mayPreempt(preemptor.priority, preemptor.withinGuarantee)) return false;
  unsigned examined = 0;
  for (const auto& [_, machine] : *job.imageHolders) {
    if (!constraints_.allowsMachine(job, *machine)) continue;
    ++examined;
    if (examined > settings_.tuning.sampleSize) return false;
    auto selection = policy::selectVictims(machine->free() + machine->capacityBeingFreed(), job.spec->each,
                                           victimCandidates(job, preemptor, *machine, {}).costs);
    if (selection && selection->lostCoreSeconds <= kTimelyStartCoreSeconds) return true;
  }
  return false;
}

std::vector<Machine*> EvictionPlanner::sampleMachines(const Job& job, std::mt19937_64& rng) const {
  std::vector<Machine*> machines;
  for (const auto& [_, machine] : *job.imageHolders) {
    if (machines.size() >= settings_.tuning.sampleSize) break;
    if (constraints_.allowsMachine(job, *machine)) machines.push_back(machine);
  }
  const auto& open = state_.openMachines();
  for (auto index : policy::sampleIndices(open.size(), settings_.tuning.sampleSize, rng)) {
    bool cachesImage = job.imageHolders->count(open[index]->no) > 0;
    if (!cachesImage && constraints_.allowsMachine(job, *open[index])) machines.push_back(open[index]);
  }
  return machines;
}

std::optional<PlannedEviction> EvictionPlanner::planForTask(const PendingJob& pending,
                                                            const std::vector<Machine*>& machines,
                                                            CapacityForecast& forecast) const {
  return cheapestEviction(pending, machines, forecast, {});
}

std::optional<PlannedEviction> EvictionPlanner::cheapestEviction(const PendingJob& pending,
                                                                 const std::vector<Machine*>& machines,
                                                                 CapacityForecast& forecast,
                                                                 const std::set<TaskId>& excluded) const {
  const Job& job = *pending.job;
  std::optional<PlannedEviction> best;
  for (Machine* machine : machines) {
    auto candidates = victimCandidates(job, preemptorOf(pending), *machine, excluded);
    auto selection = policy::selectVictims(forecast.availableOn(*machine), job.spec->each, candidates.costs);
    if (!selection) continue;
    double lost = selection->lostCoreSeconds;
    if (constraints_.fetchMissesStartObjective(job, *machine)) lost += kTimelyStartCoreSeconds;
    if (best && lost >= best->lostCoreSeconds) continue;
    best = PlannedEviction{machine, lost, {}};
    for (auto index : selection->victims) best->victims.push_back(candidates.tasks[index]);
  }
  return best;
}

std::optional<std::vector<PlannedEviction>> EvictionPlanner::planForGang(
    const PendingJob& pending, const std::vector<Machine*>& machines,
    const CapacityForecast& forecast) const {
  // Each zone separately, or all zones together under an empty key.
  std::map<Zone, std::vector<Machine*>> candidatesByZone;
  for (Machine* machine : machines)
    candidatesByZone[pending.job->spec->oneZone ? machine->zone() : Zone{}].push_back(machine);
  std::optional<std::vector<PlannedEviction>> best;
  for (const auto& [_, candidates] : candidatesByZone) {
    auto plan = planAllMembers(pending, candidates, forecast);
    if (!plan) continue;
    if (!best || totalLostCoreSeconds(*plan) < totalLostCoreSeconds(*best)) best = std::move(plan);
  }
  return best;
}

std::optional<std::vector<PlannedEviction>> EvictionPlanner::planAllMembers(
    const PendingJob& pending, const std::vector<Machine*>& machines, CapacityForecast forecast) const {
  std::vector<PlannedEviction> plan;
  std::set<TaskId> victims;
  for (std::size_t member = 0; member < pending.job->waiting.size(); ++member) {
    auto eviction = cheapestEviction(pending, machines, forecast, victims);
    if (!eviction) return std::nullopt;
    auto& available = forecast.availableOn(*eviction->machine);
    for (const auto& task : eviction->victims) {
      victims.insert(task);
      available += eviction->machine->placements.at(task).job->spec->each;
    }
    available -= pending.job->spec->each;
    plan.push_back(std::move(*eviction));
  }
  return plan;
}

bool EvictionPlanner::leavesTimeForCheckpoint(const PendingJob& pending, const Machine& machine,
                                              const JobSpec& victim) const {
  const auto& spec = *pending.job->spec;
  auto startWithin = settings_.startWithin(spec.jobClass);
  if (pending.orderKey.withinGuarantee && settings_.guaranteeStartWithinS)
    startWithin =
        std::min(startWithin.value_or(*settings_.guaranteeStartWithinS), *settings_.guaranteeStartWithinS);
  if (!startWithin) return true;
  bool cachesImage = pending.job->imageHolders->count(machine.no) > 0;
  double fetchSeconds = cachesImage ? 0 : machine.imageFetchSeconds(spec);
  double slackSeconds = *startWithin - pending.orderKey.ageSeconds - fetchSeconds - kStopToStartSeconds;
  return slackSeconds < 0 || victim.checkpointSeconds <= slackSeconds;
}

}  // namespace cherryloft
