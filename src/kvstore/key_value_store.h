// KeyValueStore: the only way to the state service, a replicated key-value store with leases,
// compare-and-swap transactions and watches. It keeps within this controller's fraction of the service's
// limits, sends what is most important first, groups creations of keys, and keeps watch caches of prefixes.
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

/// The state service as all other parts of a controller see it; it owns the objects of this directory.
///
/// Runs on the event loop's thread only. Settings and runtime must outlive it, and it must outlive the calls
/// and timers that it starts. Every operation with a `done` ends in exactly one call of it.
class KeyValueStore {
 public:
  /// `seed`: of the jitter of retries.
  KeyValueStore(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed);

  // --- operations ---

  /// Executes all operations of the transaction if all its conditions hold, otherwise none.
  void transact(RequestPriority priority, const wire::Transaction& transaction, Duration deadline,
                std::function<void(TransactionResult)> done);

  /// Creates one key that must not exist yet, in one transaction with others that come in the meantime.
  void create(wire::Write write, Duration deadline, std::function<void(TransactionResult)> done);

  /// Reads one key from the service itself, which no watch cache may contradict.
  void get(RequestPriority priority, const std::string& key, Duration deadline,
           std::function<void(GetResult)> done);

  /// Reads all keys under a prefix from the service itself.
  void list(RequestPriority priority, const std::string& prefix, std::function<void(ListResult)> done);

  /// Asks for a new lease, which expires when it is not renewed for `timeToLive`.
  void grantLease(Duration timeToLive, std::function<void(LeaseGrant)> done);

  /// Extends a lease by its time to live.
  void renewLease(LeaseId lease, Duration deadline, std::function<void(LeaseRenewal)> done);

  // --- load ---

  /// Sets this controller's fraction (0 to 1) of the service's limits.
  void setFractionOfLimits(double fraction) { limiter_.setFractionOfLimits(fraction); }

  /// Whether writes are short, so that what can wait should come in fewer and larger transactions.
  [[nodiscard]] bool writesSaturated() const;

  /// How many writes a transaction without urgency should make at most, so that others have their turn soon.
  [[nodiscard]] std::size_t backgroundBatchSize() const;

  /// The time between two commits of a scheduler that leaves writes for everything else.
  [[nodiscard]] Duration commitInterval() const;

  /// The time after which one more creation would have its turn, if that is longer than anyone should wait.
  [[nodiscard]] std::optional<std::chrono::seconds> creationBacklogDelay() const;

  /// What was asked of the service since the last call.
  [[nodiscard]] RequestCounters takeCounters() { return std::exchange(tally_, {}); }

  // --- watch caches ---

  /// Keeps a watch cache of the prefix from now on. One for each prefix; see WatchCache for the listener.
  void watch(const std::string& prefix, WatchCache::Listener listener);

  /// Whether all watch caches are loaded.
  [[nodiscard]] bool cachesLoaded() const;

  /// Calls `done` once the watch cache of the prefix shows at least all that was committed before this call.
  /// Fails if the prefix is not watched.
  void waitUntilCurrent(const std::string& prefix, std::function<void(CatchUpResult)> done);

  /// All that was committed under the prefix before that time shows in its watch cache. The epoch of the
  /// clock if the prefix is not watched.
  [[nodiscard]] Time currentAsOf(const std::string& prefix) const;

  /// The watch cache of the prefix shows every change up to that revision. 0 if the prefix is not watched.
  [[nodiscard]] Version revisionOf(const std::string& prefix) const;

  /// Replaces all watches in flight, as the service is back after an outage.
  void restartWatches();

 private:
  [[nodiscard]] WatchCache* findCache(const std::string& prefix) const;

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  std::mt19937_64 rng_;
  RequestCounters tally_;
  RateLimiter limiter_;
  RequestQueue queue_;
  KeyValueClient client_;
  GroupCommit creations_;
  std::vector<std::unique_ptr<WatchCache>> caches_;
};

}  // namespace cherryloft
