// LeaderElection: tracks whether this controller is the leader and makes it a candidate if there is none.
#pragma once

#include <functional>
#include <optional>

#include "cluster/cluster_view.h"
#include "cluster/controller_lease.h"
#include "cluster/epoch_allocator.h"

namespace cherryloft {

// The leader is the owner of the leader record, which changes owners in the same way as a shard record. A
// controller is the leader while its lease allows ownership, the view shows it as the leader, and the record
// is newer than its last join. Leadership from before the join is not resumed; it is acquired again with a
// new epoch.
//
// Election steps:
//   1. If there is no record, or its owner has no lease, the time without a leader is measured.
//   2. Live controllers wait for their takeover delay (takeover_order.h), then write the record.
//   3. The one that succeeds becomes the leader once its view shows the record.
class LeaderElection {
 public:
  // leadershipChanged is called with whether this controller is now the leader. The references must outlive
  // this object.
  LeaderElection(const Settings& settings, Log log, const ClusterView& view, const ControllerLease& lease,
                 EpochAllocator& epochs, std::function<void(bool)> leadershipChanged);

  // Starts or ends leadership according to the view and the lease.
  void updateLeadership(Time now);
  // Writes the leader record if there is no leader and the takeover delay has passed. Call only while the
  // lease allows ownership and no ownership change is in flight.
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
  bool isLeader_ = false;
  std::optional<Time> leaderlessSince_;
};

}  // namespace cherryloft
