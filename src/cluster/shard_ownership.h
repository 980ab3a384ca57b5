// ShardOwnership: the shards that this controller owns, and how they come and go.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cluster/cluster_view.h"
#include "cluster/controller_lease.h"
#include "cluster/epoch_allocator.h"

namespace cherryloft {

// What the scheduler of a shard begins with.
struct ShardTakeover {
  ShardId shard;
  Epoch epoch;
  Version version;  // of the shard's owner record
  // How long the former owner, and keep-alive proxies of its, may have gone on answering heartbeats.
  Duration formerAnswers{0};
};

// What became of a shard that was to be transferred to another controller.
enum class TransferOutcome : std::uint8_t {
  Released,    // transferred, or in doubt: either way this controller does not act for the shard any more
  StillOwned,  // refused, nothing has changed
};

// Ownership of shards (DESIGN.md, section 5). A shard's record names its owner and the epoch of the
// ownership.
//
// Failover, when an owner's lease is over:
//   1. The view shows the shard's owner without a lease: the time without an owner is counted.
//   2. Living controllers wait for their turn (takeover_order.h).
//   3. The first in turn writes itself as the owner with a new epoch, on condition that the former owner has
//      no lease. The former one has ceased to act as owner by then, by its own clock (invariant 6).
//   4. Its scheduler starts with takenOver and loads the shard's state (invariant 7).
//
// A controller that comes back after a fraction of a second, with its name still in the record, writes itself
// anew at once: an epoch is never used by two processes.
//
// Return to the preferred owner, once that one has had a lease for Tuning::ownershipReturnDelay:
//   1. returnToPreferredOwner asks the shard's scheduler, which lets its commit in flight land.
//   2. The scheduler calls transferOwnership: the preferred owner is written with a new epoch, on condition
//      that its lease lives.
//   3. The preferred owner sees its name in the record with an epoch that it has not used, and takes over.
class ShardOwnership {
 public:
  struct Callbacks {
    std::function<void(const ShardTakeover&)> takenOver;
    std::function<void(ShardId)> lost;
    // Asks the shard's scheduler to transfer the shard to that controller when it can.
    std::function<void(ShardId, const ControllerId&)> returnToPreferredOwner;
  };
  using TransferDone = std::function<void(TransferOutcome)>;

  // The references must outlive this object.
  ShardOwnership(const Settings& settings, Runtime& runtime, Log log, const ClusterView& view,
                 const ControllerLease& lease, EpochAllocator& epochs, Callbacks callbacks);

  // The shards owned, each with the epoch of the ownership.
  [[nodiscard]] const std::map<ShardId, Epoch>& owned() const { return owned_; }
  // The versions of the owner records of the shards owned, by key.
  [[nodiscard]] std::map<std::string, Version> ownerRecordVersions() const;

  // Notes which controllers have a lease, and since when.
  void trackLiveControllers(Time now);
  // Gives up the shards that others took while this controller had no lease.
  void releaseShardsTakenByOthers();
  // Takes over and returns shards. To be called only while the lease lets us own shards and no change of
  // ownership is in flight.
  void review(Time now);

  // Transfers a shard, whose owner record must have that version, to another controller. `done` is called
  // once, at once if a change is in flight already or one of the two controllers has no lease.
  void transferOwnership(ShardId shard, Version version, const ControllerId& newOwner, TransferDone done);
  // The shard's scheduler found that it does not own the shard any more, or that its state is in doubt.
  void dropOwnership(ShardId shard);

 private:
  [[nodiscard]] bool namesThisController(const OwnerEntry& entry) const;
  [[nodiscard]] bool takenByOther(ShardId shard, Epoch epoch) const;

  void reviewShard(ShardId shard, Time now);
  void reviewOwnedShard(ShardId shard, Time now);
  void reviewShardInOurName(ShardId shard, const OwnerEntry& entry);
  void takeOverWhenDue(ShardId shard, const OwnerEntry* former, Time now);

  void takeOver(ShardId shard, const OwnerEntry* former);
  void beginOwnership(ShardId shard, Epoch epoch, Version version);
  void transferAnswered(ShardId shard, const EpochAllocation& allocation, const TransferDone& done);

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  const ClusterView& view_;
  const ControllerLease& lease_;
  EpochAllocator& epochs_;
  Callbacks callbacks_;
  std::map<ShardId, Epoch> owned_;
  std::map<ShardId, Epoch> lastUsedEpoch_;  // that this process has acted under
  std::map<ShardId, Time> ownerlessSince_;
  std::map<ShardId, Time> returnRequestedAt_;  // at first when the shard was taken over
  std::map<ControllerId, Time> aliveSince_;
};

}  // namespace cherryloft
