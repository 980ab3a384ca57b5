// Membership: this controller's role in the cluster: its lease, its shards, and whether it is the leader.
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

// Composes ControllerLease, ShardOwnership and LeaderElection and updates them from the cluster view: on
// every change of shards or controllers, after every ownership change, and at least four times a second.
//
// Callbacks run on the controller's thread and must not destroy this object.
class Membership {
 public:
  struct Callbacks {
    std::function<void(const LeaseValidity&)> leaseValidityChanged;
    std::function<void(const ShardTakeover&)> shardAcquired;
    std::function<void(ShardId)> lost;
    // Called with whether this controller is now the leader.
    std::function<void(bool)> leadershipChanged;
    // Requests that the shard's scheduler transfer the shard to that controller when it can.
    std::function<void(ShardId, const ControllerId&)> returnToPreferredOwner;
  };

  // The references must outlive this object.
  Membership(const Settings& settings, Runtime& runtime, const Log& log, KeyValueStore& store,
             const ClusterView& view, Callbacks callbacks);
  // Call once, after the watches of shards and controllers have been started.
  void start();
  // Call when the cluster view changed under share/ or node/.
  void changed() { review(); }

  [[nodiscard]] LeaseValidity leaseValidity() const { return lease_.validity(); }
  // The owned shards, each with the epoch of its ownership.
  [[nodiscard]] const std::map<ShardId, Epoch>& owned() const { return shards_.owned(); }
  // See ShardOwnership.
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
