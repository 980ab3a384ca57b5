#include "scheduler/task_delegation.h"

#include <algorithm>
#include <utility>

#include "scheduler/job_records.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

TaskDelegation::TaskDelegation(const Settings& settings, const ClusterView& view, ShardState& state,
                               ShardId ownShard, ZoneAllows zoneAllows, Log log)
    : settings_(settings),
      view_(view),
      state_(state),
      ownShard_(ownShard),
      zoneAllows_(std::move(zoneAllows)),
      log_(std::move(log)) {}

// --- plans ---

std::uint32_t TaskDelegation::plan(Job& job, const ReceivedTaskOffer& offer, std::uint32_t maxTasks) {
  Delegation delegation{offer.shard, offer.zone, {}, job.gangAttempt};
  auto limit = std::min({maxTasks, offer.tasks, kMaxTasksPerDelegation});
  while (delegation.tasks.size() < limit && (!offer.zone || zoneAllows_(job, *offer.zone))) {
    auto index = job.waiting.front();
    job.waiting.pop_front();
    state_.markRemote(job, index, offer.zone);
    delegation.tasks.push_back(index);
  }
  if (delegation.tasks.empty()) return 0;
  auto count = static_cast<std::uint32_t>(delegation.tasks.size());
  std::sort(delegation.tasks.begin(), delegation.tasks.end());
  log_->info("delegating tasks: job={} tasks={} to_shard={}", job.id.value, count, offer.shard.value);
  auto& plan = plans_[job.id];
  plan.job = job.id;
  plan.planned.push_back(std::move(delegation));
  return count;
}

void TaskDelegation::planRecall(Job& job) {
  if (job.recalling) return;
  job.recalling = true;
  auto& plan = plans_[job.id];
  plan.job = job.id;
  plan.recall = true;
}

void TaskDelegation::dropPlan(Job& job) {
  auto found = plans_.find(job.id);
  if (found == plans_.end()) return;
  requeueTasks(job, found->second);
  plans_.erase(found);
}

void TaskDelegation::requeueTasks(Job& job, const DelegationWrite& plan) {
  for (const auto& delegation : plan.planned)
    for (auto index : delegation.tasks) state_.takeBackRemote(job, index, delegation.zone, false);
  std::sort(job.waiting.begin(), job.waiting.end());
}

// --- writes ---

// Returns the job's current record with the change applied; nothing if the job is ending or the cluster view
// lags behind this shard's own writes.
std::optional<wire::JobRecord> TaskDelegation::recordWith(const Job& job,
                                                          const DelegationWrite& change) const {
  auto found = view_.jobs.find(job.id);
  if (found == view_.jobs.end()) return std::nullopt;
  const auto& entry = found->second;
  bool viewIsCurrent = entry.version == job.version && entry.status == JobStatus::Open;
  if (!viewIsCurrent || !job.open() || !job.cancelCallbacks.empty()) return std::nullopt;
  return recordAfterDelegation(job, entry, ownShard_, change);
}

void TaskDelegation::addPlanned(TransactionBuilder& transaction) {
  for (auto position = plans_.begin(); position != plans_.end();) {
    auto& plan = position->second;
    Job* job = state_.job(position->first);
    bool open = job && job->open();
    bool fits = open && add(transaction, *job, plan);
    if (fits) {
      job->delegations.insert(job->delegations.end(), plan.planned.begin(), plan.planned.end());
    } else if (open && plan.recall) {
      ++position;
      continue;
    } else if (job) {
      requeueTasks(*job, plan);
      if (open) job->gangAttempt.reset();
    }
    position = plans_.erase(position);
  }
}

bool TaskDelegation::add(TransactionBuilder& transaction, const Job& job,
                         const DelegationWrite& change) const {
  auto record = recordWith(job, change);
  if (!record) return false;
  wire::Write write{keys::job(job.id), wire::encodeJobRecord(*record), {}};
  // Whichever tasks the delegates return, done or not, the record must stay within the maximum value size.
  auto size = change.recall ? write.value->size() : maxSizeAfterReturns(*record);
  if (size > settings_.maxValueBytes) return false;
  return transaction.add(std::move(write), job.version);
}

// --- committed records ---

std::optional<ReturnedTasks> TaskDelegation::applyReturns(Job& job, const JobEntry& entry) {
  bool bothOpen = entry.status == JobStatus::Open && job.status == JobStatus::Open;
  if (!bothOpen || job.version >= entry.version) return std::nullopt;
  job.version = entry.version;
  ReturnedTasks returned;
  auto previous = std::exchange(job.delegations, entry.delegations);
  for (const auto& before : previous) {
    const auto* current = findDelegation(entry.delegations, before.shard);
    for (auto index : before.tasks) {
      bool stillDelegated = current && current->contains(index);
      if (stillDelegated || job.tasks[index].state != TaskState::Remote) continue;
      bool done = std::binary_search(entry.doneRemotely.begin(), entry.doneRemotely.end(), index);
      state_.takeBackRemote(job, index, before.zone, done);
      (done ? returned.done : returned.unfinished).push_back(index);
    }
  }
  if (job.remote == 0) {
    job.recalling = false;
    job.gangAttempt.reset();
  }
  return returned;
}

}  // namespace cherryloft
