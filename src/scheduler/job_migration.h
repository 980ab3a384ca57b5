// Migration of whole jobs to other shards, from the plan to the last trace of them (invariant 17).
//
// The owner of a job of which nothing is or was on any machine writes the job's record anew with another
// shard that offered capacity. The team's own shard goes on to enforce the team's quota: it counts as in use
// what the job may take at a time, from before that write until the job is over and nothing of it can be
// left. The other owner says by one more write when nothing is left of a cancelled job.
//
// Which jobs migrate, and where, is decided by remote_capacity.cpp. No I/O: writes are added to the caller's
// transaction. Owned by one ShardScheduler and used on its thread only; it refers to that scheduler's
// ShardState, to the cluster view and to the settings, which must outlive it.
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

  // After a takeover, once the jobs are restored: counts the jobs of this shard's teams that former owners
  // migrated, and what other shards may still have of cancelled jobs of this shard.
  void restoreRemoteUsage();

  // The job is to be written with the next commit as the other shard's; from now on what it may take there at
  // a time (maxConcurrent tasks) is counted, if its team is of this shard.
  void plan(const Job& job, ShardId toShard, std::uint32_t maxConcurrent);
  // Its migration is planned, or it is counted as elsewhere.
  [[nodiscard]] bool isPlannedOrRemote(const JobId& job) const;
  // Adds the planned migrations of jobs of which still nothing was anywhere, and returns them. The others are
  // dropped.
  [[nodiscard]] std::vector<JobId> addPlanned(TransactionBuilder& transaction);
  void committed(const JobId& job) { remoteUsage_.commit(job); }

  // A job of this shard is over and about to leave the shard state. Plans the write that says so, if the job
  // came here by a migration and nothing of it is left; counts on what other shards still have of it.
  void handleJobEnd(const Job& job);
  [[nodiscard]] bool hasPlannedCleanups() const { return !cleanups_.empty(); }
  // Adds the planned cleanups as far as they fit. A record that does not fit is left as it is: the team's own
  // shard then waits for cancel_s.
  void addCleanups(TransactionBuilder& transaction);

  // Stops counting jobs of which nothing can be left elsewhere. Returns how many there were.
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
