// MachineRecordWriter: updates the stored records of a shard's machines with the shard's decisions and with
// what the machines report: addresses, machines to return to the cloud, machines to move to another shard.
//
// Machines are stored in groups, as fleets are started and released in groups, so that one write covers many
// machines. At most one transaction is in flight. It requires the shard's key to be unchanged, so that a
// former owner can't write (invariant 5).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_view.h"
#include "cluster/machine_group_rewrite.h"
#include "cluster/membership.h"
#include "config/settings.h"
#include "kvstore/key_value_store.h"
#include "kvstore/transaction_builder.h"
#include "runtime/runtime.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

// Value of Machine::moveTarget for returning the machine to the cloud instead of moving it to a shard.
inline constexpr std::int32_t kMoveToCloud = -1;

class MachineRecordWriter {
 public:
  // All references must outlive the writer. `shardLost` is called if a write fails because the shard's key
  // has changed: another controller owns the shard.
  MachineRecordWriter(const Settings& settings, const Runtime& runtime, KeyValueStore& store,
                      const ClusterView& view, ShardTakeover takeover, const ShardState& state,
                      std::function<void()> shardLost);

  // Writes what differs from the stored records, unless a write is in flight or has just been answered. Must
  // be called only while the shard is owned.
  void writeChanges(Time now);

 private:
  struct GroupChange {
    std::set<MachineId> returned;  // machines to return to the cloud
    std::map<ShardId, std::vector<const Machine*>> movedToShard;
  };
  using GroupChanges = std::map<std::string, GroupChange>;  // by group key
  // Moves need a new epoch, and transactions of different shards conflict on the epoch counter. Other changes
  // are written separately so that they don't wait for that.
  enum class Batch { Moves, NoMoves };

  GroupChanges collectChanges(Time now);
  Batch chooseBatch(const GroupChanges& changes) const;
  void addChanges(TransactionBuilder& transaction, GroupChanges& changes, Batch batch, Epoch token, Time now);
  bool addGroupChange(TransactionBuilder& transaction, const std::string& key, GroupChange& change,
                      Epoch token);
  MachineGroupRewrite rewriteOf(const std::string& key, const GroupChange& change, Epoch token) const;
  wire::MachineGroupRecord movedGroup(const wire::MachineGroupRecord& group, ShardId to,
                                      const std::vector<const Machine*>& machines, Epoch token) const;
  void updateMembers(wire::MachineGroupRecord& group, const GroupChange& change) const;
  void handleWriteResult(const TransactionResult& result);

  const Settings& settings_;
  const Runtime& runtime_;
  KeyValueStore& store_;
  const ClusterView& view_;
  ShardTakeover takeover_;
  const ShardState& state_;
  std::function<void()> shardLost_;

  bool writeInFlight_ = false;
  Batch lastBatch_ = Batch::NoMoves;
  Time nextWriteNotBefore_{};
  Time addressUnwrittenSince_{};  // when an unwritten address was first seen; Time{} if there is none
  MachineGroupSplits groupSplits_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // results may arrive after destruction
};

}  // namespace cherryloft
