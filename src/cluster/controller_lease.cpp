#include "cluster/controller_lease.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kGrantRetryDelay{200};
constexpr Duration kJoinRetryDelay{100};
// Deadline of the join transaction: a third of the default lease TTL, to leave time for a retry if the
// response is lost.
constexpr Duration kJoinDeadline{1'000};
// Delay after an unanswered renewal: shorter than the regular interval, as the lease is about to expire.
constexpr Duration kRenewalRetryDelay{150};
constexpr int kRenewalsPerTtl = 4;
// The deadline of a renewal is a third of the lease TTL, so that it can be retried before the lease expires,
// but at least kMinRenewalDeadline.
constexpr int kRenewalDeadlinesPerTtl = 3;
constexpr Duration kMinRenewalDeadline{100};
// Delay before the next renewal if the response arrived after it was due.
constexpr Duration kMinRenewalDelay{10};
constexpr double kDriftFraction = 0.001;  // twice the assumed drift of a steady clock
// The service and this process both round times to milliseconds; this margin is deliberately large.
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
                    [this, sent = runtime_.now()](const LeaseGrant& grant) { handleGrant(sent, grant); });
}

void ControllerLease::handleGrant(Time sent, const LeaseGrant& grant) {
  if (!grant.granted()) {
    runtime_.after(kGrantRetryDelay, [this] { requestLease(); });
    return;
  }
  lease_ = grant.lease;
  state_ = State::Joining;
  handleRenewed(sent);
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
                          [this, lease](CatchUpResult result) { handleControllersCurrent(lease, result); });
}

void ControllerLease::handleControllersCurrent(LeaseId lease, CatchUpResult result) {
  if (result != CatchUpResult::Current) {
    retryJoin(lease);
    return;
  }
  store_.waitUntilCurrent(keys::kShards,
                          [this, lease](CatchUpResult shards) { handleShardsCurrent(lease, shards); });
}

void ControllerLease::handleShardsCurrent(LeaseId lease, CatchUpResult result) {
  if (lease_ != lease) return;
  if (result != CatchUpResult::Current) {
    retryJoin(lease);
    return;
  }
  auto conditions = callbacks_.joinConditions();
  store_.transact(RequestPriority::Lease, joinTransaction(lease, std::move(conditions)), kJoinDeadline,
                  [this, lease](const TransactionResult& result) { handleJoinResult(lease, result); });
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

void ControllerLease::handleJoinResult(LeaseId lease, const TransactionResult& result) {
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
    if (lease_ == lease) handleRenewalResult(sent, renewal);
  });
}

void ControllerLease::renewAfter(Duration delay) {
  runtime_.after(delay, [this, lease = *lease_] { renew(lease); });
}

void ControllerLease::handleRenewalResult(Time sent, LeaseRenewal renewal) {
  switch (renewal) {
    case LeaseRenewal::Renewed:
      handleRenewed(sent);
      break;
    case LeaseRenewal::NoAnswer:
      lastRenewal_ = LastRenewal::Unanswered;
      renewAfter(kRenewalRetryDelay);
      break;
    case LeaseRenewal::Expired:
      handleExpired();
      break;
  }
}

void ControllerLease::handleRenewed(Time sent) {
  auto answered = runtime_.now();
  extendValidity(sent);
  // The service is reachable again and may have dropped the watches in the meantime.
  if (lastRenewal_ == LastRenewal::Unanswered && joined()) store_.restartWatches();
  lastRenewal_ = LastRenewal::Answered;
  auto due = sent + settings_.leaseTtl() / kRenewalsPerTtl;
  renewAfter(std::max(due - answered, kMinRenewalDelay));
}

void ControllerLease::handleExpired() {
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
