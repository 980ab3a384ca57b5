// The delegate's side of task delegation (invariant 18): tasks of another shard's job that this shard places.
//
// The delegate places the tasks that the job's record delegates to it, in a single zone if the job's
// placement rules require one. It returns tasks that are done and tasks for which it finds no capacity; a
// returned task is either done or known to be gone from its machines. The owner's side is in
// task_delegation_owner.cpp.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {

// Offers capacity for the first requested job for which this shard has any, in that one of the allowed zones
// with the most capacity.
void ShardScheduler::handleTaskCapacityRequest(const mesh::TaskCapacityRequest& request) {
  if (!mayOfferCapacity(taskCapacityOfferedAt_)) return;
  for (const auto& need : request.jobs) {
    JobId id{need.job};
    const auto* entry = findOpenJob(ShardId{request.shard}, id);
    if (!entry || state_.job(id)) continue;
    Job probe;
    probe.id = id;
    probe.spec = entry->spec;
    mesh::TaskCapacityOffer offer{takeover_.shard.value, request.shard, need.job, {}};
    for (const auto& [zone, tasks] : need.zones) {
      probe.delegation = Delegation{takeover_.shard, zoneFromMessage(zone), {}};
      auto capacity = std::min({capacityForJob(probe), tasks, need.tasks});
      if (capacity > offer.zoneCapacity.tasks) offer.zoneCapacity = {zone, capacity};
    }
    if (offer.zoneCapacity.tasks == 0) continue;
    taskCapacityOfferedAt_ = runtime_.now();
    callbacks_.offerTaskCapacity(offer);
    return;
  }
}

// --- records written by the owner ---

Job& ShardScheduler::acceptDelegation(const JobId& id, const JobEntry& entry, const Delegation& delegation) {
  auto& job = state_.addJob(id, entry, &delegation);
  job.since = runtime_.now();
  delegatedTasks_.add(id);
  // A gang's attempt may be tried only once, and it is unknown whether a former owner of this shard has tried
  // it.
  if (!loaded_ && delegation.attempt) job.started = true;
  if (loaded_ && delegation.recalled) handleDelegationRecall(job);  // else after restoring placements
  return job;
}

// Handles a changed record of another shard's job in the cluster view: tasks of it may be delegated to this
// shard, recalled or cancelled.
void ShardScheduler::handleDelegatedJobChange(const JobId& id, const JobEntry& entry) {
  const auto* delegation = findDelegation(entry.delegations, takeover_.shard);
  Job* job = state_.job(id);
  // The owner may have told of the cancellation before its record shows which version that has.
  if (delegation || (job && job->delegation)) noteCancellation(entry);
  if (!job) {
    if (!delegation || entry.status != JobStatus::Open || !entry.spec) return;
    acceptDelegation(id, entry, *delegation);
    requestPlacementRound(true);
    return;
  }
  if (!job->delegation || job->status != JobStatus::Open) return;
  job->version = std::max(job->version, entry.version);
  if (entry.status == JobStatus::Cancelled) {
    cancelDelegatedTasks(*job);
  } else if (delegation && delegation->recalled) {
    handleDelegationRecall(*job);
  }
}

// Places no more tasks of the job and stops those that are placed.
void ShardScheduler::handleDelegationRecall(Job& job) {
  if (job.recalling) return;
  job.recalling = true;
  job.notBefore = Time::max();
  std::set<MachineId> machines;
  stopTasks(job, machines);
  sendCommandsToAll(machines);
  requestPlacementRound(false);
}

void ShardScheduler::cancelDelegatedTasks(Job& job) {
  auto id = job.id;
  job.status = JobStatus::Cancelled;
  job.waiting.clear();
  std::set<MachineId> machines;
  stopTasks(job, machines);
  if (Job* remaining = state_.job(id)) removeJobIfEnded(*remaining);
  sendCommandsToAll(machines);
  requestPlacementRound(true);
}

// --- tasks returned to the owner ---

void ShardScheduler::handleCommittedReturn(const DelegationReturn& written) {
  if (!delegatedTasks_.committed(written)) return;
  failures_.forget(written.job);
  state_.removeJob(written.job);
  takeUpLaterRecord(written.job);
}

// Whether a cancellation may have been confirmed to a user without being known here. The owner of a delegated
// job confirms its cancellation, and this shard learns of it only through the watch cache (invariant 16).
bool ShardScheduler::mayHaveUnseenCancellations(Time now) const {
  return !delegatedTasks_.none() &&
         now >= store_.currentAsOf(keys::kJobs) + settings_.maxCancellationStaleness();
}

}  // namespace cherryloft
