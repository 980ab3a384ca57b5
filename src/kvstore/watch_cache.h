// WatchCache: follows all keys of the state service under one prefix.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "kvstore/key_value_client.h"

namespace cherryloft {

/// Lists the prefix once and then watches its changes for as long as the program runs, over requests that
/// fail and answers that arrive late and out of order. It keeps only the versions of the keys; what they mean
/// is kept by the listener.
///
/// Runs on the event loop's thread only. All that it refers to must outlive it, and it must outlive the calls
/// and timers that it starts. The listener must not destroy it.
class WatchCache {
 public:
  /// Is called with every key at first and with each change after that. A key's changes come in order of
  /// version, and none comes twice.
  using Listener = std::function<void(const wire::KeyChange&)>;

  WatchCache(Runtime& runtime, KeyValueClient& client, std::mt19937_64& rng, std::string prefix,
             Listener listener)
      : runtime_(runtime),
        client_(client),
        rng_(rng),
        prefix_(std::move(prefix)),
        listener_(std::move(listener)) {}

  /// Begins, or replaces the request in flight: one from before an outage may never be answered.
  void restart();

  /// Calls `done` once all that was committed before this call is in view, or with Failed if that can't be
  /// told: at once while the cache is not loaded, else after the answer or its deadline.
  void waitUntilCurrent(std::function<void(CatchUpResult)> done);

  [[nodiscard]] const std::string& prefix() const { return prefix_; }

  /// Whether a list of all keys is in view. Not while a lost watch makes it list them anew.
  [[nodiscard]] bool loaded() const { return phase_ == Phase::Watching; }

  /// All that was committed before that time is in view.
  [[nodiscard]] Time currentAsOf() const { return currentAsOf_; }

  /// Every change up to that revision is in view.
  [[nodiscard]] Version revision() const { return revision_; }

 private:
  enum class Phase : std::uint8_t {
    Listing,   // all keys are to be read
    Watching,  // they are in view up to revision_, and the changes after it are to be read
  };

  void startListing();
  void listed(Time sentAt, const ListResult& result);
  void applyList(const ListResult& result);
  void removeAbsentKeys(const ListResult& result);
  void startWatching();
  void watched(Time sentAt, const WatchResult& result);
  void applyChanges(Time sentAt, const wire::KeyPage& page);
  void retryLater();
  // Record a change in versions_. They return whether it is news to the listener.
  [[nodiscard]] bool recordWrite(const wire::KeyChange& change);
  [[nodiscard]] bool recordDelete(const wire::KeyChange& change);

  Runtime& runtime_;
  KeyValueClient& client_;
  std::mt19937_64& rng_;
  std::string prefix_;
  Listener listener_;
  std::map<std::string, Version> versions_;  // of all keys in view
  Version revision_;
  Time currentAsOf_{};  // when the latest request that was answered was sent
  Phase phase_ = Phase::Listing;
  std::uint64_t currentRequest_ = 0;  // answers to earlier lists and watches are dropped
  Duration backoff_{0};
};

}  // namespace cherryloft
