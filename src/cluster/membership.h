// Membership: this controller's part in the cluster: its lease, the shards it owns, and whether it leads.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "cluster/cluster_view.h"
#include "cluster/controller_lease.h"
#include "cluster/epoch_allocator.h"
#include "cluster/leader_election.h"
#include "cluster/shard_ownership.h"
#include "kvstore/key_value_store.h"

namespace cherryloft {

// Composes ControllerLease, ShardOwnership and LeaderElection, and reviews them against the cluster view: on
// every change of shards or controllers, after every change of ownership, and at least four times a second.
//
// All callbacks come on the controller's own turn; none may destroy this object.
class Membership {
 public:
  struct Callbacks {
    std::function<void(const LeaseValidity&)> leaseValidityChanged;
    std::function<void(const ShardTakeover&)> takenOver;
    std::function<void(ShardId)> lost;
    // Told whether this controller leads from now on.
    std::function<void(bool)> leadershipChanged;
    // Asks the shard's scheduler to transfer the shard to that controller when it can.
    std::function<void(ShardId, const ControllerId&)> returnToPreferredOwner;
  };

  // The references must outlive this object.
  Membership(const Settings& settings, Runtime& runtime, const Log& log, KeyValueStore& store,
             const ClusterView& view, Callbacks callbacks);
  // To be called once, after the watches of shards and controllers have begun.
  void start();
  // The cluster view changed under share/ or node/.
  void changed() { review(); }

  [[nodiscard]] LeaseValidity leaseValidity() const { return lease_.validity(); }
  // The shards owned, each with the epoch of the ownership.
  [[nodiscard]] const std::map<ShardId, Epoch>& owned() const { return shards_.owned(); }
  // As in ShardOwnership.
  void transferOwnership(ShardId shard, Version version, const ControllerId& newOwner,
                         ShardOwnership::TransferDone done);
  void dropOwnership(ShardId shard) { shards_.dropOwnership(shard); }

 private:
  enum class ReviewTimer : std::uint8_t { Stopped, Running };

  void review();
  void startReviewTimer();
  [[nodiscard]] std::map<std::string, Version> joinConditions();

  Runtime& runtime_;
  ControllerLease lease_;
  EpochAllocator epochs_;
  ShardOwnership shards_;
  LeaderElection leaderElection_;
  ReviewTimer reviewTimer_ = ReviewTimer::Stopped;
};

}  // namespace cherryloft
