#include "kvstore/watch_cache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cherryloft {
namespace {

constexpr Duration kFollowWait{8'000};
constexpr Duration kFollowDeadline{10'000};
constexpr Duration kCatchUpDeadline{2'000};
constexpr Duration kFirstBackoff{100};
constexpr Duration kMostBackoff{1'000};
constexpr std::uint64_t kBackoffJitterMs = 100;

}  // namespace

void WatchCache::restart() {
  if (read_)
    follow();
  else
    readAll();
}

void WatchCache::retry() {
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMostBackoff);
  runtime_.after(backoff_ + Duration{rng_() % kBackoffJitterMs}, [this, round = round_] {
    if (round == round_) restart();
  });
}

void WatchCache::readAll() {
  auto round = ++round_;
  client_.list(RequestPriority::Control, prefix_,
               [this, round, asked = runtime_.now()](const ListResult& result) {
                 if (round == round_) listed(asked, result);
               });
}

void WatchCache::listed(Time asked, const ListResult& result) {
  if (!result.ok) return retry();
  backoff_ = Duration{0};
  if (result.revision < revision_) {  // an answer that covers more has overtaken it
    read_ = true;
    return follow();
  }
  for (const auto& entry : result.entries)
    if (take(entry)) changed_(entry);
  dropAbsent(result);
  revision_ = result.revision;
  currentAsOf_ = std::max(currentAsOf_, asked);
  read_ = true;
  follow();
}

// Keys that went while no watch was open.
void WatchCache::dropAbsent(const ListResult& result) {
  std::set<std::string> present;
  for (const auto& entry : result.entries) present.insert(entry.key);
  for (auto it = known_.begin(); it != known_.end();) {
    if (present.count(it->first) > 0) {
      ++it;
      continue;
    }
    wire::KeyChange gone{it->first, std::nullopt, result.revision};
    it = known_.erase(it);
    changed_(gone);
  }
}

void WatchCache::follow() {
  auto round = ++round_;
  client_.follow(prefix_, revision_, kFollowWait, kFollowDeadline,
                 [this, round, asked = runtime_.now()](const FollowResult& result) {
                   if (round == round_) followed(asked, result);
                 });
}

void WatchCache::followed(Time asked, const FollowResult& result) {
  using Outcome = FollowResult::Outcome;
  if (result.outcome == Outcome::TooOld) return readAgain();
  if (result.outcome == Outcome::Failed) return retry();
  backoff_ = Duration{0};
  apply(asked, result.news);
  follow();
}

void WatchCache::readAgain() {
  read_ = false;
  readAll();
}

// Whether a key that has a value is new in it.
bool WatchCache::take(const wire::KeyChange& change) {
  auto& version = known_[change.key];
  if (change.version <= version) return false;
  version = change.version;
  return true;
}

void WatchCache::apply(Time asked, const wire::KeyPage& news) {
  for (const auto& change : news.entries) {
    // Answers overtake each other: what an earlier one covered is in view, and may be gone again since.
    if (change.version <= revision_) continue;
    if (change.value) {
      if (!take(change)) continue;
    } else {
      auto it = known_.find(change.key);
      if (it == known_.end() || it->second > change.version) continue;
      known_.erase(it);
    }
    changed_(change);
  }
  revision_ = std::max(revision_, news.revision);
  currentAsOf_ = std::max(currentAsOf_, asked);
}

void WatchCache::waitUntilCurrent(std::function<void(bool)> done) {
  if (!read_) return done(false);
  auto caughtUp = [this, asked = runtime_.now(), done = std::move(done)](const FollowResult& result) {
    using Outcome = FollowResult::Outcome;
    if (result.outcome == Outcome::TooOld && read_) readAgain();
    if (result.outcome != Outcome::News) return done(false);
    apply(asked, result.news);
    done(true);
  };
  client_.follow(prefix_, revision_, Duration{0}, kCatchUpDeadline, std::move(caughtUp));
}

}  // namespace cherryloft
