#include "kvstore/key_value_store.h"

#include <algorithm>
#include <cmath>

namespace cherryloft {
namespace {

constexpr double kShortOfChanges = 0.6;  // of a second's changes; with fewer left, they are short
constexpr std::size_t kBackgroundBatchDivisor = 3;
constexpr std::size_t kLeastBackgroundBatch = 2;
constexpr double kLeastRate = 0.1;  // changes per second, to divide by
// Changes that pass between two transactions of work while changes are short.
constexpr double kWritesBetweenCommits = 2.5;
constexpr double kMaxCommitIntervalSeconds = 1;  // between two transactions of work
constexpr double kForCreations = 0.5;            // the part of the changes that creations get at least, about
constexpr double kCreationsWaitS = 1.5;          // a creation that would wait longer is not taken

}  // namespace

KeyValueStore::KeyValueStore(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed)
    : settings_(settings),
      runtime_(runtime),
      log_(std::move(log)),
      rng_(seed),
      limiter_(settings, runtime.now()),
      queue_(settings, runtime, limiter_, tally_, rng_),
      client_(queue_, tally_),
      creations_(settings, runtime, client_, limiter_, tally_) {}

bool KeyValueStore::writesSaturated() const {
  return limiter_.changes() < kShortOfChanges * limiter_.changesPerSecond() || creations_.waiting() > 0;
}

std::size_t KeyValueStore::backgroundBatchSize() const {
  return writesSaturated() ? std::max(settings_.txnOps / kBackgroundBatchDivisor, kLeastBackgroundBatch)
                           : settings_.txnOps;
}

Duration KeyValueStore::commitInterval() const {
  return seconds(std::min(kWritesBetweenCommits / std::max(limiter_.changesPerSecond(), kLeastRate),
                          kMaxCommitIntervalSeconds));
}

std::optional<int> KeyValueStore::creationsBackedUp() const {
  double rate = std::max(limiter_.changesPerSecond() * kForCreations, kLeastRate);
  double waitS = static_cast<double>(creations_.waiting()) / rate;
  if (waitS <= kCreationsWaitS) return std::nullopt;
  return static_cast<int>(std::ceil(waitS));
}

void KeyValueStore::txn(RequestPriority u, const wire::Transaction& t, Duration deadline,
                        std::function<void(TxnResult)> done) {
  client_.txn(u, t, deadline, std::move(done));
}

void KeyValueStore::create(wire::Write w, Duration deadline, std::function<void(TxnResult)> done) {
  creations_.create(std::move(w), deadline, std::move(done));
}

void KeyValueStore::get(RequestPriority u, const std::string& key, Duration deadline,
                        std::function<void(GetResult)> done) {
  client_.get(u, key, deadline, std::move(done));
}

void KeyValueStore::list(RequestPriority u, const std::string& prefix, std::function<void(ListResult)> done) {
  client_.list(u, prefix, std::move(done));
}

void KeyValueStore::grantLease(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done) {
  client_.grantLease(ttl, std::move(done));
}

void KeyValueStore::renewLease(std::uint64_t lease, Duration deadline, std::function<void(Renewal)> done) {
  client_.renewLease(lease, deadline, std::move(done));
}

void KeyValueStore::watch(const std::string& prefix, Changed changed) {
  caches_.push_back(std::make_unique<WatchCache>(runtime_, client_, rng_, prefix, std::move(changed)));
  caches_.back()->restart();
}

bool KeyValueStore::cachesLoaded() const {
  return std::all_of(caches_.begin(), caches_.end(), [](const auto& m) { return m->read(); });
}

WatchCache* KeyValueStore::find(const std::string& prefix) const {
  auto it =
      std::find_if(caches_.begin(), caches_.end(), [&](const auto& m) { return m->prefix() == prefix; });
  return it == caches_.end() ? nullptr : it->get();
}

Time KeyValueStore::currentAsOf(const std::string& prefix) const {
  const auto* watch = find(prefix);
  return watch ? watch->currentAsOf() : Time{};
}

Version KeyValueStore::revisionOf(const std::string& prefix) const {
  const auto* watch = find(prefix);
  return watch ? watch->revision() : Version{};
}

void KeyValueStore::waitUntilCurrent(const std::string& prefix, std::function<void(bool)> done) {
  auto* watch = find(prefix);
  if (!watch) return done(false);
  watch->waitUntilCurrent(std::move(done));
}

void KeyValueStore::restartWatches() {
  for (auto& watch : caches_) watch->restart();
}

}  // namespace cherryloft
