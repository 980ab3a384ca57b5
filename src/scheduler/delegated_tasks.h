// Tasks of other shards' jobs that this shard places, as their delegate (invariant 18).
//
// The delegate places only tasks that the job's record, as it took it in, gives to it. It gives back, by a
// write under the record's version, only tasks that are done or known gone from its machines, and what is
// done is done by that write. A task that finds no capacity for long goes back unfinished; of a gang, whose
// attempt is tried once, all go back as soon as none is placed.
//
// The owner's part is TaskDelegation. No I/O and no clock: writes are added to the caller's transaction.
// Owned by one ShardScheduler and used on its thread only; settings, view and state must outlive it.
#pragma once

#include <map>
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
  DelegatedTasks(const Settings& settings, const ClusterView& view, ShardState& state, ShardId ownShard,
                 Log log);

  // No task of another shard's job is in the shard state.
  [[nodiscard]] bool none() const { return jobs_.empty(); }
  // The job is in the shard state, with the tasks that its record gives to this shard.
  void add(const JobId& job) { jobs_.insert(job); }
  // The job leaves the shard state. Nothing happens if it is this shard's own.
  void remove(const JobId& job) { jobs_.erase(job); }

  // Whether the cluster view, which shows that version of the job, may still show a delegation that was given
  // back in full since.
  [[nodiscard]] bool wasReturnedAfter(const JobId& job, Version shown);

  // Whether any job has tasks that go back to its owner now.
  [[nodiscard]] bool anyReturnable(Time now) const;
  // Adds the returns that fit, and gives them.
  [[nodiscard]] std::vector<DelegationReturn> addReturns(TransactionBuilder& transaction, Time now);
  // That return was committed at that version of the job's record. True if nothing of the job is left here:
  // the caller removes it from the shard state.
  [[nodiscard]] bool committed(const DelegationReturn& written, Version version);

 private:
  std::vector<std::uint32_t> returnable(const Job& job, Time now) const;

  const Settings& settings_;
  const ClusterView& view_;
  ShardState& state_;
  ShardId ownShard_;
  Log log_;
  std::set<JobId> jobs_;
  // Delegations that were given back in full; the cluster view may show them until it shows that version.
  std::map<JobId, Version> returnedAt_;
};

}  // namespace cherryloft
