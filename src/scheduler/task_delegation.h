// Delegation of waiting tasks to other shards, by the shard that owns their job (invariant 18).
//
// From before the write of the job's record that gives a task to another shard, until the record says
// otherwise, the owner counts the task as placed, toward the team's quota and in the delegate's zone, and
// never places it. So at any version of the record each task has one shard. The tasks of a job whose record
// can't be written now wait here again.
//
// Which tasks are delegated, and where to, is decided by task_delegation_owner.cpp; the delegate's part is
// DelegatedTasks. No I/O: writes are added to the caller's transaction. Owned by one ShardScheduler and used
// on its thread only; settings, view and state must outlive it.
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

// Tasks of a job that are given to one shard at a time; bounds the record's growth by one write.
inline constexpr std::uint32_t kMaxTasksPerDelegation = 64;

// What delegates gave back of a job.
struct ReturnedTasks {
  std::vector<std::uint32_t> done;
  std::vector<std::uint32_t> unfinished;  // they wait again

  [[nodiscard]] bool any() const { return !done.empty() || !unfinished.empty(); }
};

class TaskDelegation {
 public:
  // Whether the job's placement rules allow one more task of it in the zone.
  using ZoneAllows = std::function<bool(const Job&, const Zone&)>;

  TaskDelegation(const Settings& settings, const ClusterView& view, ShardState& state, ShardId ownShard,
                 ZoneAllows zoneAllows, Log log);

  [[nodiscard]] bool planned(const JobId& job) const { return plans_.count(job) > 0; }
  [[nodiscard]] bool anyPlanned() const { return !plans_.empty(); }

  // Plans to give the shard as many of the job's first waiting tasks as it offered capacity for and the job's
  // rules allow, at most maxTasks. Returns how many.
  std::uint32_t plan(Job& job, const ReceivedTaskOffer& offer, std::uint32_t maxTasks);
  // Plans to ask back all that other shards have of the job. A job that is being recalled already is left as
  // it is.
  void planRecall(Job& job);
  // Drops what is planned for the job; its tasks wait again, in order of their indices.
  void dropPlan(Job& job);

  // Adds what is planned as far as it fits, and returns it. A recall that can't be added stays planned; a
  // plan to delegate is dropped, as the capacity that was offered will be gone.
  [[nodiscard]] std::vector<DelegationWrite> addPlanned(TransactionBuilder& transaction);
  // That change was committed at that version of the job's record.
  void committed(const DelegationWrite& written, Version version);

  // The cluster view shows the record of an own job: takes in what delegates gave back with it. Nothing if
  // the record is not newer than what is known, or the job is over.
  [[nodiscard]] std::optional<ReturnedTasks> applyReturns(Job& job, const JobEntry& entry);

 private:
  std::optional<wire::JobRecord> recordWith(const Job& job, const DelegationWrite& change) const;
  bool add(TransactionBuilder& transaction, const Job& job, const DelegationWrite& change) const;
  void letWaitAgain(Job& job, const DelegationWrite& plan);

  const Settings& settings_;
  const ClusterView& view_;
  ShardState& state_;
  ShardId ownShard_;
  ZoneAllows zoneAllows_;
  Log log_;
  std::map<JobId, DelegationWrite> plans_;  // to be written with the next commit
};

}  // namespace cherryloft
