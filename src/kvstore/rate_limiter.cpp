#include "kvstore/rate_limiter.h"

#include <algorithm>

namespace cherryloft {
namespace {

// Of this controller's part of the limits, what it lets itself use; the rest absorbs clock differences.
constexpr double kOfPart = 0.9;
constexpr double kLeastRequests = 2;  // that the bucket holds

}  // namespace

RequestBudget::RequestBudget(const Settings& settings, Time now)
    : settings_(settings), part_(1.0 / settings.size()), refilledAt_(now) {
  requests_ = requestsPerSecond();
  changes_ = changesPerSecond();
}

double RequestBudget::requestsPerSecond() const { return settings_.stateRps * part_ * kOfPart; }

double RequestBudget::changesPerSecond() const { return settings_.stateWriteRps * part_ * kOfPart; }

void RequestBudget::refill(Time now) {
  double elapsedS = inSeconds(now - refilledAt_);
  refilledAt_ = now;
  // A transaction at the limit must always be affordable, however small our part.
  double mostRequests = std::max(requestsPerSecond(), kLeastRequests);
  double mostChanges = std::max(changesPerSecond(), static_cast<double>(settings_.txnOps));
  requests_ = std::min(requests_ + elapsedS * requestsPerSecond(), mostRequests);
  changes_ = std::min(changes_ + elapsedS * changesPerSecond(), mostChanges);
}

void RequestBudget::spend(unsigned changes) {
  requests_ -= 1;
  changes_ -= changes;
}

}  // namespace cherryloft
