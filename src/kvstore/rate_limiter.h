// RateLimiter: how many requests and writes this controller may send to the state service now.
#pragma once

#include "config/settings.h"

namespace cherryloft {

/// Two token buckets, one of requests and one of writes (keys written or deleted), that fill at this
/// controller's fraction of the service's limits. They start with the tokens of one second.
///
/// Runs on the event loop's thread only. The settings must outlive it.
class RateLimiter {
 public:
  RateLimiter(const Settings& settings, Time now);

  /// Sets this controller's fraction (0 to 1) of the service's limits, as the load is not equal on all. An
  /// equal fraction for each controller at first.
  void setFractionOfLimits(double fraction) { fractionOfLimits_ = fraction; }

  [[nodiscard]] double requestsPerSecond() const;
  [[nodiscard]] double writesPerSecond() const;

  /// Adds the tokens that have come free since the last call.
  void refill(Time now);

  /// Tokens in the buckets; below zero when overdrawn.
  [[nodiscard]] double requests() const { return requests_; }
  [[nodiscard]] double writes() const { return writes_; }

  /// Whether one request with that many writes can be sent now.
  [[nodiscard]] bool hasTokensFor(unsigned writes) const { return requests_ >= 1 && writes_ >= writes; }

  /// Takes the tokens of one request with that many writes. A request that must not wait may overdraw.
  void consumeTokens(unsigned writes);

  /// Nothing is to be sent before that time, as the service has throttled us.
  void pauseUntil(Time time) { pausedUntil_ = time; }
  [[nodiscard]] bool paused(Time now) const { return now < pausedUntil_; }

 private:
  const Settings& settings_;
  double fractionOfLimits_;
  double requests_ = 0;
  double writes_ = 0;
  Time refilledAt_;
  Time pausedUntil_{};
};

}  // namespace cherryloft
