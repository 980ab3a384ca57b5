#include "cluster/shard_ownership.h"

#include <utility>

#include "cluster/takeover_order.h"

namespace cherryloft {
namespace {
// Additional takeover delay for a shard that never had an owner. When a cluster is first started, controllers
// start one after another, and each should acquire its preferred shard.
constexpr Duration kFirstOwnerDelay{4'000};
// Interval between requests to return a shard, as a transfer may be refused.
constexpr Duration kReturnRetryInterval{5'000};
}  // namespace

ShardOwnership::ShardOwnership(const Settings& settings, Runtime& runtime, Log log, const ClusterView& view,
                               const ControllerLease& lease, EpochAllocator& epochs, Callbacks callbacks)
    : settings_(settings),
      runtime_(runtime),
      log_(std::move(log)),
      view_(view),
      lease_(lease),
      epochs_(epochs),
      callbacks_(std::move(callbacks)) {}

bool ShardOwnership::namesThisController(const OwnerEntry& entry) const {
  return entry.record.owner == settings_.controller;
}

std::map<std::string, Version> ShardOwnership::ownerRecordVersions() const {
  std::map<std::string, Version> versions;
  for (const auto& [shard, _] : owned_) versions[keys::shard(shard)] = view_.shards.at(shard).version;
  return versions;
}

void ShardOwnership::trackLiveControllers(Time now) {
  for (const auto& controller : settings_.controllers) {
    if (view_.alive(controller))
      leaseSeenSince_.try_emplace(controller, now);
    else
      leaseSeenSince_.erase(controller);
  }
}

bool ShardOwnership::takenByOther(ShardId shard, Epoch epoch) const {
  auto entry = view_.shards.find(shard);
  if (entry == view_.shards.end()) return false;
  return entry->second.record.epoch > epoch && !namesThisController(entry->second);
}

void ShardOwnership::releaseShardsTakenByOthers() {
  for (auto it = owned_.begin(); it != owned_.end();) {
    auto [shard, epoch] = *it;
    if (!takenByOther(shard, epoch)) {
      ++it;
      continue;
    }
    log_->info("shard taken by another controller shard={} owner={}", shard.value,
               view_.shards.at(shard).record.owner.value);
    it = owned_.erase(it);
    callbacks_.lost(shard);
  }
}

void ShardOwnership::review(Time now) {
  for (unsigned shard = 0; shard < settings_.size() && !epochs_.busy(); ++shard)
    reviewShard(ShardId{shard}, now);
}

void ShardOwnership::reviewShard(ShardId shard, Time now) {
  if (owned_.count(shard) > 0) {
    reviewOwnedShard(shard, now);
    return;
  }
  auto entry = view_.shards.find(shard);
  if (entry == view_.shards.end()) {
    takeOverWhenDue(shard, nullptr, now);
    return;
  }
  const auto& owner = entry->second;
  if (namesThisController(owner)) {
    reviewShardRecordedAsOurs(shard, owner);
    return;
  }
  if (view_.alive(owner.record.owner)) {
    ownerlessSince_.erase(shard);
    return;
  }
  takeOverWhenDue(shard, &owner, now);
}

void ShardOwnership::reviewOwnedShard(ShardId shard, Time now) {
  const auto& preferredOwner = settings_.controllers[shard.value];
  auto leaseSeen = leaseSeenSince_.find(preferredOwner);
  if (preferredOwner == settings_.controller || leaseSeen == leaseSeenSince_.end()) return;
  if (now - leaseSeen->second < settings_.tuning.ownershipReturnDelay) return;
  auto& requestedAt = returnRequestedAt_[shard];
  if (now - requestedAt < kReturnRetryInterval) return;
  requestedAt = now;
  callbacks_.returnToPreferredOwner(shard, preferredOwner);
}

// The record names this controller, which does not act as the owner yet. If the shard was transferred to this
// process, its epoch is new and can be used. If the record is from an earlier process, a new epoch must be
// allocated.
void ShardOwnership::reviewShardRecordedAsOurs(ShardId shard, const OwnerEntry& entry) {
  bool transferredToThisProcess =
      entry.version > lease_.joinVersion() && entry.record.epoch > lastUsedEpoch_[shard];
  if (transferredToThisProcess)
    beginOwnership(shard, entry.record.epoch, entry.version);
  else
    takeOver(shard, &entry);
}

// `former` is null if the shard never had an owner.
void ShardOwnership::takeOverWhenDue(ShardId shard, const OwnerEntry* former, Time now) {
  auto since = ownerlessSince_.try_emplace(shard, now).first->second;
  auto delay = takeoverDelay(settings_, view_, shard);
  bool preferred = settings_.controllers[shard.value] == settings_.controller;
  if (former == nullptr && !preferred) delay += kFirstOwnerDelay;
  if (now - since >= delay) takeOver(shard, former);
}

void ShardOwnership::takeOver(ShardId shard, const OwnerEntry* former) {
  auto change = makeTakeover(settings_.controller, keys::shard(shard), former);
  epochs_.allocate(change, [this, shard](const EpochAllocation& allocation) {
    if (allocation.allocated()) beginOwnership(shard, allocation.epoch, allocation.version);
  });
}

void ShardOwnership::beginOwnership(ShardId shard, Epoch epoch, Version version) {
  log_->info("shard ownership acquired shard={} epoch={}", shard.value, epoch.value);
  owned_[shard] = epoch;
  lastUsedEpoch_[shard] = epoch;
  ownerlessSince_.erase(shard);
  returnRequestedAt_[shard] = runtime_.now();
  // The former owner, or its keep-alive proxy, may answer heartbeats for the grace period. A former owner
  // that transferred the shard and is live may in addition do so until its lease ends (invariant 6).
  auto formerOwnerAnswersFor = settings_.grace() + settings_.leaseTtl();
  callbacks_.shardAcquired({shard, epoch, version, formerOwnerAnswersFor});
}

void ShardOwnership::transferOwnership(ShardId shard, Version version, const ControllerId& newOwner,
                                       TransferDone done) {
  auto controller = view_.controllers.find(newOwner);
  if (epochs_.busy() || !lease_.joined() || controller == view_.controllers.end()) {
    done(TransferOutcome::StillOwned);
    return;
  }
  OwnershipChange change{keys::shard(shard), version, newOwner,
                         ControllerCondition{newOwner, controller->second}};
  epochs_.allocate(change, [this, shard, done = std::move(done)](const EpochAllocation& allocation) {
    handleTransferResult(shard, allocation, done);
  });
}

void ShardOwnership::handleTransferResult(ShardId shard, const EpochAllocation& allocation,
                                          const TransferDone& done) {
  if (allocation.outcome == EpochAllocation::Outcome::Refused) {
    done(TransferOutcome::StillOwned);
    return;
  }
  owned_.erase(shard);
  done(TransferOutcome::Released);
}

void ShardOwnership::dropOwnership(ShardId shard) {
  if (owned_.erase(shard) == 0) return;
  callbacks_.lost(shard);
  epochs_.refreshView();
}

}  // namespace cherryloft
