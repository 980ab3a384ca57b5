#include "scheduler/eviction_planner.h"

#include <algorithm>

#include "policy/coupling.h"
#include "policy/gang.h"

namespace cherryloft {
namespace {

constexpr double kServiceLossSeconds = 600;  // of work that moving a replica counts as
constexpr double kGangLossSeconds = 120;     // the same for each member of a gang, as all start anew
constexpr double kStartInTimeCoreSeconds =
    100;                                     // of lost work that a start in time for its objective is worth
constexpr double kStopToStartSeconds = 0.5;  // from a victim's end to the start of the task that replaces it

policy::Preemptor preemptorOf(const PendingJob& pending) {
  return {pending.job->spec->priority, pending.orderKey.withinGuarantee};
}

double totalLoss(const std::vector<PlannedEviction>& plan) {
  double sum = 0;
  for (const auto& eviction : plan) sum += eviction.lostCoreSeconds;
  return sum;
}

}  // namespace

Resources& CapacityForecast::of(const Machine& machine) {
  auto [entry, isNew] = byMachine_.try_emplace(machine.no);
  if (isNew) entry->second = machine.free() + machine.capacityBeingFreed();
  return entry->second;
}

bool EvictionPlanner::isEligibleVictim(const Job& job, const policy::Preemptor& preemptor,
                                       const Placement& placement) const {
  // What this very round placed is not stopped by it: the two jobs would displace each other for ever.
  if (!placement.committed || !placement.wanted) return false;
  const auto& spec = *placement.job->spec;
  const Team* team = settings_.team(spec.team);
  bool teamAboveGuarantee =
      team && state_.teamUse(spec.team).cores - spec.each.cores >= team->cores - kResourceSlack;
  return policy::mayPreempt(preemptor, {spec.priority, spec.team == job.spec->team, teamAboveGuarantee});
}

// The progress that stopping the task loses, counting what its kind makes more costly.
double EvictionPlanner::lostSeconds(const Placement& placement) const {
  const auto& spec = *placement.job->spec;
  bool isRunning = placement.shown && placement.phase == wire::TaskPhase::Running;
  double seconds = isRunning ? inSeconds(now_ - placement.runningSince) : 0;
  if (placement.job->isGang()) {
    double perMember =
        policy::lostSinceCheckpoint(seconds, spec.checkpointIntervalSeconds) + kGangLossSeconds;
    seconds = perMember * placement.job->placed;
  } else if (spec.checkpointIntervalSeconds > 0) {
    seconds = std::min(seconds, spec.checkpointIntervalSeconds);
  }
  if (spec.kind == JobKind::Service) seconds += kServiceLossSeconds;
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

bool EvictionPlanner::isHolderWorthPreempting(const Job& job) const {
  const policy::Preemptor preemptor{job.spec->priority, false};
  if (!state_.mayPreempt(preemptor.priority, preemptor.withinGuarantee)) return false;
  unsigned examined = 0;
  for (const auto& [_, machine] : *job.holders) {
    if (!constraints_.allowsMachine(job, *machine)) continue;
    ++examined;
    if (examined > settings_.tuning.sampleSize) return false;
    auto selection = policy::selectVictims(machine->free() + machine->capacityBeingFreed(), job.spec->each,
                                           victimCandidates(job, preemptor, *machine, {}).costs);
    if (selection && selection->lostCoreSeconds <= kStartInTimeCoreSeconds) return true;
  }
  return false;
}

std::vector<Machine*> EvictionPlanner::sampleMachines(const Job& job, std::mt19937_64& rng) const {
  std::vector<Machine*> machines;
  for (const auto& [_, machine] : *job.holders) {
    if (machines.size() >= settings_.tuning.sampleSize) break;
    if (constraints_.allowsMachine(job, *machine)) machines.push_back(machine);
  }
  const auto& open = state_.openMachines();
  for (auto index : policy::sampleIndices(open.size(), settings_.tuning.sampleSize, rng)) {
    bool isHolder = job.holders->count(open[index]->no) > 0;
    if (!isHolder && constraints_.allowsMachine(job, *open[index])) machines.push_back(open[index]);
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
    auto selection = policy::selectVictims(forecast.of(*machine), job.spec->each, candidates.costs);
    if (!selection) continue;
    double lost = selection->lostCoreSeconds;
    if (constraints_.fetchMissesStartObjective(job, *machine)) lost += kStartInTimeCoreSeconds;
    if (best && lost >= best->lostCoreSeconds) continue;
    best = PlannedEviction{machine, lost, {}};
    for (auto index : selection->victims) best->victims.push_back(candidates.tasks[index]);
  }
  return best;
}

std::optional<std::vector<PlannedEviction>> EvictionPlanner::planForGang(
    const PendingJob& pending, const std::vector<Machine*>& machines,
    const CapacityForecast& forecast) const {
  // Each zone by itself, or all of them together under no name.
  std::map<Zone, std::vector<Machine*>> alternatives;
  for (Machine* machine : machines)
    alternatives[pending.job->spec->oneZone ? machine->zone() : Zone{}].push_back(machine);
  std::optional<std::vector<PlannedEviction>> best;
  for (const auto& [_, alternative] : alternatives) {
    auto plan = planAllMembers(pending, alternative, forecast);
    if (!plan) continue;
    if (!best || totalLoss(*plan) < totalLoss(*best)) best = std::move(plan);
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
    auto& available = forecast.of(*eviction->machine);
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
  bool isHolder = pending.job->holders->count(machine.no) > 0;
  double fetchSeconds = isHolder ? 0 : machine.fetchS(spec);
  double slackSeconds = *startWithin - pending.orderKey.ageSeconds - fetchSeconds - kStopToStartSeconds;
  return slackSeconds < 0 || victim.checkpointSeconds <= slackSeconds;
}

}  // namespace cherryloft
