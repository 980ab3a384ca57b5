// RateLimiter: limits the requests and writes that this controller sends to the state service.
#pragma once

#include "config/settings.h"

namespace cherryloft {

/// Two token buckets, one for requests and one for writes (keys written or deleted), that are refilled at
/// this controller's fraction of the service's limits. They initially hold the tokens of one second.
///
/// Runs on the event loop's thread only. The settings must outlive it.
class RateLimiter {
 public:
  RateLimiter(const Settings& settings, Time now);

  /// Sets this controller's fraction (0 to 1) of the service's limits, which follows its part of the load.
  /// Initially all controllers have equal fractions.
  void setFractionOfLimits(double fraction) { fractionOfLimits_ = fraction; }

  [[nodiscard]] double requestsPerSecond() const;
  [[nodiscard]] double writesPerSecond() const;

  /// Adds the tokens accrued since the last call.
  void refill(Time now);

  /// Tokens in the buckets; negative when overdrawn.
  [[nodiscard]] double requestTokens() const { return requestTokens_; }
  [[nodiscard]] double writeTokens() const { return writeTokens_; }

  /// Whether one request with that many writes can be sent now.
  [[nodiscard]] bool hasTokensFor(unsigned writes) const {
    return requestTokens_ >= 1 && writeTokens_ >= writes;
  }

  /// Takes the tokens of one request with that many writes. A request that must not wait may overdraw the
  /// buckets.
  void consumeTokens(unsigned writes);

  /// Suspends sending until that time, after the service has throttled this controller.
  void pauseUntil(Time time) { pausedUntil_ = time; }
  [[nodiscard]] bool paused(Time now) const { return now < pausedUntil_; }

 private:
  const Settings& settings_;
  double fractionOfLimits_;
  double requestTokens_ = 0;
  double writeTokens_ = 0;
  Time refilledAt_;
  Time pausedUntil_{};
};

}  // namespace cherryloft
