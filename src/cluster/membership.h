// Membership: this controller's lease, the shards it owns, and who leads.
#pragma once

#include <set>

#include "cluster/cluster_view.h"
#include "kvstore/key_value_store.h"

namespace cherryloft {

// Until when a controller may do what, by its own steady clock (invariant 6).
struct LeaseValidity {
  Time ownsUntil{};     // starts, forgets, non-terminal answers
  Time answersUntil{};  // heartbeats without new commands
  bool owns(Time now) const { return now < ownsUntil; }
  bool answers(Time now) const { return now < answersUntil; }
};

struct ShardTakeover {
  ShardId shard;
  Epoch epoch;
  Version version;
  // How long the former owner, and keep-alive proxies of its, may have gone on answering heartbeats.
  Duration formerAnswers{0};
};

class Membership {
 public:
  struct Callbacks {
    std::function<void(const LeaseValidity&)> leaseValidity;
    std::function<void(const ShardTakeover&)> takenOver;
    std::function<void(ShardId)> lost;
    std::function<void(bool)> leading;
    std::function<void(ShardId, ControllerId)> returnToPreferredOwner;  // asks the shard's actor to let go
  };

  Membership(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
             const ClusterView& view, Callbacks out);
  void start();
  // The directory changed under shard/ or node/.
  void changed();
  LeaseValidity leaseValidity() const;
  const std::map<ShardId, Epoch>& owned() const { return owned_; }
  // Gives a shard to its home controller; done tells whether it is gone.
  void transferOwnership(ShardId k, Version version, const ControllerId& to, std::function<void(bool)> done);
  // The shard's actor found that it does not own it any more, or that its shard state are in doubt.
  void dropOwnership(ShardId k);

 private:
  void open();
  void join(LeaseId lease);
  void renew(LeaseId lease);
  void renewed(Time sent, LeaseRenewal r);
  void extend(Time sent);
  void review();
  void reviewShard(ShardId k, Time now);
  void reviewLeader(Time now);
  void allocateEpoch(const std::string& key, const OwnerEntry* former,
                     std::function<void(Epoch, Version)> done);
  void refresh();
  void take(ShardId k, const OwnerEntry* former);
  void adopt(ShardId k, Epoch e, Version s);
  bool mine(const OwnerEntry& o) const { return o.record.owner == settings_.controller; }
  // How many living controllers come before us in line for a shard.
  unsigned takeoverPosition(ShardId k) const;

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  KeyValueStore& store_;
  const ClusterView& view_;
  Callbacks callbacks_;
  std::optional<LeaseId> lease_;
  bool joined_ = false;  // our node/ key hangs on the lease
  Version joinVersion_;
  bool opening_ = false;
  bool silent_ = false;
  LeaseValidity own_;
  std::map<ShardId, Epoch> owned_;
  std::map<ShardId, Epoch> used_;  // epochs this process has acted under
  std::map<ShardId, Time> orphanSince_;
  std::map<ShardId, Time> returnAsked_;
  std::map<ControllerId, Time> aliveSince_;
  std::optional<Time> leaderless_;
  bool leads_ = false;
  bool taking_ = false;  // an ownership change is on its way, or its outcome is being read
  bool reviewSet_ = false;
};

}  // namespace cherryloft
