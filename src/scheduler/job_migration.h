// Migration of whole jobs to other shards, from planning until no task of them is left there (invariant 17).
//
// The owner of a job of which no task was ever placed on a machine rewrites the job's record to name another
// shard that offered capacity. The team's home shard continues to enforce the team's quota: it counts the
// most that the job may use concurrently, from before that write until the job has ended and none of its
// tasks can be left. For a cancelled job, the new owner writes the record once more when no task is left.
//
// remote_capacity.cpp decides which jobs migrate, and where. Performs no I/O: writes are added to the
// caller's transaction. Owned by one ShardScheduler and used only on its thread. The settings, the cluster
// view and that scheduler's ShardState must outlive it.
#pragma once

#include <string>
#include <vector>

#include "cluster/cluster_view.h"
#include "config/settings.h"
#include "kvstore/transaction_builder.h"
#include "log/log.h"
#include "scheduler/commit_in_flight.h"
#include "scheduler/remote_usage.h"

namespace cherryloft {

struct Job;

class JobMigration {
 public:
  JobMigration(const Settings& settings, const ClusterView& view, ShardState& state, ShardId ownShard,
               Log log);

  // To be called after a takeover, once the jobs are restored. Counts the jobs of this shard's teams that
  // former owners migrated, and tasks of this shard's cancelled jobs that other shards may still have.
  void restoreRemoteUsage();

  // Plans to assign the job to the other shard with the next commit. If this is the team's home shard, it
  // counts maxConcurrent tasks, the most that may run there concurrently, from now on.
  void plan(const Job& job, ShardId toShard, std::uint32_t maxConcurrent);
  // Whether a migration of the job is planned, or the job is counted as being on another shard.
  [[nodiscard]] bool isPlannedOrRemote(const JobId& job) const;
  // Adds the planned migrations of those jobs of which still no task was placed, and returns the jobs. Drops
  // the other plans.
  [[nodiscard]] std::vector<JobId> addPlanned(TransactionBuilder& transaction);
  void committed(const JobId& job) { remoteUsage_.markCommitted(job); }

  // To be called when a job has ended and is about to be removed from the shard state. Continues to count
  // tasks that other shards still have. If there are none and a cancelled job came here by a migration, plans
  // the write that records that none of its tasks is left.
  void handleJobEnd(const Job& job);
  [[nodiscard]] bool hasPlannedCleanups() const { return !cleanups_.empty(); }
  // Adds the planned cleanups that fit. A record that doesn't fit is left unchanged; the team's home shard
  // then waits for cancel_s.
  void addCleanups(TransactionBuilder& transaction);

  // Stops counting jobs that can have no tasks left on other shards. Returns how many there were.
  std::size_t releaseEnded(Time now) { return remoteUsage_.releaseEnded(view_, ownShard_, now); }

 private:
  bool add(TransactionBuilder& transaction, const PlannedMigration& migration) const;
  void countDelegated(const JobId& id, const JobEntry& entry);

  const Settings& settings_;
  const ClusterView& view_;
  ShardState& state_;
  ShardId ownShard_;
  Log log_;
  RemoteUsage remoteUsage_;
  std::vector<PlannedMigration> planned_;
  std::vector<MigrationCleanup> cleanups_;
};

}  // namespace cherryloft
