// Preemption: stops tasks for pending jobs that found no capacity, as EvictionPlanner plans it, at the pace
// that the settings and the constants below allow.
#include <algorithm>
#include <utility>

#include "scheduler/eviction_planner.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

constexpr Duration kMinPreemptionInterval{250};  // what was stopped must be seen to be gone first
constexpr unsigned kMaxPlansPerRound = 16;  // bounds a round's cost: tasks, or gangs, to make capacity for
// Part of its start objective that a job waits before it preempts: in a large fleet capacity comes free all
// the time, and what is stopped is lost.
constexpr double kWaitPart = 0.25;
// For how long a job whose holders are promised already takes machines without its image.
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
  return std::max(seconds(kWaitPart * *startWithin - pending.orderKey.ageSeconds), Duration{0});
}

void ShardScheduler::schedulePreemption(Duration wait) {
  auto due = runtime_.now() + wait;
  if (preemptionDue_ && *preemptionDue_ <= due) return;
  preemptionDue_ = due;
  // Nothing else may ask for a round until then.
  runtime_.after(wait, guarded([this, due] {
                   if (preemptionDue_ != due) return;
                   preemptionDue_.reset();
                   requestRound(false);
                 }));
}

void ShardScheduler::preemptForTasks(const PendingJob& pending, PreemptionRound& round) {
  Job& job = *pending.job;
  const auto& spec = *job.spec;
  const EvictionPlanner planner(settings_, state_, constraints_, runtime_.now());
  double quotaLeft = job.team ? job.team->coreQuota - state_.teamUse(spec.team).cores : 0;
  auto machines = planner.sampleMachines(job, rng_);
  for (std::size_t task = 0; task < job.waiting.size() && round.plans < kMaxPlansPerRound; ++task) {
    quotaLeft -= spec.each.cores;
    if (quotaLeft < -kResourceTolerance) return;
    ++round.plans;
    auto eviction = planner.planForTask(pending, machines, round.forecast);
    if (!eviction) return;
    // The holders are promised already: the rest need not wait for them.
    if (constraints_.fetchMissesStartObjective(job, *eviction->machine))
      job.anyStartUntil = runtime_.now() + kAnyStartPeriod;
    carryOut(*eviction, pending, round);
  }
}

void ShardScheduler::preemptForGang(const PendingJob& pending, PreemptionRound& round) {
  const Job& job = *pending.job;
  ++round.plans;
  if (job.placed > 0 || tasksWithinQuota(job) < job.waiting.size()) return;
  const EvictionPlanner planner(settings_, state_, constraints_, runtime_.now());
  auto plan = planner.planForGang(pending, planner.sampleMachines(job, rng_), round.forecast);
  if (!plan) return;
  for (const auto& eviction : *plan) carryOut(eviction, pending, round);
}

void ShardScheduler::carryOut(const PlannedEviction& eviction, const PendingJob& pending,
                              PreemptionRound& round) {
  const Job& job = *pending.job;
  Machine& machine = *eviction.machine;
  const EvictionPlanner planner(settings_, state_, constraints_, runtime_.now());
  for (const auto& task : eviction.victims) {
    auto victim = machine.placements.find(task);
    if (victim == machine.placements.end()) continue;  // it went with another member of its gang
    log_->debug("task preempted task={} machine={} for_job={}", wire::encodeTask(task), machine.id.value,
                job.id.value);
    Placement& placement = victim->second;
    round.forecast.of(machine) += placement.job->spec->each;
    bool skipCheckpoint = !planner.leavesTimeForCheckpoint(pending, machine, *placement.job->spec);
    ++latencies_.evicted;
    if (placement.job->isGang()) {
      stopGang(*placement.job, skipCheckpoint ? GangCheckpoint::Skipped : GangCheckpoint::Allowed);
      continue;
    }
    placement.skipCheckpoint = skipCheckpoint;
    stop(machine, task, placement);
  }
  round.forecast.of(machine) -= job.spec->each;
  if (!eviction.victims.empty()) round.machinesToCommand.insert(machine.id);
}

}  // namespace cherryloft
