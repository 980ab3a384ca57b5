// EpochAllocator: writes changes of ownership, each under a new epoch.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "cluster/cluster_view.h"
#include "cluster/controller_lease.h"
#include "kvstore/key_value_store.h"

namespace cherryloft {

// The state that another controller must be in for a change of ownership to be written.
struct ControllerCondition {
  ControllerId controller;
  Version version;  // of its node/ key; 0: there must be none, its lease is over
};

// The new owner of a shard or of the leadership.
struct OwnershipChange {
  std::string key;  // of the owner's record
  Version version;  // that the record must have; 0: it must not exist
  ControllerId newOwner;
  std::optional<ControllerCondition> otherController;
};

// Makes a controller the owner of what the former owner left; fails if that one has a lease after all.
// `former`: nothing if there is no record yet, the controller itself if an earlier process of it was the
// owner.
[[nodiscard]] OwnershipChange makeTakeover(const ControllerId& newOwner, const std::string& key,
                                           const OwnerEntry* former);

// What became of an ownership change.
struct EpochAllocation {
  enum class Outcome : std::uint8_t {
    Allocated,  // written: the new owner's epoch is `epoch`, the record's version `version`
    Refused,    // not written, and never will be
    InDoubt,    // may have been written, or may be yet
  };
  Outcome outcome = Outcome::InDoubt;
  Epoch epoch;
  Version version;  // only if allocated
  [[nodiscard]] bool allocated() const { return outcome == Outcome::Allocated; }
};

// Allocates the next epoch of the cluster to a new owner, in one transaction with the owner's record. The
// counter of epochs, the record and this controller's membership are conditions of the transaction, so that
// of several controllers that try at once only one succeeds, and none without a lease.
//
// One change is in flight at a time. After it the cluster view is brought up to date before another one may
// begin, as it must show what was just written, or what kept it from being written.
class EpochAllocator {
 public:
  // viewCurrent is called when the view has been brought up to date after a change and the next may begin.
  // The references must outlive this object, and this object its calls on the store.
  EpochAllocator(const Settings& settings, KeyValueStore& store, const ClusterView& view,
                 const ControllerLease& lease, std::function<void()> viewCurrent);

  // A change is in flight, or the view is being brought up to date after one.
  [[nodiscard]] bool busy() const { return phase_ == Phase::Busy; }
  // Must not be called while busy. `done` is called once, before the view is brought up to date.
  void allocate(const OwnershipChange& change, std::function<void(const EpochAllocation&)> done);
  // Brings the view up to date without a change, unless that is about to happen anyway.
  void refreshView();

 private:
  enum class Phase : std::uint8_t { Idle, Busy };

  [[nodiscard]] wire::Transaction transactionFor(const OwnershipChange& change, Epoch next) const;
  void readShards();
  void readControllers();
  void viewRead(CatchUpResult result);

  const Settings& settings_;
  KeyValueStore& store_;
  const ClusterView& view_;
  const ControllerLease& lease_;
  std::function<void()> viewCurrent_;
  Phase phase_ = Phase::Idle;
};

}  // namespace cherryloft
