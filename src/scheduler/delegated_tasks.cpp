#include "scheduler/delegated_tasks.h"

#include <algorithm>
#include <utility>

#include "scheduler/job_records.h"
#include "scheduler/shard_state.h"

namespace cherryloft {
namespace {

// Tasks that found no capacity for this time are returned to the owner, which may find capacity elsewhere.
constexpr Duration kReturnUnplacedAfter{30'000};

}  // namespace

DelegatedTasks::DelegatedTasks(const Settings& settings, const ClusterView& view, ShardState& state, Log log)
    : settings_(settings), view_(view), state_(state), log_(std::move(log)) {}

// Lists the tasks to return to the owner now. These are all tasks that are not placed, once none is left
// to run, or once the waiting ones found no capacity for too long or were recalled. For a gang, also as soon
// as no member is placed any more.
std::vector<std::uint32_t> DelegatedTasks::returnable(const Job& job, Time now) const {
  bool finished = job.placed == 0 && job.waiting.empty();
  bool timedOut = now - std::max(job.since, job.lastPlacedAt) >= kReturnUnplacedAfter;
  bool gangEnded = job.delegation->attempt && job.started && job.placed == 0;
  bool returnsWaiting = !job.waiting.empty() && (timedOut || job.recalling || gangEnded);
  std::vector<std::uint32_t> tasks;
  if (!finished && !returnsWaiting) return tasks;
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
    bool viewIsCurrent = entry.version == job->version;
    if (!viewIsCurrent || job->status != JobStatus::Open || entry.status != JobStatus::Open) continue;
    auto tasks = returnable(*job, now);
    if (tasks.empty()) continue;
    DelegationReturn change{id, tasks, *job->delegation};
    std::erase_if(change.remaining.tasks,
                  [&](auto index) { return std::binary_search(tasks.begin(), tasks.end(), index); });
    wire::Write write{keys::job(id), wire::encodeJobRecord(recordAfterReturn(*job, entry, change)), {}};
    // A record that was written under a larger size limit must wait until it has shrunk or the job has ended.
    if (write.value->size() > settings_.maxValueBytes) continue;
    if (!transaction.add(std::move(write), job->version)) break;
    added.push_back(std::move(change));
  }
  return added;
}

bool DelegatedTasks::committed(const DelegationReturn& written) {
  Job* job = state_.job(written.job);
  if (!job || job->status != JobStatus::Open) return false;
  for (auto index : written.tasks) {
    auto& task = job->tasks[index];
    std::erase(job->waiting, index);
    if (task.state != TaskState::Waiting) continue;
    task.state = TaskState::Remote;
    ++job->remote;
  }
  job->delegation->tasks = written.remaining.tasks;
  log_->info("delegated tasks returned: job={} tasks={}", written.job.value, written.tasks.size());
  if (!written.remaining.tasks.empty()) return false;
  jobs_.erase(written.job);
  return true;
}

}  // namespace cherryloft
