// ControllerLease: this controller's lease in the state service, and how long the lease entitles it to act.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cluster/cluster_view.h"
#include "kvstore/key_value_store.h"

namespace cherryloft {

// Deadlines until which a controller may act, by its own steady clock (invariant 6).
struct LeaseValidity {
  Time ownsUntil{};     // may start and forget tasks and report non-terminal job states
  Time answersUntil{};  // may acknowledge heartbeats without sending new commands
  [[nodiscard]] bool owns(Time now) const { return now < ownsUntil; }
  [[nodiscard]] bool answers(Time now) const { return now < answersUntil; }
};

// Maintains one lease for the lifetime of the process:
//
//   1. Grant: a lease is requested until one is granted.
//   2. Join: the controller's node/ key is attached to the lease, on condition that no shard which this
//      controller believes it owns has changed owner in the meantime. From then on the lease keeps others
//      from taking over shards, and this controller may act as an owner.
//   3. Renewal: four times per lease TTL, starting with the grant. An unanswered renewal is retried.
//   4. When the service reports that the lease has expired, the cycle restarts with a grant.
//
// Validity is computed from the time at which the last successful renewal was sent, minus the clock drift
// (invariant 6). Each lease has its own sequence of join attempts and renewals; responses for an earlier
// lease are ignored.
//
// Must outlive its pending calls to the store and the runtime.
class ControllerLease {
 public:
  struct Callbacks {
    // Called when the validity was extended or shortened, or when a join put it into effect.
    std::function<void(const LeaseValidity&)> validityChanged;
    // Called right before the join is written. Releases the shards that the cluster view shows as owned by
    // others and returns the expected record versions, by key, of the shards still owned.
    std::function<std::map<std::string, Version>()> joinConditions;
    // Called after validityChanged when the join has been committed.
    std::function<void()> joined;
  };

  // The references must outlive this object.
  ControllerLease(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                  const ClusterView& view, Callbacks callbacks);
  // Call once.
  void start() { requestLease(); }

  // Whether the node/ key is attached to the current lease.
  [[nodiscard]] bool joined() const { return state_ == State::Joined; }
  // The version of the node/ key, as written by the last join.
  [[nodiscard]] Version joinVersion() const { return joinVersion_; }
  // Ownership is valid only after the join: without the node/ key, the lease does not prevent other
  // controllers from taking over the shards of this one.
  [[nodiscard]] LeaseValidity validity() const;
  // Whether this controller may own shards, lead and change ownership at the given time.
  [[nodiscard]] bool mayOwn(Time now) const { return joined() && validity().owns(now); }

 private:
  enum class State : std::uint8_t {
    Requesting,  // no lease; a grant has been requested or will be retried
    Joining,     // the lease is granted; the node/ key is not attached yet
    Joined,
  };
  enum class LastRenewal : std::uint8_t { Answered, Unanswered };

  void requestLease();
  void handleGrant(Time sent, const LeaseGrant& grant);

  // The steps of a join, in order. A step that finds that the lease is no longer current aborts the join.
  void join(LeaseId lease);
  void handleControllersCurrent(LeaseId lease, CatchUpResult result);
  void handleShardsCurrent(LeaseId lease, CatchUpResult result);
  void handleJoinResult(LeaseId lease, const TransactionResult& result);
  void retryJoin(LeaseId lease);
  [[nodiscard]] wire::Transaction joinTransaction(LeaseId lease,
                                                  std::map<std::string, Version> shardVersions) const;

  void renew(LeaseId lease);
  void renewAfter(Duration delay);
  void handleRenewalResult(Time sent, LeaseRenewal renewal);
  void handleRenewed(Time sent);
  void handleExpired();
  void extendValidity(Time sent);

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  KeyValueStore& store_;
  const ClusterView& view_;
  Callbacks callbacks_;
  State state_ = State::Requesting;
  std::optional<LeaseId> lease_;  // unset in State::Requesting
  LastRenewal lastRenewal_ = LastRenewal::Answered;
  Version joinVersion_;
  LeaseValidity validityOnceJoined_;
};

}  // namespace cherryloft
