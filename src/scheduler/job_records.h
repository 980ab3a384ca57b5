// Builds the job records that a shard writes to the state service. Pure functions of the in-memory job and
// its entry in the cluster view.
#pragma once

#include "base/job.h"
#include "base/types.h"
#include "cluster/cluster_view.h"
#include "scheduler/commit_in_flight.h"
#include "wire/records.h"

namespace cherryloft {

struct Job;

// Record of a completed job; it omits the job description, which is no longer needed.
wire::JobRecord doneRecord(const Job& job, ShardId owner);
// Record of a cancelled job. It keeps the migration limit and the delegations, as other shards may still have
// tasks of it.
wire::JobRecord cancelledRecord(const Job& job, ShardId owner);
// Record of a cancelled job of another shard's team that has no task on any machine any more (invariant 17).
wire::JobRecord cleanedUpRecord(const Job& job, ShardId owner);
// Record of a job that migrates to another shard (invariant 17). teamShard: the shard of its team, which
// counts the job toward the team's quota while another shard has it.
wire::JobRecord migratedRecord(const Job& job, const PlannedMigration& migration, ShardId teamShard);

// Applies the owner's change of the job's delegations to the record in the cluster view (invariant 18).
// Removes remotely completed tasks whose completion is already committed on a placement page.
wire::JobRecord recordAfterDelegation(const Job& job, const JobEntry& entry, ShardId owner,
                                      const DelegationWrite& change);
// Applies a delegate's return of tasks to the record in the cluster view (invariant 18). Completed tasks are
// added to the record's list of remotely completed ones.
wire::JobRecord recordAfterReturn(const Job& job, const JobEntry& entry, const DelegationReturn& change);

// Upper bound of the encoded record's size after any returns by its delegates.
std::size_t maxSizeAfterReturns(const wire::JobRecord& record);

}  // namespace cherryloft
