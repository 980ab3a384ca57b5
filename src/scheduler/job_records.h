// The records by which a shard changes a job in the state service. Pure functions of what is known of the
// job.
#pragma once

#include "base/job.h"
#include "base/types.h"
#include "cluster/cluster_view.h"
#include "scheduler/commit_in_flight.h"
#include "wire/records.h"

namespace cherryloft {

struct Job;

// The job is done; the record needs no description any more.
wire::JobRecord doneRecord(const Job& job, ShardId owner);
// The job is cancelled; what is known of migration and delegations stays, as other shards may have tasks.
wire::JobRecord cancelledRecord(const Job& job, ShardId owner);
// A cancelled job of another shard's team of which nothing is on any machine any more (invariant 17).
wire::JobRecord cleanedUpRecord(const Job& job, ShardId owner);
// The job goes to another shard (invariant 17). teamShard: the shard of its team, which counts the job toward
// the team's quota while another shard has it.
wire::JobRecord migratedRecord(const Job& job, const PlannedMigration& migration, ShardId teamShard);

// The owner's change to the job's delegations, applied to the record that the cluster view shows (invariant
// 18). What pages tell of tasks that were done elsewhere is dropped from it.
wire::JobRecord recordAfterDelegation(const Job& job, const JobEntry& entry, ShardId owner,
                                      const DelegationWrite& change);
// What a delegate gives back, applied to the record that the cluster view shows (invariant 18): tasks that
// are done go to its list of those done remotely.
wire::JobRecord recordAfterReturn(const Job& job, const JobEntry& entry, const DelegationReturn& change);

// An upper bound of the encoded record's bytes, whatever its delegates give back, done or not.
std::size_t maxSizeAfterReturns(const wire::JobRecord& record);

}  // namespace cherryloft
