#include "kvstore/rate_limiter.h"

#include <algorithm>

namespace cherryloft {
namespace {

// What this controller uses of its fraction of the limits; the rest absorbs differences between clocks.
constexpr double kUsedFraction = 0.9;
constexpr double kMinRequestCapacity = 2;  // requests that the bucket can hold at least

}  // namespace

RateLimiter::RateLimiter(const Settings& settings, Time now)
    : settings_(settings), fractionOfLimits_(1.0 / settings.size()), refilledAt_(now) {
  requests_ = requestsPerSecond();
  writes_ = writesPerSecond();
}

double RateLimiter::requestsPerSecond() const {
  return settings_.stateRps * fractionOfLimits_ * kUsedFraction;
}

double RateLimiter::writesPerSecond() const {
  return settings_.stateWriteRps * fractionOfLimits_ * kUsedFraction;
}

void RateLimiter::refill(Time now) {
  double elapsedSeconds = inSeconds(now - refilledAt_);
  refilledAt_ = now;
  // The largest transaction must be affordable at some time, however small our fraction is.
  double requestCapacity = std::max(requestsPerSecond(), kMinRequestCapacity);
  double writeCapacity = std::max(writesPerSecond(), static_cast<double>(settings_.txnOps));
  requests_ = std::min(requests_ + elapsedSeconds * requestsPerSecond(), requestCapacity);
  writes_ = std::min(writes_ + elapsedSeconds * writesPerSecond(), writeCapacity);
}

void RateLimiter::consumeTokens(unsigned writes) {
  requests_ -= 1;
  writes_ -= writes;
}

}  // namespace cherryloft
