#include "cluster/membership.h"

#include <algorithm>

namespace cherryloft {
namespace {
constexpr Duration kReviewEvery{250};
constexpr Duration kStep{1'500};       // how long the next in line waits for the one before
constexpr Duration kColdStart{4'000};  // a shard nobody ever owned waits this long for its home controller
constexpr Duration kAskAgain{5'000};
constexpr double kDrift = 0.001;  // twice what a steady clock may be off
constexpr Duration kRounding{20};
}  // namespace

Membership::Membership(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                       const ClusterView& view, Callbacks out)
    : settings_(settings),
      runtime_(runtime),
      log_(std::move(log)),
      store_(store),
      view_(view),
      callbacks_(std::move(out)) {}

void Membership::start() {
  open();
  review();
}

void Membership::open() {
  if (opening_) return;
  opening_ = true;
  auto sent = runtime_.now();
  store_.grantLease(settings_.leaseTtl(), [this, sent](const LeaseGrant& grant) {
    opening_ = false;
    if (!grant.granted()) {
      runtime_.after(Duration{200}, [this] { open(); });
      return;
    }
    lease_ = grant.lease;
    silent_ = true;
    renewed(sent, LeaseRenewal::Renewed);
    join(*lease_);
  });
}

// Writes our node/ key under the lease. It must fail when a shard we believe ours was taken meanwhile.
void Membership::join(LeaseId lease) {
  if (lease_ != lease) return;
  auto again = [this, lease] { runtime_.after(Duration{100}, [this, lease] { join(lease); }); };
  if (!store_.cachesLoaded()) return again();
  store_.waitUntilCurrent(keys::kControllers, [this, lease, again](CatchUp controllers) {
    if (controllers != CatchUp::Current) return again();
    store_.waitUntilCurrent(keys::kShards, [this, lease, again](CatchUp shards) {
      if (lease_ != lease) return;
      if (shards != CatchUp::Current) return again();
      review();  // drops what the cluster view shows as taken
      wire::Transaction t;
      auto me = view_.controllers.find(settings_.controller);
      t.conditions[keys::controller(settings_.controller)] =
          me == view_.controllers.end() ? Version{0} : me->second;
      for (const auto& [k, _] : owned_) t.conditions[keys::shard(k)] = view_.shards.at(k).version;
      t.operations.push_back({keys::controller(settings_.controller),
                              "{\"at\":" + std::to_string(runtime_.wall().value) + "}", lease});
      store_.transact(RequestPriority::Lease, t, Duration{1'000}, [this, lease, again](TransactionResult r) {
        if (lease_ != lease) return;
        if (r.outcome == TransactionResult::Outcome::LeaseExpired) {
          lease_.reset();
          return open();
        }
        if (!r.committed()) return again();
        joined_ = true;
        joinVersion_ = r.revision;
        log_->info("joined with hold {}", lease.value);
        callbacks_.leaseValidity(leaseValidity());
        review();
      });
    });
  });
}

// Each lease has its own chain of joins and of renewals, and what is said of one that was given up concerns
// no other.
void Membership::renew(LeaseId lease) {
  if (lease_ != lease) return;
  auto sent = runtime_.now();
  auto patience = std::max(settings_.leaseTtl() / 3, Duration{100});
  store_.renewLease(lease, patience, [this, sent, lease](LeaseRenewal r) {
    if (lease_ == lease) renewed(sent, r);
  });
}

void Membership::renewed(Time sent, LeaseRenewal r) {
  auto now = runtime_.now();
  switch (r) {
    case LeaseRenewal::Renewed:
      extend(sent);
      if (silent_ && joined_) store_.restartWatches();
      silent_ = false;
      runtime_.after(std::max(sent + settings_.leaseTtl() / 4 - now, Duration{10}),
                     [this, lease = *lease_] { renew(lease); });
      break;
    case LeaseRenewal::NoAnswer:
      silent_ = true;
      runtime_.after(Duration{150}, [this, lease = *lease_] { renew(lease); });
      break;
    case LeaseRenewal::Expired:
      log_->info("hold {} is gone", lease_->value);
      lease_.reset();
      joined_ = false;
      silent_ = true;
      own_.ownsUntil = std::min(own_.ownsUntil, now);
      callbacks_.leaseValidity(leaseValidity());
      open();
      break;
  }
}

void Membership::extend(Time sent) {
  auto ttl = settings_.leaseTtl();
  auto drift = Duration{static_cast<std::int64_t>(static_cast<double>(ttl.count()) * kDrift)};
  own_.ownsUntil = std::max(own_.ownsUntil, sent + ttl - drift - kRounding);
  own_.answersUntil = std::max(own_.answersUntil, own_.ownsUntil + settings_.grace());
  callbacks_.leaseValidity(leaseValidity());
}

// Until the node/ key hangs on the lease, the lease keeps nobody from taking our shards.
LeaseValidity Membership::leaseValidity() const {
  LeaseValidity s = own_;
  if (!joined_) s.ownsUntil = Time{};
  return s;
}

void Membership::changed() { review(); }

unsigned Membership::takeoverPosition(ShardId k) const {
  unsigned position = 0;
  for (unsigned i = 0; i < settings_.size(); ++i) {
    const auto& n = settings_.controllers[(k.value + i) % settings_.size()];
    if (n == settings_.controller) return position;
    position += view_.alive(n);
  }
  return position;
}

void Membership::review() {
  auto now = runtime_.now();
  if (!reviewSet_) {
    reviewSet_ = true;
    runtime_.after(kReviewEvery, [this] {
      reviewSet_ = false;
      review();
    });
  }
  for (const auto& n : settings_.controllers) {
    if (view_.alive(n))
      aliveSince_.try_emplace(n, now);
    else
      aliveSince_.erase(n);
  }
  // Shares that others took while we were away.
  for (auto it = owned_.begin(); it != owned_.end();) {
    auto seen = view_.shards.find(it->first);
    bool lost = seen != view_.shards.end() && seen->second.record.epoch > it->second && !mine(seen->second);
    auto k = it->first;
    if (lost) {
      log_->info("share {} now belongs to {}", k.value, seen->second.record.owner.value);
      it = owned_.erase(it);
      callbacks_.lost(k);
    } else {
      ++it;
    }
  }
  bool able = joined_ && leaseValidity().owns(now);
  bool leads = able && view_.leader && mine(*view_.leader) && view_.leader->version > joinVersion_;
  if (leads != leads_) {
    leads_ = leads;
    callbacks_.leading(leads);
  }
  if (!able || taking_) return;
  for (unsigned i = 0; i < settings_.size() && !taking_; ++i) reviewShard(ShardId{i}, now);
  if (!taking_) reviewLeader(now);
}

void Membership::reviewShard(ShardId k, Time now) {
  auto seen = view_.shards.find(k);
  const OwnerEntry* o = seen == view_.shards.end() ? nullptr : &seen->second;
  if (owned_.count(k) > 0) {
    const auto& preferredOwner = settings_.controllers[k.value];
    auto alive = aliveSince_.find(preferredOwner);
    if (preferredOwner == settings_.controller || alive == aliveSince_.end()) return;
    auto& asked = returnAsked_[k];
    if (now - alive->second < settings_.tuning.returnOwnershipAfter || now - asked < kAskAgain) return;
    asked = now;
    callbacks_.returnToPreferredOwner(k, preferredOwner);
    return;
  }
  if (o && mine(*o)) {
    // Given back to this very process: its epoch is fresh. Left over from an earlier process: draw a new one.
    if (o->version > joinVersion_ && o->record.epoch > used_[k])
      adopt(k, o->record.epoch, o->version);
    else
      take(k, o);
    return;
  }
  if (o && view_.alive(o->record.owner)) {
    orphanSince_.erase(k);
    return;
  }
  auto since = orphanSince_.try_emplace(k, now).first->second;
  auto wait = kStep * takeoverPosition(k);
  if (!o && settings_.controllers[k.value] != settings_.controller) wait += kColdStart;
  if (now - since >= wait) take(k, o);
}

void Membership::reviewLeader(Time now) {
  const OwnerEntry* o = view_.leader ? &*view_.leader : nullptr;
  if (leads_) return;
  bool left = o && mine(*o);
  if (o && !left && view_.alive(o->record.owner)) {
    leaderless_.reset();
    return;
  }
  if (!leaderless_) leaderless_ = now;
  if (left || now - *leaderless_ >= kStep * takeoverPosition(ShardId{0}))
    allocateEpoch(keys::kLeader, o,
                  [this](Epoch e, Version) { log_->info("leading with epoch {}", e.value); });
}

// Makes us the owner in a record, with a new epoch; fails if the former owner is alive after all.
void Membership::allocateEpoch(const std::string& key, const OwnerEntry* former,
                               std::function<void(Epoch, Version)> done) {
  wire::Transaction t;
  Epoch next{view_.epoch.value + 1};
  t.conditions[key] = former ? former->version : Version{0};
  t.conditions[keys::kEpoch] = view_.epochVersion;
  t.conditions[keys::controller(settings_.controller)] = joinVersion_;
  if (former && !mine(*former)) t.conditions[keys::controller(former->record.owner)] = Version{0};
  t.operations.push_back({key, wire::encodeOwnerRecord({settings_.controller, next}), {}});
  t.operations.push_back({keys::kEpoch, wire::encodeEpochCounter(next), {}});
  taking_ = true;
  store_.transact(RequestPriority::Control, t, Duration{1'500},
                  [this, next, done = std::move(done)](TransactionResult r) {
                    if (r.committed()) done(next, r.revision);
                    refresh();
                  });
}

// The directory must show what was just written, or what kept it from being written, before we go on.
void Membership::refresh() {
  store_.waitUntilCurrent(keys::kShards, [this](CatchUp) {
    store_.waitUntilCurrent(keys::kControllers, [this](CatchUp result) {
      taking_ = false;
      if (result == CatchUp::Current) review();
    });
  });
}

void Membership::take(ShardId k, const OwnerEntry* former) {
  allocateEpoch(keys::shard(k), former, [this, k](Epoch e, Version s) { adopt(k, e, s); });
}

void Membership::adopt(ShardId k, Epoch e, Version s) {
  log_->info("share {} taken with epoch {}", k.value, e.value);
  owned_[k] = e;
  used_[k] = e;
  orphanSince_.erase(k);
  returnAsked_[k] = runtime_.now();
  // The former owner, or a keep-alive proxy of its, may answer for as long; given by a living one, also for
  // its lease.
  callbacks_.takenOver({k, e, s, settings_.grace() + settings_.leaseTtl()});
}

void Membership::transferOwnership(ShardId k, Version version, const ControllerId& to,
                                   std::function<void(bool)> done) {
  auto controller = view_.controllers.find(to);
  if (taking_ || !joined_ || controller == view_.controllers.end()) return done(false);
  wire::Transaction t;
  Epoch next{view_.epoch.value + 1};
  t.conditions[keys::shard(k)] = version;
  t.conditions[keys::kEpoch] = view_.epochVersion;
  t.conditions[keys::controller(settings_.controller)] = joinVersion_;
  t.conditions[keys::controller(to)] = controller->second;
  t.operations.push_back({keys::shard(k), wire::encodeOwnerRecord({to, next}), {}});
  t.operations.push_back({keys::kEpoch, wire::encodeEpochCounter(next), {}});
  taking_ = true;
  store_.transact(RequestPriority::Control, t, Duration{1'500},
                  [this, k, done = std::move(done)](TransactionResult r) {
                    bool refused = r.outcome == TransactionResult::Outcome::Refused ||
                                   r.outcome == TransactionResult::Outcome::Conflict;
                    if (!refused) owned_.erase(k);  // given, or in doubt: either way we act for it no more
                    done(!refused);
                    refresh();
                  });
}

void Membership::dropOwnership(ShardId k) {
  if (owned_.erase(k) == 0) return;
  callbacks_.lost(k);
  if (!taking_) {
    taking_ = true;
    refresh();
  }
}

}  // namespace cherryloft
