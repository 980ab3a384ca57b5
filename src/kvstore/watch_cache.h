// Mirror: follows all keys of the state service under one prefix.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>

#include "kvstore/key_value_client.h"

namespace cherryloft {

// Reads the prefix once and then follows its changes for ever, over requests that fail and answers that come
// late and out of order.
class WatchCache {
 public:
  // Is told every key at first and each change after that, in order.
  using Changed = std::function<void(const wire::KeyChange&)>;

  WatchCache(Runtime& runtime, KeyValueClient& client, std::mt19937_64& rng, std::string prefix,
             Changed changed)
      : runtime_(runtime),
        client_(client),
        rng_(rng),
        prefix_(std::move(prefix)),
        changed_(std::move(changed)) {}
  // Begins, or begins anew the request that is open: one from before a silence may never be answered.
  void restart();
  // Calls done once all that was committed before this call is in view; with false if that can't be told.
  void waitUntilCurrent(std::function<void(bool)> done);
  const std::string& prefix() const { return prefix_; }
  // All keys were read once.
  bool read() const { return read_; }
  // All that was committed before that moment is in view.
  Time currentAsOf() const { return currentAsOf_; }
  // Every change up to it is in view.
  Version revision() const { return revision_; }

 private:
  void readAll();
  void listed(Time asked, const ListResult& result);
  void dropAbsent(const ListResult& result);
  void follow();
  void followed(Time asked, const FollowResult& result);
  void readAgain();
  void retry();
  void apply(Time asked, const wire::KeyPage& news);
  bool take(const wire::KeyChange& change);

  Runtime& runtime_;
  KeyValueClient& client_;
  std::mt19937_64& rng_;
  std::string prefix_;
  Changed changed_;
  std::map<std::string, Version> known_;
  Version revision_;
  Time currentAsOf_{};  // when the latest request that was answered was made
  bool read_ = false;
  std::uint64_t round_ = 0;  // answers of earlier rounds are stale
  Duration backoff_{0};
};

}  // namespace cherryloft
