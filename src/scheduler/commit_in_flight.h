// Contents of one transaction of a shard, kept until its result is known.
//
// None of it takes effect before the transaction is committed; then commands are sent, users are answered and
// the shard state is updated (ShardScheduler::applyCommit). If the result is unknown, the same transaction is
// sent again, so the contents must not change once the transaction is built.
#pragma once

#include <string>
#include <vector>

#include "base/job.h"
#include "base/types.h"
#include "scheduler/placement_pages.h"
#include "wire/kvstore.h"
#include "wire/records.h"

namespace cherryloft {

// A task's placement on a machine, as written to a placement page.
struct PlacementWrite {
  MachineId machine;
  TaskId task;
  Attempt attempt;
};

// A job whose terminal status is written.
struct JobEndWrite {
  JobId job;
  JobStatus status = JobStatus::Done;  // Done or Cancelled
};

// A job whose record is to be reassigned to another shard (invariant 17).
struct PlannedMigration {
  JobId job;
  ShardId toShard;
  std::uint32_t maxConcurrent = 0;  // maximum number of its tasks placed there at a time
};

// A cancelled job of another shard's team that has no task on any machine any more: its record is updated to
// say so, so that the team's own shard stops counting its usage (invariant 17).
struct MigrationCleanup {
  JobId job;
  Version version;    // expected version of the record
  std::string value;  // the record to write
};

// A change by the owner to the delegations of one of its jobs (invariant 18).
struct DelegationWrite {
  JobId job;
  std::vector<Delegation> planned;  // tasks to delegate to other shards
  bool recall = false;              // recall all tasks delegated to other shards
};

// Tasks of another shard's job that a delegate returns (invariant 18).
struct DelegationReturn {
  JobId job;
  std::vector<std::uint32_t> tasks;  // returned tasks, done or not, in ascending order
  Delegation remaining;              // what stays with the delegate
};

struct CommitInFlight {
  wire::Transaction transaction;
  std::vector<PageNumber> writtenPages;
  std::vector<PageNumber> deletedPages;
  std::vector<PlacementWrite> placements;
  std::vector<TaskId> completions;
  std::vector<JobEndWrite> jobEnds;
  std::vector<JobId> migrations;
  std::vector<DelegationReturn> delegationReturns;

  // Whether the transaction writes the job's terminal status, or its migration.
  [[nodiscard]] bool ends(const JobId& job) const;
  [[nodiscard]] bool migrates(const JobId& job) const;
};

}  // namespace cherryloft
