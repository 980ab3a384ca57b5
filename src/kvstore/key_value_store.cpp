#include "kvstore/key_value_store.h"

#include <algorithm>
#include <cmath>

namespace cherryloft {
namespace {

// Writes are saturated while fewer tokens than this fraction of one second's writes are left.
constexpr double kSaturationThreshold = 0.6;
// While writes are saturated, background transactions are limited to the maximum size divided by this.
constexpr std::size_t kBackgroundBatchDivisor = 3;
constexpr std::size_t kMinBackgroundBatch = 2;
// Writes left for other components between two commits of a scheduler while writes are saturated.
constexpr double kOtherWritesPerCommit = 2.5;
constexpr double kMaxCommitIntervalSeconds = 1;
// Approximate minimum fraction of the writes that is available to creations.
constexpr double kMinCreationFraction = 0.5;
// Creations that would wait longer are rejected, as the user would have given up by then.
constexpr double kMaxCreationWaitSeconds = 1.5;
constexpr double kMinWritesPerSecond = 0.1;  // lower bound for divisors

}  // namespace

KeyValueStore::KeyValueStore(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed)
    : settings_(settings),
      runtime_(runtime),
      log_(std::move(log)),
      rng_(seed),
      limiter_(settings, runtime.now()),
      queue_(settings, runtime, limiter_, counters_, rng_),
      client_(queue_, counters_, [this](const wire::KeyChange& change) { applyCommitted(change); }),
      creations_(settings, runtime, client_, limiter_, counters_) {}

bool KeyValueStore::writesSaturated() const {
  return limiter_.writeTokens() < kSaturationThreshold * limiter_.writesPerSecond() ||
         creations_.waiting() > 0;
}

std::size_t KeyValueStore::backgroundBatchSize() const {
  if (!writesSaturated()) return settings_.txnOps;
  return std::max(settings_.txnOps / kBackgroundBatchDivisor, kMinBackgroundBatch);
}

Duration KeyValueStore::commitInterval() const {
  double writesPerSecond = std::max(limiter_.writesPerSecond(), kMinWritesPerSecond);
  return seconds(std::min(kOtherWritesPerCommit / writesPerSecond, kMaxCommitIntervalSeconds));
}

std::optional<std::chrono::seconds> KeyValueStore::creationBacklogDelay() const {
  double creationsPerSecond =
      std::max(limiter_.writesPerSecond() * kMinCreationFraction, kMinWritesPerSecond);
  double waitSeconds = static_cast<double>(creations_.waiting()) / creationsPerSecond;
  if (waitSeconds <= kMaxCreationWaitSeconds) return std::nullopt;
  return std::chrono::seconds{static_cast<int>(std::ceil(waitSeconds))};
}

void KeyValueStore::transact(RequestPriority priority, const wire::Transaction& transaction,
                             Duration deadline, std::function<void(TransactionResult)> done) {
  client_.transact(priority, transaction, deadline, std::move(done));
}

void KeyValueStore::create(wire::Write write, Duration deadline,
                           std::function<void(TransactionResult)> done) {
  creations_.create(std::move(write), deadline, std::move(done));
}

void KeyValueStore::get(RequestPriority priority, const std::string& key, Duration deadline,
                        std::function<void(GetResult)> done) {
  client_.get(priority, key, deadline, std::move(done));
}

void KeyValueStore::list(RequestPriority priority, const std::string& prefix,
                         std::function<void(ListResult)> done) {
  client_.list(priority, prefix, std::move(done));
}

void KeyValueStore::grantLease(Duration timeToLive, std::function<void(LeaseGrant)> done) {
  client_.grantLease(timeToLive, std::move(done));
}

void KeyValueStore::renewLease(LeaseId lease, Duration deadline, std::function<void(LeaseRenewal)> done) {
  client_.renewLease(lease, deadline, std::move(done));
}

void KeyValueStore::watch(const std::string& prefix, WatchCache::Listener listener) {
  caches_.push_back(std::make_unique<WatchCache>(runtime_, client_, rng_, prefix, std::move(listener)));
  caches_.back()->restart();
}

bool KeyValueStore::cachesLoaded() const {
  return std::all_of(caches_.begin(), caches_.end(), [](const auto& cache) { return cache->loaded(); });
}

void KeyValueStore::applyCommitted(const wire::KeyChange& change) {
  for (auto& cache : caches_) cache->applyCommitted(change);
}

WatchCache* KeyValueStore::findCache(const std::string& prefix) const {
  auto found = std::find_if(caches_.begin(), caches_.end(),
                            [&](const auto& cache) { return cache->prefix() == prefix; });
  return found == caches_.end() ? nullptr : found->get();
}

Time KeyValueStore::currentAsOf(const std::string& prefix) const {
  const auto* cache = findCache(prefix);
  return cache ? cache->currentAsOf() : Time{};
}

Version KeyValueStore::revisionOf(const std::string& prefix) const {
  const auto* cache = findCache(prefix);
  return cache ? cache->revision() : Version{};
}

void KeyValueStore::waitUntilCurrent(const std::string& prefix, std::function<void(CatchUpResult)> done) {
  auto* cache = findCache(prefix);
  if (!cache) return done(CatchUpResult::Failed);
  cache->waitUntilCurrent(std::move(done));
}

void KeyValueStore::restartWatches() {
  for (auto& cache : caches_) cache->restart();
}

}  // namespace cherryloft
