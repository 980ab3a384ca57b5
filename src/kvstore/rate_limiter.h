// RequestBudget: how many requests and changes this controller may ask of the state service now.
#pragma once

#include "config/settings.h"

namespace cherryloft {

// Two token buckets that fill at this controller's part of the service's limits.
class RateLimiter {
 public:
  RateLimiter(const Settings& settings, Time now);
  // This controller's part of the limits, as the load of all is not parted equally.
  void setFractionOfLimits(double part) { fractionOfLimits_ = part; }
  double requestsPerSecond() const;
  double changesPerSecond() const;
  // Adds what came free since the last call.
  void refill(Time now);
  double requests() const { return requests_; }
  double changes() const { return changes_; }
  bool affords(unsigned changes) const { return requests_ >= 1 && changes_ >= changes; }
  // Takes one request with so many changes; what is urgent may overdraw.
  void spend(unsigned changes);
  // Nothing is to be sent before that time.
  void pauseUntil(Time time) { pausedUntil_ = time; }
  bool paused(Time now) const { return now < pausedUntil_; }

 private:
  const Settings& settings_;
  double fractionOfLimits_;
  double requests_ = 0;
  double changes_ = 0;
  Time refilledAt_;
  Time pausedUntil_{};
};

}  // namespace cherryloft
