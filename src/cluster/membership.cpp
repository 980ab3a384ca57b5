#include "cluster/membership.h"

#include <utility>

namespace cherryloft {
namespace {
// Interval between reviews without any change. Time-based actions (takeover, return to the preferred owner,
// end of the lease's validity) are delayed by at most this.
constexpr Duration kReviewInterval{250};
}  // namespace

Membership::Membership(const Settings& settings, Runtime& runtime, const Log& log, KeyValueStore& store,
                       const ClusterView& view, Callbacks callbacks)
    : runtime_(runtime),
      lease_(settings, runtime, log, store, view,
             {std::move(callbacks.leaseValidityChanged), [this] { return joinConditions(); },
              [this] { review(); }}),
      epochs_(settings, store, view, lease_, [this] { review(); }),
      shards_(settings, runtime, log, view, lease_, epochs_,
              {std::move(callbacks.shardAcquired), std::move(callbacks.lost),
               std::move(callbacks.returnToPreferredOwner)}),
      leaderElection_(settings, log, view, lease_, epochs_, std::move(callbacks.leadershipChanged)) {}

void Membership::start() {
  lease_.start();
  review();
}

std::map<std::string, Version> Membership::joinConditions() {
  review();
  return shards_.ownerRecordVersions();
}

void Membership::transferOwnership(ShardId shard, Version version, const ControllerId& newOwner,
                                   ShardOwnership::TransferDone done) {
  shards_.transferOwnership(shard, version, newOwner, std::move(done));
}

void Membership::review() {
  auto now = runtime_.now();
  startReviewTimer();
  shards_.trackLiveControllers(now);
  shards_.releaseShardsTakenByOthers();
  leaderElection_.updateLeadership(now);
  if (!lease_.mayOwn(now) || epochs_.busy()) return;
  shards_.review(now);
  if (!epochs_.busy()) leaderElection_.review(now);
}

void Membership::startReviewTimer() {
  if (reviewTimer_ == ReviewTimer::Running) return;
  reviewTimer_ = ReviewTimer::Running;
  runtime_.after(kReviewInterval, [this] {
    reviewTimer_ = ReviewTimer::Stopped;
    review();
  });
}

}  // namespace cherryloft
