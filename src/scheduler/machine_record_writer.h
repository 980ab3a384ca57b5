// MachineRecordWriter: brings the stored records of a shard's machines up to date with what the shard decided
// and heard: addresses, machines that go back to the cloud, machines that move to another shard.
//
// Machines are recorded in groups, as a fleet boots and goes in groups: one write tells of many machines. At
// most one transaction is in flight. It requires the shard's key unchanged, so that a former owner writes
// nothing (invariant 5).
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

// As Machine::moveTarget: back to the cloud rather than to another shard.
inline constexpr std::int32_t kMoveToCloud = -1;

class MachineRecordWriter {
 public:
  // All references must outlive the writer. shardLost is called when a write failed as the shard's key had
  // changed: another controller owns it.
  MachineRecordWriter(const Settings& settings, const Runtime& runtime, KeyValueStore& store,
                      const ClusterView& view, ShardTakeover takeover, const ShardState& state,
                      std::function<void()> shardLost);

  // Writes what differs from the records, unless a write is in flight or was answered only just now. Call
  // only while the shard is owned.
  void writeChanges(Time now);

 private:
  struct GroupChange {
    std::set<MachineId> returned;                                 // to the cloud
    std::map<ShardId, std::vector<const Machine*>> movedToShard;  // with what is known of them
  };
  using GroupChanges = std::map<std::string, GroupChange>;  // by the group's key
  // Moves need an epoch, for which shards compete; all else does not wait for that.
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
  void written(const TransactionResult& result);

  const Settings& settings_;
  const Runtime& runtime_;
  KeyValueStore& store_;
  const ClusterView& view_;
  ShardTakeover takeover_;
  const ShardState& state_;
  std::function<void()> shardLost_;

  bool writeInFlight_ = false;
  Batch lastBatch_ = Batch::NoMoves;
  Time notBefore_{};
  Time addressUnwrittenSince_{};  // since when some address is not written; the epoch of the clock: none is
  MachineGroupSplits groupSplits_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // the answer may come after the writer's end
};

}  // namespace cherryloft
