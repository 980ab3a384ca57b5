// Delegation of waiting tasks to other shards by the shard that owns their job (invariant 18).
//
// Before the owner writes the job's record that delegates a task, it starts to count the task as placed,
// toward the team's quota and in the delegate's zone, and no longer places it itself. That holds until the
// record no longer delegates the task, so at each version of the record exactly one shard may place a task.
// If the record can't be written now, the tasks are put back into the job's queue.
//
// task_delegation_owner.cpp decides which tasks are delegated, and to which shard; DelegatedTasks implements
// the delegate's side. Performs no I/O: writes are added to the caller's transaction. Owned by one
// ShardScheduler and used only on its thread. The settings, the view and the state must outlive it.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cluster/cluster_view.h"
#include "config/settings.h"
#include "kvstore/transaction_builder.h"
#include "log/log.h"
#include "scheduler/capacity_offers.h"
#include "scheduler/commit_in_flight.h"

namespace cherryloft {

struct Job;
class ShardState;

// Maximum number of tasks of a job that are delegated to one shard at a time; limits how much one write
// enlarges the record.
inline constexpr std::uint32_t kMaxTasksPerDelegation = 64;

// Tasks of a job that delegates returned.
struct ReturnedTasks {
  std::vector<std::uint32_t> done;
  std::vector<std::uint32_t> unfinished;  // in the job's queue again

  [[nodiscard]] bool any() const { return !done.empty() || !unfinished.empty(); }
};

class TaskDelegation {
 public:
  // Whether the job's placement rules allow one more of its tasks in the zone.
  using ZoneAllows = std::function<bool(const Job&, const Zone&)>;

  TaskDelegation(const Settings& settings, const ClusterView& view, ShardState& state, ShardId ownShard,
                 ZoneAllows zoneAllows, Log log);

  [[nodiscard]] bool planned(const JobId& job) const { return plans_.count(job) > 0; }
  [[nodiscard]] bool anyPlanned() const { return !plans_.empty(); }

  // Plans to delegate the job's first waiting tasks to the shard: as many as it offered capacity for and the
  // job's placement rules allow, but at most maxTasks. Returns how many.
  std::uint32_t plan(Job& job, const ReceivedTaskOffer& offer, std::uint32_t maxTasks);
  // Plans to recall all tasks of the job from other shards. Does nothing if a recall is already in progress.
  void planRecall(Job& job);
  // Drops the plan for the job and puts its tasks back into the job's queue, ordered by index.
  void dropPlan(Job& job);

  // Adds the planned writes that fit to the transaction; the job counts as having their delegations from then
  // on, as the cluster view may show a return of them before the commit is answered. A recall that can't be
  // added stays planned. A delegation that can't be added is dropped, as the offered capacity will be gone by
  // the next commit.
  void addPlanned(TransactionBuilder& transaction);
  // Applies a newer record of one of this shard's jobs from the cluster view, in which delegates may have
  // returned tasks. Returns nothing if the record is not newer than the known version or the job has ended.
  [[nodiscard]] std::optional<ReturnedTasks> applyReturns(Job& job, const JobEntry& entry);

 private:
  std::optional<wire::JobRecord> recordWith(const Job& job, const DelegationWrite& change) const;
  bool add(TransactionBuilder& transaction, const Job& job, const DelegationWrite& change) const;
  void requeueTasks(Job& job, const DelegationWrite& plan);

  const Settings& settings_;
  const ClusterView& view_;
  ShardState& state_;
  ShardId ownShard_;
  ZoneAllows zoneAllows_;
  Log log_;
  std::map<JobId, DelegationWrite> plans_;  // to be written with the next commit
};

}  // namespace cherryloft
