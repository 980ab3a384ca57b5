// Preemption: which tasks may be stopped for a job that finds no room, and on which machine least is lost.
#include <algorithm>
#include <utility>

#include "policy/preempt.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {
constexpr Duration kBetweenEvictions{250};    // what was stopped must be seen to be gone first
constexpr unsigned kMostEvictionsAsked = 16;  // tasks per round for which room is made
constexpr double kPatience = 0.25;    // part of its aim for starts that a job waits before others give way
constexpr double kServiceLoss = 600;  // seconds of work that moving a replica counts as
constexpr double kGangLoss = 120;     // the same for stopping a gang, whose members all start anew
constexpr double kSlowStart = 100;    // core seconds of work that a start in time for its aim is worth
constexpr double kStartTakes = 0.5;   // seconds from what is stopped to what starts in its room
constexpr Duration kAnyStart{3'000};  // for how long a job then takes machines without its image
}  // namespace

// Tasks that the job may stop on the machine, and what they are.
std::pair<std::vector<policy::Victim>, std::vector<TaskId>> ShardScheduler::victims(
    const Job& job, bool guaranteed, const Machine& h, const std::set<TaskId>& taken) const {
  auto now = runtime_.now();
  std::vector<policy::Victim> offered;
  std::vector<TaskId> tasks;
  for (const auto& [task, p] : h.placements) {
    const auto& other = *p.job->spec;
    const Team* t = settings_.team(other.team);
    bool above = t && state_.teamUse(other.team).cores - other.each.cores >= t->cores - kResourceSlack;
    bool sameTeam = other.team == job.spec->team;
    // What this very round placed is not stopped by it: the two would take turns for ever.
    if (!p.committed || !p.wanted || taken.count(task) > 0 ||
        !policy::mayStop(job.spec->priority, guaranteed, sameTeam, other.priority, above))
      continue;
    double ran = p.shown && p.phase == wire::TaskPhase::Running ? inSeconds(now - p.runningSince) : 0;
    if (p.job->isGang())
      ran = (policy::lostSinceCheckpoint(ran, other.checkpointIntervalSeconds) + kGangLoss) * p.job->placed;
    else if (other.checkpointIntervalSeconds > 0)
      ran = std::min(ran, other.checkpointIntervalSeconds);
    if (other.kind == JobKind::Service) ran += kServiceLoss;
    offered.push_back({other.each, ran});
    tasks.push_back(task);
  }
  return {std::move(offered), std::move(tasks)};
}

bool ShardScheduler::holderCouldPreempt(const Job& job) const {
  if (!state_.mayPreempt(job.spec->priority, false)) return false;
  unsigned looked = 0;
  for (const auto& [_, h] : *job.holders) {
    if (!allowed(job, *h)) continue;
    if (++looked > settings_.tuning.sampleSize) return false;
    auto e =
        policy::evict(h->free() + h->capacityBeingFreed(), job.spec->each, victims(job, false, *h).first);
    if (e && e->lost <= kSlowStart) return true;
  }
  return false;
}

// Machines on which room may be made for the job: K holders of its image, and of all others as many as a
// sample of K shows.
std::vector<Machine*> ShardScheduler::sampleForEviction(const Job& job) {
  std::vector<Machine*> sampled;
  for (const auto& [_, h] : *job.holders)
    if (sampled.size() < settings_.tuning.sampleSize && allowed(job, *h)) sampled.push_back(h);
  const auto& owned = state_.openMachines();
  for (auto i : policy::sampleIndices(owned.size(), settings_.tuning.sampleSize, rng_))
    if (job.holders->count(owned[i]->no) == 0 && allowed(job, *owned[i])) sampled.push_back(owned[i]);
  return sampled;
}

Resources& ShardScheduler::CapacityForecast::of(const Machine& h) {
  auto [it, unwritten] = left.try_emplace(h.no);
  if (unwritten) it->second = h.free() + h.capacityBeingFreed();
  return it->second;
}

// Where a task of the job would cost others least.
std::optional<ShardScheduler::PlannedEviction> ShardScheduler::cheapestEviction(
    const Job& job, bool guaranteed, const std::vector<Machine*>& sampled, CapacityForecast& room,
    const std::set<TaskId>& taken) const {
  std::optional<PlannedEviction> best;
  for (Machine* h : sampled) {
    auto [offered, tasks] = victims(job, guaranteed, *h, taken);
    auto eviction = policy::evict(room.of(*h), job.spec->each, offered);
    if (!eviction) continue;
    if (tooSlow(job, *h)) eviction->lost += kSlowStart;
    if (best && eviction->lost >= best->lost) continue;
    best = PlannedEviction{h, eviction->lost, {}};
    for (auto i : eviction->victims) best->victims.push_back(tasks[i]);
  }
  return best;
}

