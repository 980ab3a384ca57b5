// ControllerLease: this controller's lease at the state service, and how long it may act on it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cluster/cluster_view.h"
#include "kvstore/key_value_store.h"

namespace cherryloft {

// Until when a controller may do what, by its own steady clock (invariant 6).
struct LeaseValidity {
  Time ownsUntil{};     // starts, forgets, non-terminal answers
  Time answersUntil{};  // heartbeats without new commands
  [[nodiscard]] bool owns(Time now) const { return now < ownsUntil; }
  [[nodiscard]] bool answers(Time now) const { return now < answersUntil; }
};

// Keeps one lease for as long as the process runs:
//
//   1. Grant: a lease is requested until one is granted.
//   2. Join: the controller's node/ key is attached to the lease, on condition that none of the shards which
//      this controller believes it owns has been taken in the meantime. From then on the lease keeps others
//      from taking over shards, and this controller may act as an owner.
//   3. Renewal: four times in a time to live, from the grant on. Without an answer it is repeated.
//   4. When the service says that the lease has expired, everything begins anew with a grant.
//
// Validity counts from the sending of the last good renewal, less the clock's drift (invariant 6). Each lease
// has a chain of join attempts and a chain of renewals of its own, and an answer that concerns an earlier
// lease is ignored.
//
// Must outlive the calls that it has made on the store and the runtime, as its owner does.
class ControllerLease {
 public:
  struct Callbacks {
    // The validity was extended or cut short, or its meaning changed with a join.
    std::function<void(const LeaseValidity&)> validityChanged;
    // Called right before the join is written. Gives up what the cluster view shows as taken by others and
    // returns the versions that the records of the shards still owned must have, by key.
    std::function<std::map<std::string, Version>()> joinConditions;
    // The join was written: called after validityChanged.
    std::function<void()> joined;
  };

  // The references must outlive this object.
  ControllerLease(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                  const ClusterView& view, Callbacks callbacks);
  // To be called once.
  void start() { requestLease(); }

  // The node/ key is attached to the current lease.
  [[nodiscard]] bool joined() const { return state_ == State::Joined; }
  // The version of the node/ key, as written by the last join.
  [[nodiscard]] Version joinVersion() const { return joinVersion_; }
  // Owns nothing until the join: without the node/ key the lease keeps nobody from taking our shards.
  [[nodiscard]] LeaseValidity validity() const;
  // Whether this controller may own shards, lead and change ownership at that moment.
  [[nodiscard]] bool mayOwn(Time now) const { return joined() && validity().owns(now); }

 private:
  enum class State : std::uint8_t {
    Requesting,  // no lease: a grant is on its way, or about to be requested again
    Joining,     // a lease, to which the node/ key is not attached yet
    Joined,
  };
  enum class LastRenewal : std::uint8_t { Answered, Unanswered };

  void requestLease();
  void granted(Time sent, const LeaseGrant& grant);

  // The steps of a join, in their order. Each but the last gives up if the lease is not the current one.
  void join(LeaseId lease);
  void controllersRead(LeaseId lease, CatchUpResult result);
  void shardsRead(LeaseId lease, CatchUpResult result);
  void joinAnswered(LeaseId lease, const TransactionResult& result);
  void retryJoin(LeaseId lease);
  [[nodiscard]] wire::Transaction joinTransaction(LeaseId lease,
                                                  std::map<std::string, Version> shardVersions) const;

  void renew(LeaseId lease);
  void renewAfter(Duration delay);
  void renewalAnswered(Time sent, LeaseRenewal renewal);
  void renewed(Time sent);
  void expired();
  void extendValidity(Time sent);

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  KeyValueStore& store_;
  const ClusterView& view_;
  Callbacks callbacks_;
  State state_ = State::Requesting;
  std::optional<LeaseId> lease_;  // except while requesting
  LastRenewal lastRenewal_ = LastRenewal::Answered;
  Version joinVersion_;
  LeaseValidity validityOnceJoined_;
};

}  // namespace cherryloft
