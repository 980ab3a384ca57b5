#include "cluster/shard_ownership.h"

#include <utility>

#include "cluster/takeover_order.h"

namespace cherryloft {
namespace {
// How much longer a shard that nobody ever owned waits for its preferred owner: at the first start of a
// cluster the controllers start one after another, and each should begin with its own shard.
constexpr Duration kFirstOwnerDelay{4'000};
// Between two requests to return a shard, as a transfer may have been refused.
constexpr Duration kReturnRequestInterval{5'000};
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
      aliveSince_.try_emplace(controller, now);
    else
      aliveSince_.erase(controller);
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
    reviewShardInOurName(shard, owner);
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
  auto alive = aliveSince_.find(preferredOwner);
  if (preferredOwner == settings_.controller || alive == aliveSince_.end()) return;
  if (now - alive->second < settings_.tuning.ownershipReturnDelay) return;
  auto& requestedAt = returnRequestedAt_[shard];
  if (now - requestedAt < kReturnRequestInterval) return;
  requestedAt = now;
  callbacks_.returnToPreferredOwner(shard, preferredOwner);
}

// The record names this controller, which does not act for the shard. Transferred to this very process: its
// epoch is fresh. Left over from an earlier process: a new one must be allocated.
void ShardOwnership::reviewShardInOurName(ShardId shard, const OwnerEntry& entry) {
  bool transferredToThisProcess =
      entry.version > lease_.joinVersion() && entry.record.epoch > lastUsedEpoch_[shard];
  if (transferredToThisProcess)
    beginOwnership(shard, entry.record.epoch, entry.version);
  else
    takeOver(shard, &entry);
}

// `former` is nothing if the shard never had an owner.
void ShardOwnership::takeOverWhenDue(ShardId shard, const OwnerEntry* former, Time now) {
  auto since = ownerlessSince_.try_emplace(shard, now).first->second;
  auto delay = takeoverDelay(settings_, view_, shard);
  bool preferred = settings_.controllers[shard.value] == settings_.controller;
  if (former == nullptr && !preferred) delay += kFirstOwnerDelay;
  if (now - since >= delay) takeOver(shard, former);
}

void ShardOwnership::takeOver(ShardId shard, const OwnerEntry* former) {
  auto change = takeoverBy(settings_.controller, keys::shard(shard), former);
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
  // The former owner, or a keep-alive proxy of its, may answer for its grace; one that transferred the shard
  // and lives, also for its lease (invariant 6).
  auto formerAnswers = settings_.grace() + settings_.leaseTtl();
  callbacks_.takenOver({shard, epoch, version, formerAnswers});
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
    transferAnswered(shard, allocation, done);
  });
}

void ShardOwnership::transferAnswered(ShardId shard, const EpochAllocation& allocation,
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
  epochs_.updateView();
}

}  // namespace cherryloft
