// WatchCache: tracks all keys of the state service under one prefix.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "kvstore/key_value_client.h"

namespace cherryloft {

/// Lists the prefix once and then watches its changes for the lifetime of the process, tolerating failed
/// requests and responses that arrive late or out of order. Changes that this controller itself committed are
/// applied with the answer to their transaction, ahead of the watch (read-your-writes). It stores only the
/// versions of the keys; the listener stores their values.
///
/// Runs on the event loop's thread only. Everything it references must outlive it, and it must outlive the
/// calls and timers that it starts. The listener must not destroy it.
class WatchCache {
 public:
  /// Called with every existing key first and then with each change. The changes of a key are reported in
  /// version order and at most once.
  using Listener = std::function<void(const wire::KeyChange&)>;

  WatchCache(Runtime& runtime, KeyValueClient& client, std::mt19937_64& rng, std::string prefix,
             Listener listener)
      : runtime_(runtime),
        client_(client),
        rng_(rng),
        prefix_(std::move(prefix)),
        listener_(std::move(listener)) {}

  /// Starts the cache, or replaces the request in flight, which may never be answered after an outage.
  void restart();

  /// Applies a change that a transaction of this controller committed, before the watch reports it: the
  /// listener never lags behind the controller's own writes. The watch then reports neither this change nor
  /// older ones of the key. Does nothing if the watch was faster, or if the prefix does not match.
  void applyCommitted(const wire::KeyChange& change);

  /// Calls `done` once everything committed before this call has been applied, or with Failed if that cannot
  /// be determined: at once while the cache is not loaded, else after the response or its deadline.
  void waitUntilCurrent(std::function<void(CatchUpResult)> done);

  [[nodiscard]] const std::string& prefix() const { return prefix_; }

  /// Whether all keys have been listed. False while they are listed again after a lost watch.
  [[nodiscard]] bool loaded() const { return phase_ == Phase::Watching; }

  /// Everything committed before this time has been applied.
  [[nodiscard]] Time currentAsOf() const { return currentAsOf_; }

  /// Every change up to this revision has been applied.
  [[nodiscard]] Version revision() const { return revision_; }

 private:
  enum class Phase : std::uint8_t {
    Listing,   // reading all keys
    Watching,  // all keys are applied up to revision_; reading later changes
  };

  void startListing();
  void handleList(Time sentAt, const ListResult& result);
  void applyListedEntries(const ListResult& result);
  void removeAbsentKeys(const ListResult& result);
  void startWatching();
  void handleWatch(Time sentAt, const WatchResult& result);
  void applyChanges(Time sentAt, const wire::KeyPage& page);
  void scheduleRetry();
  // Record a change in versions_. Return whether it is new to the listener.
  [[nodiscard]] bool recordWrite(const wire::KeyChange& change);
  [[nodiscard]] bool recordDelete(const wire::KeyChange& change);
  void advanceRevision(Version revision);

  Runtime& runtime_;
  KeyValueClient& client_;
  std::mt19937_64& rng_;
  std::string prefix_;
  Listener listener_;
  std::map<std::string, Version> versions_;  // of all known keys
  // Keys that own transactions deleted at revisions that the watch has not reached yet.
  std::map<std::string, Version> deletedAhead_;
  Version revision_;
  Time currentAsOf_{};  // send time of the latest answered request
  Phase phase_ = Phase::Listing;
  std::uint64_t currentRequest_ = 0;  // responses to earlier lists and watches are ignored
  Duration backoff_{0};
};

}  // namespace cherryloft
