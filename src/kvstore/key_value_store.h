// KeyValueStore: the only interface to the state service, a replicated key-value store with leases,
// compare-and-swap transactions and watches. It enforces this controller's fraction of the service's rate
// limits, sends requests by priority, batches creations of keys, and maintains watch caches of prefixes.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "kvstore/group_commit.h"
#include "kvstore/key_value_client.h"
#include "kvstore/rate_limiter.h"
#include "kvstore/request_queue.h"
#include "kvstore/results.h"
#include "kvstore/watch_cache.h"
#include "log/log.h"
#include "runtime/runtime.h"

namespace cherryloft {

/// Facade of the state service for all other components of a controller; owns the objects of this directory.
///
/// Runs on the event loop's thread only. Settings and runtime must outlive it, and it must outlive the calls
/// and timers that it starts. Every operation with a `done` callback calls it exactly once.
class KeyValueStore {
 public:
  /// `seed` seeds the jitter of retries.
  KeyValueStore(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed);

  // --- operations ---

  /// Executes all operations of the transaction if all its conditions hold, otherwise none.
  void transact(RequestPriority priority, const wire::Transaction& transaction, Duration deadline,
                std::function<void(TransactionResult)> done);

  /// Creates a key that must not exist yet, batched with other creations into one transaction.
  void create(wire::Write write, Duration deadline, std::function<void(TransactionResult)> done);

  /// Reads one key directly from the service, bypassing the watch caches.
  void get(RequestPriority priority, const std::string& key, Duration deadline,
           std::function<void(GetResult)> done);

  /// Reads all keys under a prefix directly from the service.
  void list(RequestPriority priority, const std::string& prefix, std::function<void(ListResult)> done);

  /// Requests a new lease, which expires if it is not renewed for `timeToLive`.
  void grantLease(Duration timeToLive, std::function<void(LeaseGrant)> done);

  /// Extends a lease by its time to live.
  void renewLease(LeaseId lease, Duration deadline, std::function<void(LeaseRenewal)> done);

  // --- load ---

  /// Sets this controller's fraction (0 to 1) of the service's limits.
  void setFractionOfLimits(double fraction) { limiter_.setFractionOfLimits(fraction); }

  /// Whether write tokens are scarce, so that deferrable writes should be batched into fewer transactions.
  [[nodiscard]] bool writesSaturated() const;

  /// Maximum number of writes for a non-urgent transaction, so that it does not delay others for long.
  [[nodiscard]] std::size_t backgroundBatchSize() const;

  /// Interval between two commits of a scheduler that leaves enough writes for other components.
  [[nodiscard]] Duration commitInterval() const;

  /// The expected wait of a new creation, or nullopt while it is short enough for creations to be accepted.
  [[nodiscard]] std::optional<std::chrono::seconds> creationBacklogDelay() const;

  /// Returns the request counters since the last call and resets them.
  [[nodiscard]] RequestCounters takeCounters() { return std::exchange(counters_, {}); }

  // --- watch caches ---
  //
  // When a transaction or a creation is answered as committed, the watch caches of its keys have applied what
  // it wrote before `done` is called. So whoever reads them never sees a state older than an own commit.

  /// Starts a watch cache of the prefix. Call at most once per prefix; see WatchCache for the listener.
  void watch(const std::string& prefix, WatchCache::Listener listener);

  /// Whether all watch caches are loaded.
  [[nodiscard]] bool cachesLoaded() const;

  /// Calls `done` once the watch cache of the prefix contains everything committed before this call. Fails if
  /// the prefix is not watched.
  void waitUntilCurrent(const std::string& prefix, std::function<void(CatchUpResult)> done);

  /// The time up to which the watch cache contains everything committed under the prefix. The epoch of the
  /// clock if the prefix is not watched.
  [[nodiscard]] Time currentAsOf(const std::string& prefix) const;

  /// The revision up to which the watch cache contains every change under the prefix. 0 if it is not watched.
  [[nodiscard]] Version revisionOf(const std::string& prefix) const;

  /// Replaces all watches in flight; to be called when the service is reachable again after an outage.
  void restartWatches();

 private:
  [[nodiscard]] WatchCache* findCache(const std::string& prefix) const;
  void applyCommitted(const wire::KeyChange& change);

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  std::mt19937_64 rng_;
  RequestCounters counters_;
  RateLimiter limiter_;
  RequestQueue queue_;
  KeyValueClient client_;
  GroupCommit creations_;
  std::vector<std::unique_ptr<WatchCache>> caches_;
};

}  // namespace cherryloft
