// GroupCommit: creates keys that must not exist yet, combining many creations into one transaction.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "kvstore/key_value_client.h"

namespace cherryloft {

/// Collects creations while one transaction is in flight and sends them together in the next, because the
/// service's limit on requests is lower than that on writes. Creations are independent: one whose key already
/// exists does not fail the others.
///
/// Runs on the event loop's thread only. Everything it references must outlive it, and it must outlive the
/// calls and timers that it starts.
class GroupCommit {
 public:
  GroupCommit(const Settings& settings, Runtime& runtime, KeyValueClient& client, RateLimiter& limiter,
              RequestCounters& counters)
      : settings_(settings), runtime_(runtime), client_(client), limiter_(limiter), counters_(counters) {}

  /// Writes the key on condition that it does not exist. Calls `done` exactly once: with Conflict only if
  /// this key exists, with Refused if it was not sent before the deadline.
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
    Time expiresAt;  // the latest of its creations
  };

  void commitNext();
  // Moves up to `maxCreations`, and at least the first, from the queue into a batch.
  std::shared_ptr<Batch> takeBatch(std::size_t maxCreations);
  void completeBatch(Batch& batch, const TransactionResult& result);
  void refuseExpired();
  void scheduleCommit();

  const Settings& settings_;
  Runtime& runtime_;
  KeyValueClient& client_;
  RateLimiter& limiter_;
  RequestCounters& counters_;
  std::deque<Creation> waiting_;
  bool commitInFlight_ = false;
  bool commitScheduled_ = false;
};

}  // namespace cherryloft
