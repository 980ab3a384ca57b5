#include "cluster/controller_lease.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kGrantRetryDelay{200};
constexpr Duration kJoinRetryDelay{100};
// Of the join's transaction: a third of the default time to live, so that a lost answer leaves time to retry.
constexpr Duration kJoinDeadline{1'000};
// After a renewal that was not answered: sooner than the next regular one, as the validity is running out.
constexpr Duration kRenewalRetryDelay{150};
constexpr int kRenewalsPerTtl = 4;
// A renewal waits for its answer for a third of the time to live, so that others fit in before the lease
// ends; not less than the bound below, however short the lease.
constexpr int kRenewalDeadlinesPerTtl = 3;
constexpr Duration kMinRenewalDeadline{100};
// Where the answer to a renewal came later than the next was due.
constexpr Duration kMinRenewalDelay{10};
constexpr double kDriftFraction = 0.001;  // twice what a steady clock may be off
// Times are in whole milliseconds, at the service and here; generous.
constexpr Duration kRoundingMargin{20};
}  // namespace

ControllerLease::ControllerLease(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                                 const ClusterView& view, Callbacks callbacks)
    : settings_(settings),
      runtime_(runtime),
      log_(std::move(log)),
      store_(store),
      view_(view),
      callbacks_(std::move(callbacks)) {}

LeaseValidity ControllerLease::validity() const {
  LeaseValidity validity = validityOnceJoined_;
  if (!joined()) validity.ownsUntil = Time{};
  return validity;
}

// --- grant ---

void ControllerLease::requestLease() {
  state_ = State::Requesting;
  lease_.reset();
  store_.grantLease(settings_.leaseTtl(),
                    [this, sent = runtime_.now()](const LeaseGrant& grant) { granted(sent, grant); });
}

void ControllerLease::granted(Time sent, const LeaseGrant& grant) {
  if (!grant.granted()) {
    runtime_.after(kGrantRetryDelay, [this] { requestLease(); });
    return;
  }
  lease_ = grant.lease;
  state_ = State::Joining;
  renewed(sent);
  join(grant.lease);
}

// --- join ---

void ControllerLease::join(LeaseId lease) {
  if (lease_ != lease) return;
  if (!store_.cachesLoaded()) {
    retryJoin(lease);
    return;
  }
  store_.waitUntilCurrent(keys::kControllers,
                          [this, lease](CatchUpResult result) { controllersRead(lease, result); });
}

void ControllerLease::controllersRead(LeaseId lease, CatchUpResult result) {
  if (result != CatchUpResult::Current) {
    retryJoin(lease);
    return;
  }
  store_.waitUntilCurrent(keys::kShards, [this, lease](CatchUpResult shards) { shardsRead(lease, shards); });
}

void ControllerLease::shardsRead(LeaseId lease, CatchUpResult result) {
  if (lease_ != lease) return;
  if (result != CatchUpResult::Current) {
    retryJoin(lease);
    return;
  }
  auto conditions = callbacks_.joinConditions();
  store_.transact(RequestPriority::Lease, joinTransaction(lease, std::move(conditions)), kJoinDeadline,
                  [this, lease](const TransactionResult& result) { joinAnswered(lease, result); });
}

wire::Transaction ControllerLease::joinTransaction(LeaseId lease,
                                                   std::map<std::string, Version> shardVersions) const {
  const auto key = keys::controller(settings_.controller);
  auto previous = view_.controllers.find(settings_.controller);
  wire::Transaction transaction;
  transaction.conditions = std::move(shardVersions);
  transaction.conditions[key] = previous == view_.controllers.end() ? Version{0} : previous->second;
  transaction.operations.push_back({key, "{\"at\":" + std::to_string(runtime_.wall().value) + "}", lease});
  return transaction;
}

void ControllerLease::joinAnswered(LeaseId lease, const TransactionResult& result) {
  if (lease_ != lease) return;
  if (result.outcome == TransactionResult::Outcome::LeaseExpired) {
    requestLease();
    return;
  }
  if (!result.committed()) {
    retryJoin(lease);
    return;
  }
  state_ = State::Joined;
  joinVersion_ = result.revision;
  log_->info("controller joined the cluster lease={}", lease.value);
  callbacks_.validityChanged(validity());
  callbacks_.joined();
}

void ControllerLease::retryJoin(LeaseId lease) {
  runtime_.after(kJoinRetryDelay, [this, lease] { join(lease); });
}

// --- renewal ---

void ControllerLease::renew(LeaseId lease) {
  if (lease_ != lease) return;
  auto deadline = std::max(settings_.leaseTtl() / kRenewalDeadlinesPerTtl, kMinRenewalDeadline);
  store_.renewLease(lease, deadline, [this, sent = runtime_.now(), lease](LeaseRenewal renewal) {
    if (lease_ == lease) renewalAnswered(sent, renewal);
  });
}

void ControllerLease::renewAfter(Duration delay) {
  runtime_.after(delay, [this, lease = *lease_] { renew(lease); });
}

void ControllerLease::renewalAnswered(Time sent, LeaseRenewal renewal) {
  switch (renewal) {
    case LeaseRenewal::Renewed:
      renewed(sent);
      break;
    case LeaseRenewal::NoAnswer:
      lastRenewal_ = LastRenewal::Unanswered;
      renewAfter(kRenewalRetryDelay);
      break;
    case LeaseRenewal::Expired:
      expired();
      break;
  }
}

void ControllerLease::renewed(Time sent) {
  auto answered = runtime_.now();
  extendValidity(sent);
  // The service is back after a silence in which it may have dropped the watches.
  if (lastRenewal_ == LastRenewal::Unanswered && joined()) store_.restartWatches();
  lastRenewal_ = LastRenewal::Answered;
  auto due = sent + settings_.leaseTtl() / kRenewalsPerTtl;
  renewAfter(std::max(due - answered, kMinRenewalDelay));
}

void ControllerLease::expired() {
  log_->info("controller lease expired lease={}", lease_->value);
  state_ = State::Requesting;
  lease_.reset();
  validityOnceJoined_.ownsUntil = std::min(validityOnceJoined_.ownsUntil, runtime_.now());
  callbacks_.validityChanged(validity());
  requestLease();
}

void ControllerLease::extendValidity(Time sent) {
  auto ttl = settings_.leaseTtl();
  auto drift = Duration{static_cast<std::int64_t>(static_cast<double>(ttl.count()) * kDriftFraction)};
  auto& extended = validityOnceJoined_;
  extended.ownsUntil = std::max(extended.ownsUntil, sent + ttl - drift - kRoundingMargin);
  extended.answersUntil = std::max(extended.answersUntil, extended.ownsUntil + settings_.grace());
  callbacks_.validityChanged(validity());
}

}  // namespace cherryloft
