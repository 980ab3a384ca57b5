// Placement rounds: pending jobs take turns in placement order until the batch fills one transaction. Then
// preemption runs for the jobs that found no capacity, and the batch is committed (DESIGN.md, section 2).
#include <algorithm>
#include <utility>

#include "scheduler/pending_jobs.h"
#include "scheduler/placement_turn.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

constexpr unsigned kMaxTasksPerTurn = 8;  // keeps small jobs from waiting behind a huge array
// Batches the reports of a large fleet, which arrive faster than a round for each would pay off.
constexpr Duration kMinRoundInterval{30};
// Between the probe tasks of a job that has only failed so far, while one of them is placed.
constexpr Duration kProbeInterval{15'000};

}  // namespace

void ShardScheduler::requestPlacementRound(bool allMachines, const MachineId* reportedMachine) {
  roundScope_.allMachines |= allMachines;
  if (reportedMachine) roundScope_.machines.insert(*reportedMachine);
  if (roundScheduled_) return;
  roundScheduled_ = true;
  // Requests that arrive in the meantime are merged into the same round.
  auto wait = std::max(lastRound_ + kMinRoundInterval - runtime_.now(), Duration{0});
  runtime_.after(wait, guarded([this] {
                   roundScheduled_ = false;
                   runPlacementRound();
                 }));
}

void ShardScheduler::runPlacementRound() {
  lastRound_ = runtime_.now();
  bool mayPlace = loaded_ && owns() && !ownershipTransferSent_ && !committing_ && !commitInFlight_;
  if (!mayPlace) {
    if (!committing_) commit();
    return;
  }
  if (!transferringTo_) {
    auto unwrittenBefore = unwrittenTasks_.size();
    placePendingJobs();
    ++latencies_.rounds;
    latencies_.maxPlacementsPerRound =
        std::max(latencies_.maxPlacementsPerRound, unwrittenTasks_.size() - unwrittenBefore);
  }
  commit();
}

void ShardScheduler::placePendingJobs() {
  auto pending = collectPendingJobs(state_, settings_, runtime_.now(), runtime_.wall());
  auto blocked = runTurns(pending);
  bool anyWithoutCapacity = std::any_of(blocked.begin(), blocked.end(), [&](const PendingJob& blockedEntry) {
    return !constraints_.hasCapacity(*blockedEntry.job);
  });
  roundScope_ = {};
  if (anyWithoutCapacity && cancelDrains()) {
    requestPlacementRound(true);
    return;
  }
  preempt(blocked);
  bool jobsWithoutTurn = !pending.empty();
  if (jobsWithoutTurn) roundScope_.allMachines = true;
}

std::vector<PendingJob> ShardScheduler::runTurns(std::vector<PendingJob>& pending) {
  std::vector<PendingJob> blocked;
  std::map<TeamId, unsigned> teamTurns;
  // Jobs beyond the size of one transaction are left to the next round.
  while (!pending.empty() && unwrittenTasks_.size() < maxRecordsPerCommit()) {
    for (auto& job : pending) job.orderKey.teamTurns = teamTurns[job.job->spec->team];
    auto next = firstInOrder(pending);
    Job& job = *next->job;
    if (job.isGang()) {
      bool hasCapacity = placeGang(job);
      if (!hasCapacity) blocked.push_back(*next);
      pending.erase(next);
      continue;
    }
    if (failures_.isSuspect(job.id)) {
      placeProbeTask(job);
      pending.erase(next);
      continue;
    }
    auto maxTasks = static_cast<unsigned>(std::min<std::size_t>(kMaxTasksPerTurn, job.waiting.size()));
    auto placed = placeTasks(job, maxTasks);
    ++teamTurns[job.spec->team];
    next->orderKey.firstStartOverdue = false;  // it has started, or there is no capacity for it
    if (placed == maxTasks && !job.waiting.empty()) continue;
    if (placed < maxTasks && state_.withinLimit(job)) blocked.push_back(*next);
    pending.erase(next);
  }
  return blocked;
}

void ShardScheduler::placeProbeTask(Job& job) {
  if (job.placed == 0 || runtime_.now() - job.lastPlacedAt >= kProbeInterval) placeTasks(job, 1);
}

unsigned ShardScheduler::placeTasks(Job& job, unsigned maxTasks) {
  if (!state_.withinLimit(job) || !constraints_.hasFreeCores(job)) return 0;
  const PlacementContext context{settings_, state_, constraints_, runtime_, rng_, latencies_.counts};
  job.avoidSpot = constraints_.shouldAvoidSpot(job);
  std::optional<PlacementTurn> turn(std::in_place, context, roundScope_, job);
  auto gangAttempt = attemptForGang(job);
  unsigned placed = 0;
  while (placed < maxTasks && !job.waiting.empty() && state_.withinLimit(job)) {
    Machine* machine = turn->nextMachine();
    if (!machine && !job.avoidSpot) break;
    if (!machine) {
      job.avoidSpot = false;
      turn.emplace(context, roundScope_, job);
      continue;
    }
    placeNextTask(job, *machine, gangAttempt ? *gangAttempt : makeAttempt(takeover_.epoch, ++attempts_));
    ++placed;
  }
  job.avoidSpot = false;
  return placed;
}

std::optional<Attempt> ShardScheduler::attemptForGang(const Job& job) {
  if (!job.isGang()) return std::nullopt;
  auto attempt = job.delegation ? job.delegation->attempt : job.gangAttempt;
  if (!attempt) attempt = makeAttempt(takeover_.epoch, ++attempts_);
  return attempt;
}

void ShardScheduler::placeNextTask(Job& job, Machine& machine, Attempt attempt) {
  auto index = job.waiting.front();
  job.waiting.pop_front();
  state_.place(job, index, machine, attempt, runtime_.now());
  state_.recordImageUse(machine, job.spec->image, job.spec->imageGb);
  machine.directCommandDue = true;
  unwrittenTasks_.push_back({job.id, index});
  placementsUnwritten_ = true;
  latencies_.arrivalToPlaced.add(runtime_.now() - job.since);
  ++latencies_.counts.starts;
  log_->debug("task placed task={}/{} machine={}", job.id.value, index, machine.id.value);
}

bool ShardScheduler::cancelDrains() {
  bool any = false;
  for (auto& [_, machine] : state_.machines()) {
    if (machine.decommissioning || !machine.draining) continue;
    machine.draining = false;
    state_.reindex(machine);
    any = true;
  }
  return any;
}

}  // namespace cherryloft
