#include "scheduler/job_records.h"

#include <algorithm>

#include "scheduler/shard_state.h"

namespace cherryloft {
namespace {

// Maximum encoded size of one task index in a list of a job record.
constexpr std::size_t kMaxTaskIndexBytes = 16;

std::uint32_t taskCount(const Job& job) { return static_cast<std::uint32_t>(job.tasks.size()); }

}  // namespace

wire::JobRecord doneRecord(const Job& job, ShardId owner) {
  return {JobStatus::Done, owner, taskCount(job), job.submitted, {}};
}

wire::JobRecord cancelledRecord(const Job& job, ShardId owner) {
  return {JobStatus::Cancelled, owner,          taskCount(job), job.submitted, *job.spec,
          job.maxConcurrent,    job.delegations};
}

wire::JobRecord cleanedUpRecord(const Job& job, ShardId owner) {
  auto record = cancelledRecord(job, owner);
  record.maxConcurrent = 0;
  record.delegations.clear();
  return record;
}

wire::JobRecord migratedRecord(const Job& job, const PlannedMigration& migration, ShardId teamShard) {
  wire::JobRecord record{JobStatus::Open, migration.toShard, job.spec->tasks, job.submitted, *job.spec, {}};
  if (migration.toShard != teamShard) record.maxConcurrent = migration.maxConcurrent;
  return record;
}

wire::JobRecord recordAfterDelegation(const Job& job, const JobEntry& entry, ShardId owner,
                                      const DelegationWrite& change) {
  wire::JobRecord record{
      JobStatus::Open,   owner, entry.tasks, job.submitted, *job.spec, job.maxConcurrent, entry.delegations,
      entry.doneRemotely};
  record.delegations.insert(record.delegations.end(), change.planned.begin(), change.planned.end());
  if (change.recall)
    for (auto& delegation : record.delegations) delegation.recalled = true;
  std::erase_if(record.doneRemotely, [&](auto index) {
    const auto& task = job.tasks[index];
    return task.doneCommitted && task.page != kNoPage;
  });
  return record;
}

wire::JobRecord recordAfterReturn(const Job& job, const JobEntry& entry, const DelegationReturn& change) {
  wire::JobRecord record{JobStatus::Open, entry.shard,         entry.tasks,       entry.submitted,
                         *job.spec,       entry.maxConcurrent, entry.delegations, entry.doneRemotely};
  std::erase_if(record.delegations,
                [&](const Delegation& delegation) { return delegation.shard == change.remaining.shard; });
  if (!change.remaining.tasks.empty()) record.delegations.push_back(change.remaining);
  for (auto index : change.tasks)
    if (job.tasks[index].state == TaskState::Done) record.doneRemotely.push_back(index);
  std::sort(record.doneRemotely.begin(), record.doneRemotely.end());
  return record;
}

std::size_t maxSizeAfterReturns(const wire::JobRecord& record) {
  std::size_t tasks = 0;
  for (const auto& delegation : record.delegations) tasks += delegation.tasks.size();
  return wire::encodeJobRecord(record).size() + tasks * kMaxTaskIndexBytes;
}

}  // namespace cherryloft
