// ShardOwnership: tracks the shards that this controller owns, and acquires and releases them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cluster/cluster_view.h"
#include "cluster/controller_lease.h"
#include "cluster/epoch_allocator.h"

namespace cherryloft {

// The initial data of a shard's scheduler.
struct ShardTakeover {
  ShardId shard;
  Epoch epoch;
  Version version;  // of the shard's owner record
  // How long the former owner and its keep-alive proxies may have continued to answer heartbeats.
  Duration formerOwnerAnswersFor{0};
};

// The outcome of a transfer of a shard to another controller.
enum class TransferOutcome : std::uint8_t {
  Released,    // transferred, or in doubt: this controller no longer acts as the owner
  StillOwned,  // refused; nothing has changed
};

// Ownership of shards (DESIGN.md, section 5). A shard's record names its owner and the epoch of the
// ownership.
//
// Failover, when an owner's lease has expired:
//   1. When the view shows the shard's owner without a lease, the time without an owner is measured.
//   2. Live controllers wait for their takeover delay (takeover_order.h).
//   3. The one with the shortest delay writes itself as the owner with a new epoch, on condition that the
//      former owner has no lease. By its own clock, the former owner has stopped acting as the owner by then
//      (invariant 6).
//   4. shardAcquired starts the new owner's scheduler, which loads the shard's state (invariant 7).
//
// A controller that restarts quickly and is still named in the record writes the record again at once with a
// new epoch: an epoch is never used by two processes.
//
// Return to the preferred owner, once it has held a lease for Tuning::ownershipReturnDelay:
//   1. returnToPreferredOwner notifies the shard's scheduler, which waits for its commit in flight.
//   2. The scheduler calls transferOwnership: the preferred owner is written with a new epoch, on condition
//      that its lease is live.
//   3. The preferred owner sees its name in the record with an epoch that it has not used yet, and starts
//      to act as the owner.
class ShardOwnership {
 public:
  struct Callbacks {
    std::function<void(const ShardTakeover&)> shardAcquired;
    std::function<void(ShardId)> lost;
    // Requests that the shard's scheduler transfer the shard to that controller when it can.
    std::function<void(ShardId, const ControllerId&)> returnToPreferredOwner;
  };
  using TransferDone = std::function<void(TransferOutcome)>;

  // The references must outlive this object.
  ShardOwnership(const Settings& settings, Runtime& runtime, Log log, const ClusterView& view,
                 const ControllerLease& lease, EpochAllocator& epochs, Callbacks callbacks);

  // The owned shards, each with the epoch of its ownership.
  [[nodiscard]] const std::map<ShardId, Epoch>& owned() const { return owned_; }
  // The versions of the owner records of the owned shards, by key.
  [[nodiscard]] std::map<std::string, Version> ownerRecordVersions() const;

  // Records which controllers have a lease, and since when.
  void trackLiveControllers(Time now);
  // Releases the shards that others took over while this controller had no lease.
  void releaseShardsTakenByOthers();
  // Takes over and returns shards. Call only while the lease allows ownership and no ownership change is in
  // flight.
  void review(Time now);

  // Transfers a shard, whose owner record must have that version, to another controller. `done` is called
  // exactly once, synchronously if a change is already in flight or one of the two controllers has no lease.
  void transferOwnership(ShardId shard, Version version, const ControllerId& newOwner, TransferDone done);
  // Ends the ownership after the shard's scheduler found that it has lost the shard or that its state is in
  // doubt.
  void dropOwnership(ShardId shard);

 private:
  [[nodiscard]] bool namesThisController(const OwnerEntry& entry) const;
  [[nodiscard]] bool takenByOther(ShardId shard, Epoch epoch) const;

  void reviewShard(ShardId shard, Time now);
  void reviewOwnedShard(ShardId shard, Time now);
  void reviewShardRecordedAsOurs(ShardId shard, const OwnerEntry& entry);
  void takeOverWhenDue(ShardId shard, const OwnerEntry* former, Time now);

  void takeOver(ShardId shard, const OwnerEntry* former);
  void beginOwnership(ShardId shard, Epoch epoch, Version version);
  void handleTransferResult(ShardId shard, const EpochAllocation& allocation, const TransferDone& done);

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  const ClusterView& view_;
  const ControllerLease& lease_;
  EpochAllocator& epochs_;
  Callbacks callbacks_;
  std::map<ShardId, Epoch> owned_;
  std::map<ShardId, Epoch> lastUsedEpoch_;  // latest epoch that this process has used
  std::map<ShardId, Time> ownerlessSince_;
  std::map<ShardId, Time> returnRequestedAt_;  // initially the time of the takeover
  std::map<ControllerId, Time> leaseSeenSince_;
};

}  // namespace cherryloft
