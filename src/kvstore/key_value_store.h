// StateStore: the only way to the state service. It keeps within this controller's part of the request
// budget, urgent things first, groups small writes, and follows prefixes.
#pragma once

#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "kvstore/group_commit.h"
#include "kvstore/key_value_client.h"
#include "kvstore/rate_limiter.h"
#include "kvstore/request_queue.h"
#include "kvstore/watch_cache.h"
#include "log/log.h"
#include "runtime/runtime.h"

namespace cherryloft {

class KeyValueStore {
 public:
  using Changed = WatchCache::Changed;
  using Renewal = LeaseRenewal;
  using Tally = RequestTally;

  KeyValueStore(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed);

  void txn(RequestPriority u, const wire::Transaction& t, Duration deadline,
           std::function<void(TxnResult)> done);
  // This controller's part of the limits, as the load of all is not parted equally.
  void setFractionOfLimits(double p) { limiter_.setFractionOfLimits(p); }
  // Changes are short: what can wait should come in fewer and wider transactions.
  bool writesSaturated() const;
  // How many changes a transaction should make that need not come soon, so that others have their turn soon.
  std::size_t backgroundBatchSize() const;
  // The time between two transactions of work that leaves room for everything else.
  Duration commitInterval() const;
  // Seconds until one more creation would have its turn, if that is longer than anyone should wait.
  std::optional<int> creationsBackedUp() const;
  // Creates one key that must not exist yet, together with others that come in the meantime.
  void create(wire::Write w, Duration deadline, std::function<void(TxnResult)> done);
  void get(RequestPriority u, const std::string& key, Duration deadline, std::function<void(GetResult)> done);
  void list(RequestPriority u, const std::string& prefix, std::function<void(ListResult)> done);

  void grantLease(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done);
  void renewLease(std::uint64_t lease, Duration deadline, std::function<void(Renewal)> done);

  // Mirrors a prefix for ever: changed is told every key at first and each change after that, in order.
  void watch(const std::string& prefix, Changed changed);
  bool cachesLoaded() const;  // every prefix was read once
  // Calls done once the watch cache of the prefix shows at least all that was committed before this call.
  void waitUntilCurrent(const std::string& prefix, std::function<void(bool)> done);
  // All that was committed under the prefix before that moment shows in its watch cache.
  Time currentAsOf(const std::string& prefix) const;
  // The watch cache of the prefix shows every change up to that revision.
  Version revisionOf(const std::string& prefix) const;
  // What was asked of the service, by purpose, since the last call.
  Tally takeTally() { return std::exchange(tally_, {}); }
  // The service is back after a silence: begin all watches anew.
  void restartWatches();

 private:
  WatchCache* find(const std::string& prefix) const;

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  std::mt19937_64 rng_;
  Tally tally_;
  RateLimiter limiter_;
  RequestQueue queue_;
  KeyValueClient client_;
  GroupCommit creations_;
  std::vector<std::unique_ptr<WatchCache>> caches_;
};

}  // namespace cherryloft
