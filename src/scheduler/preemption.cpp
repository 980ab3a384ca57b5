// Preemption: evicts tasks for pending jobs that found no capacity, as planned by EvictionPlanner and
// rate-limited by the settings and the constants below.
#include <algorithm>
#include <utility>

#include "scheduler/eviction_planner.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// Lets reports show that earlier victims are gone before more are selected.
constexpr Duration kMinPreemptionInterval{250};
// Tasks or gangs that evictions are planned for; bounds the cost of a round.
constexpr unsigned kMaxPlansPerRound = 16;
// Fraction of its start objective that a job waits before it preempts: in a large fleet tasks finish all the
// time and free capacity, while preemption loses work.
constexpr double kWaitFraction = 0.25;
// How long a job accepts machines without its image after all those with it are reserved.
constexpr Duration kAnyStartPeriod{3'000};

}  // namespace

void ShardScheduler::preempt(const std::vector<PendingJob>& blocked) {
  if (blocked.empty()) return;
  auto sinceLast = runtime_.now() - lastPreemption_;
  if (sinceLast < kMinPreemptionInterval) {
    schedulePreemption(kMinPreemptionInterval - sinceLast);
    return;
  }
  PreemptionRound round;
  for (const auto& pending : blocked) {
    if (round.plans >= kMaxPlansPerRound) break;
    if (!state_.mayPreempt(pending.job->spec->priority, pending.orderKey.withinGuarantee)) continue;
    auto wait = timeUntilPreemption(pending);
    if (wait > Duration{0}) {
      schedulePreemption(wait);
      continue;
    }
    lastPreemption_ = runtime_.now();
    if (pending.job->isGang())
      preemptForGang(pending, round);
    else
      preemptForTasks(pending, round);
  }
  if (round.plans >= kMaxPlansPerRound) schedulePreemption(kMinPreemptionInterval);
  sendCommandsToAll(round.machinesToCommand);
}

Duration ShardScheduler::timeUntilPreemption(const PendingJob& pending) const {
  auto startWithin = settings_.startWithin(pending.job->spec->jobClass);
  if (!startWithin) return Duration{0};
  return std::max(seconds(kWaitFraction * *startWithin - pending.orderKey.ageSeconds), Duration{0});
}

void ShardScheduler::schedulePreemption(Duration wait) {
  auto due = runtime_.now() + wait;
  if (preemptionDue_ && *preemptionDue_ <= due) return;
  preemptionDue_ = due;
  // Without this timer, no event might trigger a round by then.
  runtime_.after(wait, guarded([this, due] {
                   if (preemptionDue_ != due) return;
                   preemptionDue_.reset();
                   requestPlacementRound(false);
                 }));
}

void ShardScheduler::preemptForTasks(const PendingJob& pending, PreemptionRound& round) {
  Job& job = *pending.job;
  const auto& spec = *job.spec;
  const EvictionPlanner planner(settings_, state_, constraints_, runtime_.now());
  double remainingQuotaCores = job.team ? job.team->coreQuota - state_.teamUsage(spec.team).cores : 0;
  auto machines = planner.sampleMachines(job, rng_);
  for (std::size_t planned = 0; planned < job.waiting.size() && round.plans < kMaxPlansPerRound; ++planned) {
    remainingQuotaCores -= spec.each.cores;
    if (remainingQuotaCores < -kResourceTolerance) return;
    ++round.plans;
    auto eviction = planner.planForTask(pending, machines, round.forecast);
    if (!eviction) return;
    // The machines with the image are reserved: the remaining tasks need not wait for them.
    if (constraints_.fetchMissesStartObjective(job, *eviction->machine))
      job.ignoreImageAffinityUntil = runtime_.now() + kAnyStartPeriod;
    applyEviction(*eviction, pending, round);
  }
}

void ShardScheduler::preemptForGang(const PendingJob& pending, PreemptionRound& round) {
  const Job& job = *pending.job;
  ++round.plans;
  if (job.placed > 0 || tasksWithinQuota(job) < job.waiting.size()) return;
  const EvictionPlanner planner(settings_, state_, constraints_, runtime_.now());
  auto plan = planner.planForGang(pending, planner.sampleMachines(job, rng_), round.forecast);
  if (!plan) return;
  for (const auto& eviction : *plan) applyEviction(eviction, pending, round);
}

void ShardScheduler::applyEviction(const PlannedEviction& eviction, const PendingJob& pending,
                                   PreemptionRound& round) {
  const Job& job = *pending.job;
  Machine& machine = *eviction.machine;
  const EvictionPlanner planner(settings_, state_, constraints_, runtime_.now());
  for (const auto& task : eviction.victims) {
    auto victim = machine.placements.find(task);
    if (victim == machine.placements.end()) continue;  // stopped along with its gang
    log_->debug("task preempted task={} machine={} for_job={}", wire::encodeTask(task), machine.id.value,
                job.id.value);
    Placement& placement = victim->second;
    round.forecast.availableOn(machine) += placement.job->spec->each;
    bool skipCheckpoint = !planner.leavesTimeForCheckpoint(pending, machine, *placement.job->spec);
    ++latencies_.evictedTasks;
    if (placement.job->isGang()) {
      stopGang(*placement.job, skipCheckpoint ? GangCheckpoint::Skipped : GangCheckpoint::Allowed);
      continue;
    }
    placement.skipCheckpoint = skipCheckpoint;
    stop(machine, task, placement);
  }
  round.forecast.availableOn(machine) -= job.spec->each;
  if (!eviction.victims.empty()) round.machinesToCommand.insert(machine.id);
}

}  // namespace cherryloft
