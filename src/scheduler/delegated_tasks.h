// Tasks of other shards' jobs that this shard places as their delegate (invariant 18).
//
// The delegate places only those tasks that were delegated to it in the job's record when it accepted the
// delegation. It returns only tasks that are done or known to be gone from its machines, by a write that is
// conditional on the record's version; that write also commits the completion of the done tasks. A task that
// finds no capacity for too long is returned unfinished. A gang's attempt is tried only once, so all its
// members are returned as soon as none is placed.
//
// TaskDelegation implements the owner's side. Performs no I/O and reads no clock: writes are added to the
// caller's transaction. Owned by one ShardScheduler and used only on its thread. The settings, the view and
// the state must outlive it.
#pragma once

#include <set>
#include <vector>

#include "cluster/cluster_view.h"
#include "config/settings.h"
#include "kvstore/transaction_builder.h"
#include "log/log.h"
#include "scheduler/commit_in_flight.h"

namespace cherryloft {

struct Job;
class ShardState;

class DelegatedTasks {
 public:
  DelegatedTasks(const Settings& settings, const ClusterView& view, ShardState& state, Log log);

  // Whether the shard state contains no task of another shard's job.
  [[nodiscard]] bool none() const { return jobs_.empty(); }
  // To be called once the job is in the shard state with the tasks that its record delegates to this shard.
  void add(const JobId& job) { jobs_.insert(job); }
  // To be called when the job is removed from the shard state. Does nothing for this shard's own jobs.
  void remove(const JobId& job) { jobs_.erase(job); }

  // Whether any job has tasks to return to its owner now.
  [[nodiscard]] bool anyReturnable(Time now) const;
  // Adds the returns that fit to the transaction, and returns them.
  [[nodiscard]] std::vector<DelegationReturn> addReturns(TransactionBuilder& transaction, Time now);
  // The return was committed, and the cluster view shows that record or a later one. Returns true if this
  // shard has no tasks of the job left; the caller must then remove the job from the shard state.
  [[nodiscard]] bool committed(const DelegationReturn& written);

 private:
  std::vector<std::uint32_t> returnable(const Job& job, Time now) const;

  const Settings& settings_;
  const ClusterView& view_;
  ShardState& state_;
  Log log_;
  std::set<JobId> jobs_;
};

}  // namespace cherryloft
