// Placement rounds: pending jobs take turns, in order, until the batch is as wide as one transaction; then
// preemption for those that found no capacity, and the commit (DESIGN.md, section 2).
#include <algorithm>
#include <utility>

#include "scheduler/pending_jobs.h"
#include "scheduler/placement_turn.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

constexpr unsigned kTasksPerTurn = 8;  // so that small work does not wait behind a huge array
// Reports of a large fleet come faster than rounds are worth it.
constexpr Duration kMinRoundInterval{30};
// Between tasks of a job that never worked, while one of it is placed.
constexpr Duration kProbeInterval{15'000};

}  // namespace

void ShardScheduler::requestRound(bool allMachines, const MachineId* reportedMachine) {
  roundScope_.allMachines |= allMachines;
  if (reportedMachine) roundScope_.machines.insert(*reportedMachine);
  if (roundScheduled_) return;
  roundScheduled_ = true;
  // What arrives until then becomes part of the same round.
  auto wait = std::max(lastRound_ + kMinRoundInterval - runtime_.now(), Duration{0});
  runtime_.after(wait, guarded([this] {
                   roundScheduled_ = false;
                   runRound();
                 }));
}

void ShardScheduler::runRound() {
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
    latencies_.widest = std::max(latencies_.widest, unwrittenTasks_.size() - unwrittenBefore);
  }
  commit();
}

void ShardScheduler::placePendingJobs() {
  auto pending = collectPendingJobs(state_, settings_, runtime_.now(), runtime_.wall());
  auto blocked = runTurns(pending);
  bool anyWithoutCapacity = std::any_of(blocked.begin(), blocked.end(), [&](const PendingJob& blockedJob) {
    return !constraints_.hasCapacity(*blockedJob.job);
  });
  roundScope_ = {};
  if (anyWithoutCapacity && cancelDrains()) {
    requestRound(true);
    return;
  }
  preempt(blocked);
  bool someHadNoTurn = !pending.empty();
  if (someHadNoTurn) roundScope_.allMachines = true;
}

std::vector<PendingJob> ShardScheduler::runTurns(std::vector<PendingJob>& pending) {
  std::vector<PendingJob> blocked;
  std::map<TeamId, unsigned> teamTurns;
  // What does not fit into one transaction forms the next round.
  while (!pending.empty() && unwrittenTasks_.size() < roundWidth()) {
    for (auto& job : pending) job.orderKey.teamTurns = teamTurns[job.job->spec->team];
    auto next = firstInOrder(pending);
    Job& job = *next->job;
    if (job.isGang()) {
      bool hasCapacity = placeGang(job);
      if (!hasCapacity) blocked.push_back(*next);
      pending.erase(next);
      continue;
    }
    if (failures_.suspect(job.id)) {
      placeProbeTask(job);
      pending.erase(next);
      continue;
    }
    auto most = static_cast<unsigned>(std::min<std::size_t>(kTasksPerTurn, job.waiting.size()));
    auto placed = placeTasks(job, most);
    ++teamTurns[job.spec->team];
    next->orderKey.firstStartOverdue = false;  // it has begun, or there is no capacity for it
    if (placed == most && !job.waiting.empty()) continue;
    if (placed < most && state_.withinLimit(job)) blocked.push_back(*next);
    pending.erase(next);
  }
  return blocked;
}

void ShardScheduler::placeProbeTask(Job& job) {
  if (job.placed == 0 || runtime_.now() - job.placedLast >= kProbeInterval) placeTasks(job, 1);
}

unsigned ShardScheduler::placeTasks(Job& job, unsigned most) {
  if (!state_.withinLimit(job) || !constraints_.hasFreeCores(job)) return 0;
  const PlacementContext context{settings_, state_, constraints_, runtime_, rng_, latencies_.counts};
  job.avoidSpot = constraints_.shouldAvoidSpot(job);
  std::optional<PlacementTurn> turn(std::in_place, context, roundScope_, job);
  auto gangAttempt = attemptForGang(job);
  unsigned placed = 0;
  while (placed < most && !job.waiting.empty() && state_.withinLimit(job)) {
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
  state_.cached(machine, job.spec->image, job.spec->imageGb);
  machine.contactDue = true;
  unwrittenTasks_.push_back({job.id, index});
  placementsUnwritten_ = true;
  latencies_.toPlaced.add(runtime_.now() - job.since);
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
