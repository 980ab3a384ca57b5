// What one transaction of a shard writes, remaining until its result is known.
//
// Only after the transaction is committed does any of it take effect: commands go out, users are answered,
// the shard's tables follow (ShardScheduler::applyCommit). After an unclear result the same transaction is
// sent again, so this is not changed once composed.
#pragma once

#include <string>
#include <vector>

#include "base/job.h"
#include "base/types.h"
#include "scheduler/placement_pages.h"
#include "wire/kvstore.h"
#include "wire/records.h"

namespace cherryloft {

// A task's placement on a machine, as written to a page.
struct PlacementWrite {
  MachineId machine;
  TaskId task;
  Attempt attempt;
};

// A job that is written as over.
struct JobEndWrite {
  JobId job;
  JobStatus status = JobStatus::Done;  // Done or Cancelled
};

// A job whose record is to name another shard (invariant 17).
struct PlannedMigration {
  JobId job;
  ShardId toShard;
  std::uint32_t maxConcurrent = 0;  // its tasks that may be placed there at a time
};

// A cancelled job of another shard's team of which nothing is on any machine any more: its record is to say
// so, so that the team's own shard stops counting it (invariant 17).
struct MigrationCleanup {
  JobId job;
  Version version;    // that the record must still have
  std::string value;  // the record to write
};

// The owner's change to the delegations of one of its jobs (invariant 18).
struct DelegationWrite {
  JobId job;
  std::vector<Delegation> planned;  // tasks that go to other shards
  bool recall = false;              // all that other shards have of it is asked back
};

// What a delegate gives back of another shard's job (invariant 18).
struct DelegationReturn {
  JobId job;
  std::vector<std::uint32_t> tasks;  // given back, done or not; ascending
  Delegation remaining;              // what the delegate still has
};

struct CommitInFlight {
  wire::Transaction transaction;
  std::vector<PageNumber> pages;         // written
  std::vector<PageNumber> deletedPages;  // deleted
  std::vector<PlacementWrite> placements;
  std::vector<TaskId> completions;
  std::vector<JobEndWrite> jobEnds;
  std::vector<JobId> migrations;
  std::vector<DelegationWrite> delegations;
  std::vector<DelegationReturn> delegationReturns;

  // Whether it writes the end of the job, or its migration.
  [[nodiscard]] bool endsJob(const JobId& job) const;
  [[nodiscard]] bool migratesJob(const JobId& job) const;
};

}  // namespace cherryloft
