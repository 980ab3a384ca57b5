#include "kvstore/rate_limiter.h"

#include <algorithm>

namespace cherryloft {
namespace {

// Part of its fraction of the limits that this controller uses; the rest absorbs clock differences.
constexpr double kUtilization = 0.9;
constexpr double kMinRequestBucket = 2;  // minimum capacity of the request bucket

}  // namespace

RateLimiter::RateLimiter(const Settings& settings, Time now)
    : settings_(settings), fractionOfLimits_(1.0 / settings.size()), refilledAt_(now) {
  requestTokens_ = requestsPerSecond();
  writeTokens_ = writesPerSecond();
}

double RateLimiter::requestsPerSecond() const {
  return settings_.stateRps * fractionOfLimits_ * kUtilization;
}

double RateLimiter::writesPerSecond() const {
  return settings_.stateWriteRps * fractionOfLimits_ * kUtilization;
}

void RateLimiter::refill(Time now) {
  double elapsedSeconds = toSeconds(now - refilledAt_);
  refilledAt_ = now;
  // The bucket must be able to hold the tokens of the largest transaction, however small the fraction is.
  double requestCapacity = std::max(requestsPerSecond(), kMinRequestBucket);
  double writeCapacity = std::max(writesPerSecond(), static_cast<double>(settings_.txnOps));
  requestTokens_ = std::min(requestTokens_ + elapsedSeconds * requestsPerSecond(), requestCapacity);
  writeTokens_ = std::min(writeTokens_ + elapsedSeconds * writesPerSecond(), writeCapacity);
}

void RateLimiter::consumeTokens(unsigned writes) {
  requestTokens_ -= 1;
  writeTokens_ -= writes;
}

}  // namespace cherryloft
