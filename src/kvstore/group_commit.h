// GroupCommit: creates keys that must not exist yet, many in one transaction.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "kvstore/key_value_client.h"

namespace cherryloft {

/// Collects creations while one transaction is in flight and sends them together in the next, as the service
/// limits requests more tightly than writes. Creations are independent: one whose key is taken does not
/// fail the others.
///
/// Runs on the event loop's thread only. All that it refers to must outlive it, and it must outlive the calls
/// and timers that it starts.
class GroupCommit {
 public:
  GroupCommit(const Settings& settings, Runtime& runtime, KeyValueClient& client, RateLimiter& limiter,
              RequestCounters& tally)
      : settings_(settings), runtime_(runtime), client_(client), limiter_(limiter), tally_(tally) {}

  /// Writes the key on condition that it does not exist. Always ends in one call of `done`: with Conflict
  /// only if this key exists, with Refused if it had no turn before the deadline.
  void create(wire::Write write, Duration deadline, std::function<void(TransactionResult)> done);

  /// Creations that are not yet part of a transaction in flight.
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Creation {
    wire::Write write;
    Time expiresAt;
    std::function<void(TransactionResult)> done;
  };
  struct Batch {
    std::vector<Creation> creations;
    wire::Transaction transaction;
    Time expiresAt;  // the latest of its creations'
  };

  void commitNext();
  // Moves up to `maxCreations` from the queue, of which the first always goes, into a batch.
  std::shared_ptr<Batch> takeBatch(std::size_t maxCreations);
  void finish(Batch& batch, const TransactionResult& result);
  void refuseExpired();
  void commitLater();

  const Settings& settings_;
  Runtime& runtime_;
  KeyValueClient& client_;
  RateLimiter& limiter_;
  RequestCounters& tally_;
  std::deque<Creation> waiting_;
  bool commitInFlight_ = false;
  bool commitScheduled_ = false;
};

}  // namespace cherryloft
