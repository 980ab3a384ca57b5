#include "cluster/leader_election.h"

#include <utility>

#include "cluster/takeover_order.h"

namespace cherryloft {
namespace {
// Leadership has no preferred owner, so its takeover order is that of the first shard.
constexpr ShardId kRingStart{0};
}  // namespace

LeaderElection::LeaderElection(const Settings& settings, Log log, const ClusterView& view,
                               const ControllerLease& lease, EpochAllocator& epochs,
                               std::function<void(bool)> leadershipChanged)
    : settings_(settings),
      log_(std::move(log)),
      view_(view),
      lease_(lease),
      epochs_(epochs),
      leadershipChanged_(std::move(leadershipChanged)) {}

bool LeaderElection::namesThisController(const OwnerEntry& leader) const {
  return leader.record.owner == settings_.controller;
}

void LeaderElection::updateLeadership(Time now) {
  bool isLeader = lease_.mayOwn(now) && view_.leader && namesThisController(*view_.leader) &&
                  view_.leader->version > lease_.joinVersion();
  if (isLeader == isLeader_) return;
  isLeader_ = isLeader;
  leadershipChanged_(isLeader);
}

void LeaderElection::review(Time now) {
  if (isLeader_) return;
  const auto& leader = view_.leader;
  bool ledBeforeJoin = leader && namesThisController(*leader);
  if (leader && !ledBeforeJoin && view_.alive(leader->record.owner)) {
    leaderlessSince_.reset();
    return;
  }
  if (!leaderlessSince_) leaderlessSince_ = now;
  if (ledBeforeJoin || now - *leaderlessSince_ >= takeoverDelay(settings_, view_, kRingStart))
    writeLeaderRecord();
}

void LeaderElection::writeLeaderRecord() {
  const OwnerEntry* former = view_.leader ? &*view_.leader : nullptr;
  auto change = makeTakeover(settings_.controller, keys::kLeader, former);
  epochs_.allocate(change, [this](const EpochAllocation& allocation) {
    if (allocation.allocated()) log_->info("leadership acquired epoch={}", allocation.epoch.value);
  });
}

}  // namespace cherryloft
