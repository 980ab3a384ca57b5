#include "scheduler/delegated_tasks.h"

#include <algorithm>
#include <utility>

#include "scheduler/job_records.h"
#include "scheduler/shard_state.h"

namespace cherryloft {
namespace {

// What found no capacity for so long goes back to the owner, which may find some elsewhere.
constexpr Duration kReturnsAfter{30'000};

}  // namespace

DelegatedTasks::DelegatedTasks(const Settings& settings, const ClusterView& view, ShardState& state,
                               ShardId ownShard, Log log)
    : settings_(settings), view_(view), state_(state), ownShard_(ownShard), log_(std::move(log)) {}

bool DelegatedTasks::returnedSince(const JobId& job, Version shown) {
  auto found = returnedAt_.find(job);
  if (found == returnedAt_.end()) return false;
  if (shown < found->second) return true;
  returnedAt_.erase(found);
  return false;
}

// Tasks that go back to the owner: all that are not placed, once nothing is left to do, or once what waits
// found no capacity for long or is asked back. Of a gang, as soon as none is placed.
std::vector<std::uint32_t> DelegatedTasks::returnable(const Job& job, Time now) const {
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

bool DelegatedTasks::anyReturnable(Time now) const {
  return std::any_of(jobs_.begin(), jobs_.end(), [&](const JobId& id) {
    auto job = state_.jobs().find(id);
    return job != state_.jobs().end() && job->second.status == JobStatus::Open &&
           !returnable(job->second, now).empty();
  });
}

std::vector<DelegationReturn> DelegatedTasks::addReturns(TransactionBuilder& transaction, Time now) {
  std::vector<DelegationReturn> added;
  for (const auto& id : jobs_) {
    Job* job = state_.job(id);
    auto found = view_.jobs.find(id);
    if (!job || found == view_.jobs.end()) continue;
    const auto& entry = found->second;
    bool current = entry.version == job->version;
    if (!current || job->status != JobStatus::Open || entry.status != JobStatus::Open) continue;
    auto tasks = returnable(*job, now);
    if (tasks.empty()) continue;
    DelegationReturn change{id, tasks, *job->delegation};
    std::erase_if(change.kept.tasks,
                  [&](auto index) { return std::binary_search(tasks.begin(), tasks.end(), index); });
    wire::Write write{keys::job(id), wire::encodeJobRecord(recordAfterReturn(*job, entry, change)), {}};
    // One that was written under a larger limit waits until it has shrunk, or its job is over.
    if (write.value->size() > settings_.maxValueBytes) continue;
    if (!transaction.add(std::move(write), job->version)) break;
    added.push_back(std::move(change));
  }
  return added;
}

bool DelegatedTasks::committed(const DelegationReturn& written, Version version) {
  Job* job = state_.job(written.job);
  if (!job || job->status != JobStatus::Open) return false;
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
  if (!written.kept.tasks.empty()) return false;
  returnedAt_[written.job] = version;
  jobs_.erase(written.job);
  return true;
}

}  // namespace cherryloft
