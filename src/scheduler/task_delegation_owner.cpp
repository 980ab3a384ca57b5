// The owner's side of task delegation (invariant 18): another shard, the delegate, places waiting tasks for
// the shard that owns the job.
//
// Used for jobs that can't be migrated as a whole: some tasks are placed or done, or the job is a gang for
// which no single shard has enough free capacity. The owner keeps the job: it answers its users, writes its
// end, and counts the delegated tasks toward the team's quota and the job's zone rules. Each step is one
// write of the job's record, conditional on its version (TaskDelegation). The delegate's side is in
// task_delegation_delegate.cpp.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// Whether the zones allowed for a task depend on where the job's other tasks are.
bool isZoneConstrained(const JobSpec& spec) { return spec.spread || spec.oneZone; }

}  // namespace

// Plans the delegation of tasks for which offers arrived, and requests capacity for the others.
void ShardScheduler::reviewDelegations(Time now) {
  if (now - delegationsReviewed_ < kCapacityReviewInterval) return;
  delegationsReviewed_ = now;
  taskOffers_.dropExpired(now);
  if (transferringTo_ || ownershipTransferSent_) return;
  mesh::TaskCapacityRequest request;
  request.shard = takeover_.shard.value;
  for (Job* job : oldestUnschedulableJobs(RemotePlacement::Delegation, now)) {
    if (isMigrationPlanned(job->id) || taskDelegation_.planned(job->id)) continue;
    bool splitGang = job->isGang() && job->remote > 0;
    if (splitGang) taskDelegation_.planRecall(*job);  // this shard's members found no capacity after all
    if (splitGang || planDelegations(*job, now))
      requestPlacementRound(false);
    else
      request.jobs.push_back(taskCapacityNeed(*job));
  }
  if (!request.jobs.empty()) callbacks_.requestTaskCapacity(request);
}

// Returns how many of the job's tasks need capacity and, if the job has zone rules, how many each zone may
// take.
mesh::TaskCapacityNeed ShardScheduler::taskCapacityNeed(const Job& job) const {
  auto waiting =
      static_cast<std::uint32_t>(std::min<std::size_t>(job.waiting.size(), kMaxTasksPerDelegation));
  mesh::TaskCapacityNeed need{job.id.value, std::min(waiting, tasksWithinQuota(job)), {}};
  if (!isZoneConstrained(*job.spec)) {
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

// Plans to delegate tasks to the shards that offered capacity, largest offer first. Gang members are
// delegated only if the offers and this shard's own capacity together suffice for the whole gang. Returns
// false if nothing is planned.
bool ShardScheduler::planDelegations(Job& job, Time now) {
  if (!taskOffers_.any(job.id)) return false;
  auto offers = taskOffers_.take(job.id, now);
  std::erase_if(offers, [&](const ReceivedTaskOffer& offer) {
    return findDelegation(job.delegations, offer.shard) != nullptr;
  });
  bool gang = job.isGang();
  if (gang && tasksWithinQuota(job) < job.waiting.size()) return false;
  auto localCapacity = gang ? capacityForJob(job) : 0;
  auto remaining = static_cast<std::uint32_t>(job.waiting.size()) - localCapacity;
  if (!gang) remaining = std::min(remaining, tasksWithinQuota(job));
  if (gang) job.gangAttempt = makeAttempt(takeover_.epoch, ++attempts_);
  for (const auto& offer : offers) {
    remaining -= taskDelegation_.plan(job, offer, remaining);
    if (remaining == 0) break;
  }
  bool any = taskDelegation_.planned(job.id);
  bool gangIncomplete = gang && remaining > 0;
  if (any && !gangIncomplete) {
    job.lastPlacedAt = now;  // restarts the waiting time of the remaining tasks
    return true;
  }
  job.gangAttempt.reset();  // the next try, on any shard, uses a new attempt
  taskDelegation_.dropPlan(job);
  return false;
}

// Resumes delegations after a takeover. If members of a gang that belong to this shard are not placed, a
// former owner may have tried some of them, so the whole gang is restarted.
void ShardScheduler::resumeDelegations(Job& job) {
  if (job.delegation && job.delegation->recalled) handleDelegationRecall(job);
  if (job.delegation || job.remote == 0 || !job.isGang()) return;
  bool recalled = std::any_of(job.delegations.begin(), job.delegations.end(),
                              [](const Delegation& delegation) { return delegation.recalled; });
  if (recalled)
    job.recalling = true;
  else if (!job.waiting.empty())
    handleGangMemberLost(job);
}

// --- tasks returned by delegates ---

// Handles a changed record of one of this shard's jobs in the cluster view. A delegate may have written it to
// return tasks, done or not.
void ShardScheduler::handleOwnedJobChange(Job& job, const JobEntry& entry) {
  auto returned = taskDelegation_.applyReturns(job, entry);
  if (!returned) return;
  // Queued for a placement page so that the job's record need not keep them.
  for (auto index : returned->done) unwrittenTasks_.push_back({job.id, index});
  completeGangIfDone(job);
  if (!returned->unfinished.empty()) handleGangMemberLost(job);
  queueJobEndIfFinished(job);
  if (returned->any()) requestPlacementRound(true);
}

}  // namespace cherryloft
