// Task delegation, as the delegate sees it (invariant 18): tasks of another shard's job that this shard
// places.
//
// The delegate places the tasks that the job's record gives to it, in one zone where the job's rules ask for
// it, and gives back what is done, and what it finds no capacity for. What it gives back is done or known
// gone from its machines. The owner's part is in task_delegation_owner.cpp.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
// Offers capacity for the first of the jobs that there is some for: of the zones that its tasks may go to,
// the one that has most.
void ShardScheduler::handleTaskCapacityRequest(const mesh::TaskCapacityRequest& request) {
  if (!mayOfferCapacity(taskCapacityOfferedAt_)) return;
  for (const auto& need : request.jobs) {
    JobId id{need.job};
    const auto* entry = openJobOf(ShardId{request.shard}, id);
    if (!entry || state_.job(id)) continue;
    Job probe;
    probe.id = id;
    probe.spec = entry->spec;
    mesh::TaskCapacityOffer offer{takeover_.shard.value, request.shard, need.job, {}};
    for (const auto& [zone, tasks] : need.zones) {
      probe.delegation = Delegation{takeover_.shard, zoneFromMessage(zone), {}};
      auto capacity = std::min({capacityFor(probe), tasks, need.tasks});
      if (capacity > offer.zoneCapacity.tasks) offer.zoneCapacity = {zone, capacity};
    }
    if (offer.zoneCapacity.tasks == 0) continue;
    taskCapacityOfferedAt_ = runtime_.now();
    callbacks_.offerTaskCapacity(offer);
    return;
  }
}

// --- what the owner wrote ---

Job& ShardScheduler::acceptDelegation(const JobId& id, const JobEntry& entry, const Delegation& delegation) {
  auto& job = state_.addJob(id, entry, &delegation);
  job.since = runtime_.now();
  delegatedTasks_.add(id);
  // A gang's attempt is tried once; whether a former owner of this shard did is not known.
  if (!loaded_ && delegation.attempt) job.begun = true;
  if (loaded_ && delegation.recalled) recallDelegated(job);  // else once what is placed is restored
  return job;
}

// The cluster view shows a record of another shard's job: its tasks may be given to us, asked back or
// cancelled.
void ShardScheduler::delegatedJobChanged(const JobId& id, const JobEntry& entry) {
  const auto* delegation = findDelegation(entry.delegations, takeover_.shard);
  Job* job = state_.job(id);
  if (!job) {
    if (delegatedTasks_.returnedSince(id, entry.version)) return;
    if (!delegation || entry.status != JobStatus::Open || !entry.spec) return;
    acceptDelegation(id, entry, *delegation);
    requestRound(true);
    return;
  }
  if (!job->delegation || job->status != JobStatus::Open) return;
  job->version = std::max(job->version, entry.version);
  if (entry.status == JobStatus::Cancelled) {
    lastCancelled_ = std::max(lastCancelled_, entry.version);
    cancelDelegated(*job);
  } else if (delegation && delegation->recalled) {
    recallDelegated(*job);
  }
}

// Nothing new is placed, and what is placed ends.
void ShardScheduler::recallDelegated(Job& job) {
  if (job.recalling) return;
  job.recalling = true;
  job.notBefore = Time::max();
  std::set<MachineId> machines;
  stopTasks(job, machines);
  sendCommandsToAll(machines);
  requestRound(false);
}

void ShardScheduler::cancelDelegated(Job& job) {
  auto id = job.id;
  job.status = JobStatus::Cancelled;
  job.waiting.clear();
  std::set<MachineId> machines;
  stopTasks(job, machines);
  if (Job* remaining = state_.job(id)) cleanUp(*remaining);
  sendCommandsToAll(machines);
  requestRound(true);
}

// --- what went back to the owner ---

void ShardScheduler::returnCommitted(const DelegationReturn& written, Version version) {
  if (!delegatedTasks_.committed(written, version)) return;
  failures_.forget(written.job);
  state_.removeJob(written.job);
}

// A cancellation of a delegated job is confirmed by its owner, and we see it in the watch cache (invariant
// 16).
bool ShardScheduler::mayNotKnowCancellations(Time now) const {
  return !delegatedTasks_.none() &&
         now >= store_.currentAsOf(keys::kJobs) + settings_.maxCancellationStaleness();
}

}  // namespace cherryloft
