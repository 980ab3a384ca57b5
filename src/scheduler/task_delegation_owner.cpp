// Task delegation, as the shard that owns the job sees it (invariant 18): waiting tasks that another shard,
// the delegate, places for it.
//
// Used where a job can't be migrated whole: some of its tasks are placed or done, or it is a gang that no
// shard has free capacity for alone. The owner keeps the job: it answers its users, writes its end, and
// counts what it delegated toward the team's quota and the zones' rules. Each step is one write of the job's
// record under its version (TaskDelegation). The delegate's part is in task_delegation_delegate.cpp.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// Where its tasks may go depends on where its others are.
bool boundToZones(const JobSpec& spec) { return spec.spread || spec.oneZone; }

}  // namespace

// Plans the delegation of tasks that offers came for, and asks for capacity for the others.
void ShardScheduler::reviewDelegations(Time now) {
  if (now - delegationsReviewed_ < kCapacityReviewInterval) return;
  delegationsReviewed_ = now;
  taskOffers_.dropExpired(now);
  if (transferringTo_ || ownershipTransferSent_) return;
  mesh::TaskCapacityRequest request;
  request.shard = takeover_.shard.value;
  for (Job* job : oldestUnplaceable(RemotePlacement::Delegation, now)) {
    if (migrationPlanned(job->id) || taskDelegation_.planned(job->id)) continue;
    bool splitGang = job->isGang() && job->remote > 0;
    if (splitGang) planRecall(*job);  // the members here found no capacity after all
    if (splitGang || planDelegations(*job, now))
      requestRound(false);
    else
      request.jobs.push_back(taskCapacityNeed(*job));
  }
  if (!request.jobs.empty()) callbacks_.requestTaskCapacity(request);
}

// How many of its tasks are to go, and how many of them each zone may take where that matters.
mesh::TaskCapacityNeed ShardScheduler::taskCapacityNeed(const Job& job) const {
  auto waiting = static_cast<std::uint32_t>(std::min<std::size_t>(job.waiting.size(), kMaxDelegatedTasks));
  mesh::TaskCapacityNeed need{job.id.value, std::min(waiting, tasksWithinLimit(job)), {}};
  if (!boundToZones(*job.spec)) {
    need.zones.push_back({"", need.tasks});
    return need;
  }
  for (const auto& zone : settings_.zones) {
    std::uint32_t allowed = 0;
    while (allowed < need.tasks && constraints_.allowsZone(job, zone, allowed)) ++allowed;
    if (allowed > 0) need.zones.push_back({zone.value, allowed});
  }
  return need;
}

void ShardScheduler::handleTaskCapacityOffer(const mesh::TaskCapacityOffer& offer) {
  JobId id{offer.job};
  if (!loaded_ || !owns() || !state_.job(id) || offer.zoneCapacity.tasks == 0) return;
  taskOffers_.add(id, {ShardId{offer.shard}, zoneFromMessage(offer.zoneCapacity.zone),
                       offer.zoneCapacity.tasks, runtime_.now()});
}

// Gives tasks to the shards that offered capacity, the largest offer first. A gang goes only if all of it
// finds capacity, with what there is here. False if nothing is planned.
bool ShardScheduler::planDelegations(Job& job, Time now) {
  if (!taskOffers_.any(job.id)) return false;
  auto offers = taskOffers_.take(job.id, now);
  std::erase_if(offers, [&](const ReceivedTaskOffer& offer) {
    return findDelegation(job.delegations, offer.shard) != nullptr;
  });
  bool gang = job.isGang();
  if (gang && tasksWithinLimit(job) < job.waiting.size()) return false;
  auto here = gang ? capacityFor(job) : 0;
  auto remaining = static_cast<std::uint32_t>(job.waiting.size()) - here;
  if (!gang) remaining = std::min(remaining, tasksWithinLimit(job));
  if (gang) job.gangAttempt = attemptOf(takeover_.epoch, ++attempts_);
  for (const auto& offer : offers) {
    remaining -= taskDelegation_.plan(job, offer, remaining);
    if (remaining == 0) break;
  }
  bool any = taskDelegation_.planned(job.id);
  bool gangIncomplete = gang && remaining > 0;
  if (any && !gangIncomplete) {
    job.placedLast = now;  // the rest waits anew
    return true;
  }
  job.gangAttempt.reset();  // the next try, wherever it is, has an attempt of its own
  taskDelegation_.dropPlan(job);
  return false;
}

// After a takeover. Of a gang whose members here are not placed a former owner may have tried some: it starts
// anew as a whole.
void ShardScheduler::resumeDelegations(Job& job) {
  if (job.delegation && job.delegation->recalled) recallDelegated(job);
  if (job.delegation || job.remote == 0 || !job.isGang()) return;
  bool recalled = std::any_of(job.delegations.begin(), job.delegations.end(),
                              [](const Delegation& delegation) { return delegation.recalled; });
  if (recalled)
    job.recalling = true;
  else if (!job.waiting.empty())
    handleGangMemberLost(job);
}

// --- what delegates gave back ---

// The cluster view shows a record of our job that a delegate may have written: takes in the tasks that it
// gave back, done or not.
void ShardScheduler::ownedJobChanged(Job& job, const JobEntry& entry) {
  auto returned = taskDelegation_.takeReturned(job, entry);
  if (!returned) return;
  // For a page, so that the record need not keep it.
  for (auto index : returned->done) unwrittenTasks_.push_back({job.id, index});
  completeGangIfDone(job);
  if (!returned->unfinished.empty()) handleGangMemberLost(job);
  endIfFinished(job);
  if (returned->any()) requestRound(true);
}

}  // namespace cherryloft
