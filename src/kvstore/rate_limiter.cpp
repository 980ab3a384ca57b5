#include "kvstore/rate_limiter.h"

#include <algorithm>

namespace cherryloft {
namespace {

// Of this controller's part of the limits, what it lets itself use; the rest absorbs clock differences.
constexpr double kOfPart = 0.9;
constexpr double kLeastRequests = 2;  // that the bucket holds

}  // namespace

RateLimiter::RateLimiter(const Settings& settings, Time now)
    : settings_(settings), fractionOfLimits_(1.0 / settings.size()), refilledAt_(now) {
  requests_ = requestsPerSecond();
  changes_ = changesPerSecond();
}

double RateLimiter::requestsPerSecond() const { return settings_.stateRps * fractionOfLimits_ * kOfPart; }

double RateLimiter::changesPerSecond() const { return settings_.stateWriteRps * fractionOfLimits_ * kOfPart; }

void RateLimiter::refill(Time now) {
  double elapsedS = inSeconds(now - refilledAt_);
  refilledAt_ = now;
  // A transaction at the limit must always be affordable, however small our part.
  double mostRequests = std::max(requestsPerSecond(), kLeastRequests);
  double mostChanges = std::max(changesPerSecond(), static_cast<double>(settings_.txnOps));
  requests_ = std::min(requests_ + elapsedS * requestsPerSecond(), mostRequests);
  changes_ = std::min(changes_ + elapsedS * changesPerSecond(), mostChanges);
}

void RateLimiter::spend(unsigned changes) {
  requests_ -= 1;
  changes_ -= changes;
}

}  // namespace cherryloft
