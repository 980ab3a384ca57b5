// EpochAllocator: commits ownership changes, each under a new epoch.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "cluster/cluster_view.h"
#include "cluster/controller_lease.h"
#include "kvstore/key_value_store.h"

namespace cherryloft {

// Required state of another controller for an ownership change to be committed.
struct ControllerCondition {
  ControllerId controller;
  Version version;  // of its node/ key; 0: the key must not exist, i.e. the lease has expired
};

// The new owner of a shard or of the leadership.
struct OwnershipChange {
  std::string key;  // of the owner's record
  Version version;  // expected version of the record; 0: it must not exist
  ControllerId newOwner;
  std::optional<ControllerCondition> otherController;
};

// Builds the change that makes `newOwner` the owner in place of `former`. It is refused if the former owner
// still has a lease, unless both are the same controller, i.e. an earlier process of it was the owner.
// `former` is null if there is no record yet.
[[nodiscard]] OwnershipChange makeTakeover(const ControllerId& newOwner, const std::string& key,
                                           const OwnerEntry* former);

// The result of an ownership change.
struct EpochAllocation {
  enum class Outcome : std::uint8_t {
    Allocated,  // committed with `epoch`; the record has version `version`
    Refused,    // not committed, and never will be
    InDoubt,    // may have been committed, or may still be
  };
  Outcome outcome = Outcome::InDoubt;
  Epoch epoch;
  Version version;  // only if allocated
  [[nodiscard]] bool allocated() const { return outcome == Outcome::Allocated; }
};

// Allocates the cluster's next epoch to a new owner and writes the owner record in the same transaction. The
// transaction is conditional on the versions of the epoch counter, the record and this controller's node/
// key, so that only one of several concurrent controllers succeeds, and none without a lease.
//
// Only one change is in flight at a time. After each change the cluster view is refreshed before the next one
// may start, so that it shows the change, or the conflicting change that prevented it.
class EpochAllocator {
 public:
  // onViewRefreshed is called when the view has been refreshed and the next change may start.
  // The references must outlive this object, and this object must outlive its pending store calls.
  EpochAllocator(const Settings& settings, KeyValueStore& store, const ClusterView& view,
                 const ControllerLease& lease, std::function<void()> onViewRefreshed);

  // Whether a change is in flight or the view is being refreshed.
  [[nodiscard]] bool busy() const { return phase_ == Phase::Busy; }
  // Must not be called while busy. `done` is called once, before the view is refreshed.
  void allocate(const OwnershipChange& change, std::function<void(const EpochAllocation&)> done);
  // Refreshes the view without a change, unless a change or refresh is already in progress.
  void refreshView();

 private:
  enum class Phase : std::uint8_t { Idle, Busy };

  [[nodiscard]] wire::Transaction transactionFor(const OwnershipChange& change, Epoch next) const;
  void refreshShards();
  void refreshControllers();
  void handleViewRefreshed(CatchUpResult result);

  const Settings& settings_;
  KeyValueStore& store_;
  const ClusterView& view_;
  const ControllerLease& lease_;
  std::function<void()> onViewRefreshed_;
  Phase phase_ = Phase::Idle;
};

}  // namespace cherryloft