// Whether what is stopped for a task on that machine may save: not if the task would then start too late for
// its class's aim or its team's guarantee, and is in time otherwise.
bool ShardScheduler::leavesTimeToSave(const Ranked& claimant, const Machine& h, const JobSpec& victim) const {
  const auto& spec = *claimant.job->spec;
  auto objective = settings_.startWithin(spec.jobClass);
  if (claimant.c.guaranteed && settings_.guaranteeWithinS)
    objective = std::min(objective.value_or(*settings_.guaranteeWithinS), *settings_.guaranteeWithinS);
  if (!objective) return true;
  double fetch = claimant.job->holders->count(h.no) > 0 ? 0 : h.fetchS(spec);
  double left = *objective - claimant.c.ageS - fetch - kStartTakes;
  return left < 0 || victim.checkpointSeconds <= left;
}

void ShardScheduler::carryOut(const PlannedEviction& plan, const Ranked& claimant, CapacityForecast& room) {
  const Job& job = *claimant.job;
  Machine& h = *plan.machine;
  for (const auto& task : plan.victims) {
    auto victim = h.placements.find(task);
    if (victim == h.placements.end()) continue;  // it went with another member of its gang
    log_->debug("{} gives way on {} to {}", wire::encodeTask(task), h.id.value, job.id.value);
    const auto& spec = *victim->second.job->spec;
    room.of(h) += spec.each;
    bool skipCheckpoint = !leavesTimeToSave(claimant, h, spec);
    ++latencies_.evicted;
    if (victim->second.job->isGang()) {
      stopGang(*victim->second.job, skipCheckpoint);
      continue;
    }
    victim->second.skipCheckpoint = skipCheckpoint;
    stop(h, task, victim->second);
  }
  room.of(h) -= job.spec->each;
}

// How long it still waits for others to end, as in a large fleet room comes free all the time, and what is
// stopped is lost.
Duration ShardScheduler::patienceLeft(const Ranked& blocked) const {
  auto within = settings_.startWithin(blocked.job->spec->jobClass);
  if (!within) return Duration{0};
  return std::max(seconds(kPatience * *within - blocked.c.ageS), Duration{0});
}

// A round of its own, as nothing else may happen until then.
void ShardScheduler::preemptAfter(Duration wait) {
  auto due = runtime_.now() + wait;
  if (preemptionDue_ && *preemptionDue_ <= due) return;
  preemptionDue_ = due;
  runtime_.after(wait, guarded([this, due] {
                   if (preemptionDue_ != due) return;
                   preemptionDue_.reset();
                   requestRound(false);
                 }));
}

// Stops what may be stopped for those who found no room, in their order, least lost work first.
void ShardScheduler::preempt(const std::vector<Ranked>& blocked) {
  if (blocked.empty()) return;
  auto since = runtime_.now() - lastPreemption_;
  if (since < kBetweenEvictions) return preemptAfter(kBetweenEvictions - since);
  CapacityForecast room;
  std::set<MachineId> changed;
  unsigned asked = 0;
  for (const auto& r : blocked) {
    if (asked >= kMostEvictionsAsked) break;
    if (!state_.mayPreempt(r.job->spec->priority, r.c.guaranteed)) continue;
    if (auto patience = patienceLeft(r); patience > Duration{0}) {
      preemptAfter(patience);
      continue;
    }
    lastPreemption_ = runtime_.now();
    if (r.job->isGang()) {
      ++asked;
      preemptForGang(r, room, changed);
      continue;
    }
    preemptFor(r, room, asked, changed);
  }
  if (asked >= kMostEvictionsAsked) preemptAfter(kBetweenEvictions);
  sendCommandsToAll(changed);
}

void ShardScheduler::preemptFor(const Ranked& blocked, CapacityForecast& room, unsigned& asked,
                                std::set<MachineId>& changed) {
  Job& job = *blocked.job;
  const auto& spec = *job.spec;
  double headroom = job.team ? job.team->coreQuota - state_.teamUse(spec.team).cores : 0;
  auto sampled = sampleForEviction(job);
  for (std::size_t n = 0; n < job.waiting.size() && asked < kMostEvictionsAsked; ++n) {
    headroom -= spec.each.cores;
    if (headroom < -kResourceSlack) return;
    ++asked;
    auto plan = cheapestEviction(job, blocked.c.guaranteed, sampled, room);
    if (!plan) return;
    // The holders are spoken for: the rest need not wait for them.
    if (tooSlow(job, *plan->machine)) job.anyStartUntil = runtime_.now() + kAnyStart;
    carryOut(*plan, blocked, room);
    if (!plan->victims.empty()) changed.insert(plan->machine->id);
  }
}

}  // namespace cherryloft
