// LeaderElection: whether this controller leads, and its candidacy when nobody does.
#pragma once

#include <functional>
#include <optional>

#include "cluster/cluster_view.h"
#include "cluster/controller_lease.h"
#include "cluster/epoch_allocator.h"

namespace cherryloft {

// The leader is the owner of one record, which changes hands as a shard does. A controller leads while it may
// own anything, the view shows it as the leader, and that record is newer than its own last join: leadership
// from before the join is not resumed, but written anew with an epoch of its own.
//
// Election, step by step:
//   1. The record names nobody, or a controller without a lease: the time without a leader is counted.
//   2. Living controllers wait for their turn (takeover_order.h), then write themselves into the record.
//   3. The one that succeeded leads once its view shows the record.
class LeaderElection {
 public:
  // leadershipChanged: told whether this controller leads from now on. The references must outlive this
  // object.
  LeaderElection(const Settings& settings, Log log, const ClusterView& view, const ControllerLease& lease,
                 EpochAllocator& epochs, std::function<void(bool)> leadershipChanged);

  // Begins or ends leading, as view and lease say.
  void updateLeadership(Time now);
  // Becomes a candidate if there is no leader and it is our turn. To be called only while the lease lets us
  // own things and no change of ownership is in flight.
  void review(Time now);

 private:
  [[nodiscard]] bool namesThisController(const OwnerEntry& leader) const;
  void writeLeaderRecord();

  const Settings& settings_;
  Log log_;
  const ClusterView& view_;
  const ControllerLease& lease_;
  EpochAllocator& epochs_;
  std::function<void(bool)> leadershipChanged_;
  bool leads_ = false;
  std::optional<Time> leaderlessSince_;
};

}  // namespace cherryloft
