#include "kvstore/watch_cache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cherryloft {
namespace {

// How long the service holds a watch without changes, and the request deadline, which leaves time to respond.
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

void WatchCache::scheduleRetry() {
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
                 if (request == currentRequest_) handleList(sentAt, result);
               });
}

void WatchCache::handleList(Time sentAt, const ListResult& result) {
  if (!result.complete()) return scheduleRetry();
  backoff_ = Duration{0};
  // The response to waitUntilCurrent() may have arrived before the list with a newer revision; the list then
  // contains nothing new.
  bool outdated = result.revision < revision_;
  if (!outdated) {
    applyListedEntries(result);
    advanceRevision(result.revision);
    currentAsOf_ = std::max(currentAsOf_, sentAt);
  }
  startWatching();
}

void WatchCache::applyListedEntries(const ListResult& result) {
  for (const auto& entry : result.entries)
    if (recordWrite(entry)) listener_(entry);
  removeAbsentKeys(result);
}

// Handles keys that were deleted while no watch was open. A key that an own transaction wrote after the list
// was taken is kept.
void WatchCache::removeAbsentKeys(const ListResult& result) {
  std::set<std::string> present;
  for (const auto& entry : result.entries) present.insert(entry.key);
  for (auto it = versions_.begin(); it != versions_.end();) {
    bool newerThanList = it->second > result.revision;
    if (newerThanList || present.count(it->first) > 0) {
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
                  if (request == currentRequest_) handleWatch(sentAt, result);
                });
}

void WatchCache::handleWatch(Time sentAt, const WatchResult& result) {
  switch (result.outcome) {
    case WatchResult::Outcome::Compacted:
      return startListing();
    case WatchResult::Outcome::Failed:
      return scheduleRetry();
    case WatchResult::Outcome::Changes:
      break;
  }
  backoff_ = Duration{0};
  applyChanges(sentAt, result.page);
  startWatching();
}

void WatchCache::applyChanges(Time sentAt, const wire::KeyPage& page) {
  for (const auto& change : page.entries) {
    // Responses may arrive out of order: changes up to revision_ are already applied, and their keys may have
    // been deleted since.
    if (change.version <= revision_) continue;
    bool isNew = change.value ? recordWrite(change) : recordDelete(change);
    if (isNew) listener_(change);
  }
  advanceRevision(page.revision);
  currentAsOf_ = std::max(currentAsOf_, sentAt);
}

void WatchCache::advanceRevision(Version revision) {
  revision_ = std::max(revision_, revision);
  std::erase_if(deletedAhead_, [this](const auto& deleted) { return deleted.second <= revision_; });
}

void WatchCache::applyCommitted(const wire::KeyChange& change) {
  if (!change.key.starts_with(prefix_) || change.version <= revision_) return;
  if (!change.value) deletedAhead_[change.key] = change.version;
  bool isNew = change.value ? recordWrite(change) : recordDelete(change);
  if (isNew) listener_(change);
}

bool WatchCache::recordWrite(const wire::KeyChange& change) {
  auto deleted = deletedAhead_.find(change.key);
  if (deleted != deletedAhead_.end() && change.version <= deleted->second) return false;
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
  // A watch without a wait: its response covers everything committed before it was sent. It is independent of
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
