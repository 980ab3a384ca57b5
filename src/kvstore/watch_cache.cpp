#include "kvstore/watch_cache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cherryloft {
namespace {

// How long the service holds a watch open without changes, and the deadline, which leaves time to answer it.
constexpr Duration kWatchWait{8'000};
constexpr Duration kWatchDeadline{10'000};
constexpr Duration kCatchUpDeadline{2'000};
constexpr Duration kMinBackoff{100};
constexpr Duration kMaxBackoff{1'000};
constexpr std::uint64_t kBackoffJitterMs = 100;

}  // namespace

void WatchCache::restart() {
  if (phase_ == Phase::Watching)
    startWatching();
  else
    startListing();
}

void WatchCache::retryLater() {
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  runtime_.after(backoff_ + Duration{rng_() % kBackoffJitterMs}, [this, failed = currentRequest_] {
    if (failed == currentRequest_) restart();
  });
}

void WatchCache::startListing() {
  phase_ = Phase::Listing;
  auto request = ++currentRequest_;
  client_.list(RequestPriority::Control, prefix_,
               [this, request, sentAt = runtime_.now()](const ListResult& result) {
                 if (request == currentRequest_) listed(sentAt, result);
               });
}

void WatchCache::listed(Time sentAt, const ListResult& result) {
  if (!result.complete()) return retryLater();
  backoff_ = Duration{0};
  // The answer to waitUntilCurrent() may have overtaken the list and cover more: the list says nothing new.
  bool overtaken = result.revision < revision_;
  if (!overtaken) {
    applyList(result);
    revision_ = result.revision;
    currentAsOf_ = std::max(currentAsOf_, sentAt);
  }
  startWatching();
}

void WatchCache::applyList(const ListResult& result) {
  for (const auto& entry : result.entries)
    if (recordWrite(entry)) listener_(entry);
  removeAbsentKeys(result);
}

// Keys that were deleted while no watch was open.
void WatchCache::removeAbsentKeys(const ListResult& result) {
  std::set<std::string> present;
  for (const auto& entry : result.entries) present.insert(entry.key);
  for (auto it = versions_.begin(); it != versions_.end();) {
    if (present.count(it->first) > 0) {
      ++it;
      continue;
    }
    wire::KeyChange deletion{it->first, std::nullopt, result.revision};
    it = versions_.erase(it);
    listener_(deletion);
  }
}

void WatchCache::startWatching() {
  phase_ = Phase::Watching;
  auto request = ++currentRequest_;
  client_.watch(prefix_, revision_, kWatchWait, kWatchDeadline,
                [this, request, sentAt = runtime_.now()](const WatchResult& result) {
                  if (request == currentRequest_) watched(sentAt, result);
                });
}

void WatchCache::watched(Time sentAt, const WatchResult& result) {
  switch (result.outcome) {
    case WatchResult::Outcome::Compacted:
      return startListing();
    case WatchResult::Outcome::Failed:
      return retryLater();
    case WatchResult::Outcome::Changes:
      break;
  }
  backoff_ = Duration{0};
  applyChanges(sentAt, result.page);
  startWatching();
}

void WatchCache::applyChanges(Time sentAt, const wire::KeyPage& page) {
  for (const auto& change : page.entries) {
    // Answers overtake each other: what an earlier one covered is in view, and may be deleted again since.
    if (change.version <= revision_) continue;
    bool news = change.value ? recordWrite(change) : recordDelete(change);
    if (news) listener_(change);
  }
  revision_ = std::max(revision_, page.revision);
  currentAsOf_ = std::max(currentAsOf_, sentAt);
}

bool WatchCache::recordWrite(const wire::KeyChange& change) {
  auto& version = versions_[change.key];
  if (change.version <= version) return false;
  version = change.version;
  return true;
}

bool WatchCache::recordDelete(const wire::KeyChange& change) {
  auto known = versions_.find(change.key);
  if (known == versions_.end() || known->second > change.version) return false;
  versions_.erase(known);
  return true;
}

void WatchCache::waitUntilCurrent(std::function<void(CatchUpResult)> done) {
  if (!loaded()) return done(CatchUpResult::Failed);
  // A watch that does not wait: its answer covers all that was committed before it was sent. It is no part of
  // the list or watch in flight, so neither replaces the other.
  auto answered = [this, sentAt = runtime_.now(), done = std::move(done)](const WatchResult& result) {
    if (result.outcome == WatchResult::Outcome::Compacted && loaded()) startListing();
    if (result.outcome != WatchResult::Outcome::Changes) return done(CatchUpResult::Failed);
    applyChanges(sentAt, result.page);
    done(CatchUpResult::Current);
  };
  client_.watch(prefix_, revision_, Duration{0}, kCatchUpDeadline, std::move(answered));
}

}  // namespace cherryloft
