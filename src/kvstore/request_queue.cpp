#include "kvstore/request_queue.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {

// Interval at which the rate limiter is checked again for waiting requests; short compared to all deadlines.
constexpr Duration kRetryInterval{10};
// Sending pause after a 429, plus jitter so that the controllers do not resume at the same time.
constexpr Duration kThrottlePause{250};
constexpr std::uint64_t kThrottleJitterMs = 250;
constexpr int kTooManyRequests = 429;
constexpr std::array kPriorityOrder{RequestPriority::Lease, RequestPriority::Control, RequestPriority::Commit,
                                    RequestPriority::User};
static_assert(kPriorityOrder.size() == kRequestPriorityCount);

}  // namespace

void RequestQueue::push(RequestPriority priority, QueuedRequest request, Duration deadline,
                        HttpCallback done) {
  auto& queue = queueOf(priority);
  // Users may send more requests than the rate limits allow. Failing early reports this sooner and bounds
  // memory.
  if (priority == RequestPriority::User && wouldExpire(queue.size(), deadline))
    return failWithoutSending(std::move(done));
  queue.push_back({std::move(request), runtime_.now() + deadline, std::move(done)});
  sendEligible();
}

bool RequestQueue::wouldExpire(std::size_t queueLength, Duration deadline) const {
  double sentBeforeDeadline = std::max(limiter_.requestsPerSecond() * toSeconds(deadline), 1.0);
  return static_cast<double>(queueLength) > sentBeforeDeadline;
}

void RequestQueue::sendEligible() {
  auto now = runtime_.now();
  limiter_.refill(now);
  for (auto priority : kPriorityOrder)
    if (!drainQueue(priority, now)) return scheduleSend();
}

bool RequestQueue::drainQueue(RequestPriority priority, Time now) {
  // Lease requests bypass the rate limiter: they are few, and everything else depends on them.
  bool exempt = priority == RequestPriority::Lease;
  auto& queue = queueOf(priority);
  while (!queue.empty()) {
    bool expired = queue.front().expiresAt <= now;
    bool affordable = !limiter_.paused(now) && limiter_.hasTokensFor(queue.front().request.writes);
    if (!expired && !exempt && !affordable) return false;
    auto next = std::move(queue.front());
    queue.pop_front();
    if (expired)
      failWithoutSending(std::move(next.done));
    else
      send(std::move(next));
  }
  return true;
}

void RequestQueue::send(QueueEntry next) {
  limiter_.consumeTokens(next.request.writes);
  ++counters_.requestsByOperation[next.request.operation];
  auto deadline = std::max(next.expiresAt - runtime_.now(), Duration{1});
  auto onAnswer = [this, done = std::move(next.done)](HttpResult result) {
    handleResponse(result);
    done(std::move(result));
  };
  runtime_.call(settings_.state, std::move(next.request.request), deadline, std::move(onAnswer));
}

void RequestQueue::handleResponse(const HttpResult& result) {
  if (!result.answered(kTooManyRequests)) return;
  ++counters_.throttled;
  limiter_.pauseUntil(runtime_.now() + kThrottlePause + Duration{rng_() % kThrottleJitterMs});
}

// Calls `done` from the event loop, as the caller may not be ready for the result during push().
void RequestQueue::failWithoutSending(HttpCallback done) {
  ++counters_.expired;
  runtime_.after(Duration{0}, [done = std::move(done)] { done({HttpResult::Outcome::NotSent, {}}); });
}

void RequestQueue::scheduleSend() {
  if (sendScheduled_) return;
  sendScheduled_ = true;
  runtime_.after(kRetryInterval, [this] {
    sendScheduled_ = false;
    sendEligible();
  });
}

}  // namespace cherryloft
