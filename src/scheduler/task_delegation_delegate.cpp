// Task delegation, as the delegate sees it (invariant 18): tasks of another shard's job that this shard
// places.
//
// The delegate places the tasks that the job's record gives to it, in one zone where the job's rules ask for
// it, and gives back what is done, and what it finds no capacity for. What it gives back is done or known
// gone from its machines. The owner's part is in task_delegation_owner.cpp.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// What found no capacity for so long goes back to the owner, which may find some elsewhere.
constexpr Duration kReturnsAfter{30'000};

// The job's record as the cluster view shows it, after the return.
wire::JobRecord recordAfterReturn(const Job& job, const JobEntry& entry, const DelegationReturn& change) {
  wire::JobRecord record{JobStatus::Open, entry.shard,         entry.tasks,       entry.submitted,
                         *job.spec,       entry.maxConcurrent, entry.delegations, entry.doneRemotely};
  std::erase_if(record.delegations,
                [&](const Delegation& delegation) { return delegation.shard == change.kept.shard; });
  if (!change.kept.tasks.empty()) record.delegations.push_back(change.kept);
  for (auto index : change.tasks)
    if (job.tasks[index].state == TaskState::Done) record.doneRemotely.push_back(index);
  std::sort(record.doneRemotely.begin(), record.doneRemotely.end());
  return record;
}

}  // namespace

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
      if (capacity > offer.room.tasks) offer.room = {zone, capacity};
    }
    if (offer.room.tasks == 0) continue;
    taskCapacityOfferedAt_ = runtime_.now();
    callbacks_.offerTaskCapacity(offer);
    return;
  }
}

// --- what the owner wrote ---

Job& ShardScheduler::acceptDelegation(const JobId& id, const JobEntry& entry, const Delegation& delegation) {
  auto& job = state_.addJob(id, entry, &delegation);
  job.since = runtime_.now();
  delegatedHere_.insert(id);
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
    auto returned = returnedAt_.find(id);
    bool viewLags = returned != returnedAt_.end() && entry.version < returned->second;
    if (viewLags) return;
    if (returned != returnedAt_.end()) returnedAt_.erase(returned);
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

// --- what goes back to the owner ---

// Tasks that go back to the owner: all that are not placed, once nothing is left to do, or once what waits
// found no capacity for long or is asked back. Of a gang, as soon as none is placed.
std::vector<std::uint32_t> ShardScheduler::returnable(const Job& job, Time now) const {
  bool over = job.placed == 0 && job.waiting.empty();
  bool inVain = now - std::max(job.since, job.placedLast) >= kReturnsAfter;
  bool gangEnded = job.delegation->attempt && job.begun && job.placed == 0;
  bool givesUpWaiting = !job.waiting.empty() && (inVain || job.recalling || gangEnded);
  std::vector<std::uint32_t> tasks;
  if (!over && !givesUpWaiting) return tasks;
  for (auto index : job.delegation->tasks)
    if (!job.tasks[index].machine) tasks.push_back(index);
  return tasks;
}

bool ShardScheduler::anyReturnable(Time now) const {
  return std::any_of(delegatedHere_.begin(), delegatedHere_.end(), [&](const JobId& id) {
    auto job = state_.jobs().find(id);
    return job != state_.jobs().end() && job->second.status == JobStatus::Open &&
           !returnable(job->second, now).empty();
  });
}

void ShardScheduler::addReturns(TransactionBuilder& transaction) {
  for (const auto& id : delegatedHere_) {
    Job* job = state_.job(id);
    auto found = view_.jobs.find(id);
    if (!job || found == view_.jobs.end()) continue;
    const auto& entry = found->second;
    bool current = entry.version == job->version;
    if (!current || job->status != JobStatus::Open || entry.status != JobStatus::Open) continue;
    auto tasks = returnable(*job, runtime_.now());
    if (tasks.empty()) continue;
    DelegationReturn change{id, tasks, *job->delegation};
    std::erase_if(change.kept.tasks,
                  [&](auto index) { return std::binary_search(tasks.begin(), tasks.end(), index); });
    wire::Write write{keys::job(id), wire::encodeJobRecord(recordAfterReturn(*job, entry, change)), {}};
    // One that was written under a larger limit waits until it has shrunk, or its job is over.
    if (write.value->size() > settings_.valueBytes) continue;
    if (!transaction.add(std::move(write), job->version)) return;
    commitInFlight_->delegationReturns.push_back(std::move(change));
  }
}

void ShardScheduler::returnCommitted(const DelegationReturn& written, Version version) {
  Job* job = state_.job(written.job);
  if (!job || job->status != JobStatus::Open) return;
  job->version = version;
  for (auto index : written.tasks) {
    auto& task = job->tasks[index];
    std::erase(job->waiting, index);
    if (task.state != TaskState::Waiting) continue;
    task.state = TaskState::Remote;
    ++job->remote;
  }
  job->delegation->tasks = written.kept.tasks;
  log_->info("delegated tasks returned: job={} tasks={}", written.job.value, written.tasks.size());
  if (!written.kept.tasks.empty()) return;
  returnedAt_[written.job] = version;
  delegatedHere_.erase(written.job);
  failures_.forget(written.job);
  state_.removeJob(written.job);
}

// A cancellation of a delegated job is confirmed by its owner, and we see it in the watch cache (invariant
// 16).
bool ShardScheduler::mayNotKnowCancellations(Time now) const {
  return !delegatedHere_.empty() && now >= store_.currentAsOf(keys::kJobs) + settings_.blindFor();
}

}  // namespace cherryloft
