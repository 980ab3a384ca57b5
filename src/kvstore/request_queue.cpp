#include "kvstore/request_queue.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {

// Until the rate limiter is asked again for what it did not afford: short beside any deadline.
constexpr Duration kPollInterval{10};
// Nothing is sent for so long after a 429, plus jitter so that the controllers don't come back together.
constexpr Duration kThrottlePause{250};
constexpr std::uint64_t kThrottleJitterMs = 250;
constexpr int kTooManyRequests = 429;
constexpr std::array kInOrder{RequestPriority::Lease, RequestPriority::Control, RequestPriority::Work,
                              RequestPriority::User};
static_assert(kInOrder.size() == kRequestPriorities);

}  // namespace

void RequestQueue::push(RequestPriority priority, QueuedRequest request, Duration deadline,
                        HttpCallback done) {
  auto& queue = queueOf(priority);
  // Users may ask more than can be sent. Failing at once tells them sooner and bounds the memory used.
  if (priority == RequestPriority::User && wouldExpire(queue.size(), deadline))
    return failUnsent(std::move(done));
  queue.push_back({std::move(request), runtime_.now() + deadline, std::move(done)});
  sendAffordable();
}

bool RequestQueue::wouldExpire(std::size_t waitingBefore, Duration deadline) const {
  double sentInTime = std::max(limiter_.requestsPerSecond() * inSeconds(deadline), 1.0);
  return static_cast<double>(waitingBefore) > sentInTime;
}

void RequestQueue::sendAffordable() {
  auto now = runtime_.now();
  limiter_.refill(now);
  for (auto priority : kInOrder)
    if (!sendFrom(priority, now)) return sendLater();
}

bool RequestQueue::sendFrom(RequestPriority priority, Time now) {
  // Renewals never wait for the rate limiter: they are few, and everything else depends on them.
  bool exempt = priority == RequestPriority::Lease;
  auto& queue = queueOf(priority);
  while (!queue.empty()) {
    bool expired = queue.front().expiresAt <= now;
    bool affordable = !limiter_.paused(now) && limiter_.affords(queue.front().request.writes);
    if (!expired && !exempt && !affordable) return false;
    auto next = std::move(queue.front());
    queue.pop_front();
    if (expired)
      failUnsent(std::move(next.done));
    else
      send(std::move(next));
  }
  return true;
}

void RequestQueue::send(Waiting next) {
  limiter_.spend(next.request.writes);
  ++tally_.requestsByOperation[next.request.operation];
  auto deadline = std::max(next.expiresAt - runtime_.now(), Duration{1});
  auto onAnswer = [this, done = std::move(next.done)](HttpResult result) {
    answered(result);
    done(std::move(result));
  };
  runtime_.call(settings_.state, std::move(next.request.request), deadline, std::move(onAnswer));
}

void RequestQueue::answered(const HttpResult& result) {
  if (!result.answered(kTooManyRequests)) return;
  ++tally_.throttled;
  limiter_.pauseUntil(runtime_.now() + kThrottlePause + Duration{rng_() % kThrottleJitterMs});
}

// Called from the event loop, as the caller may not be ready for the result within push().
void RequestQueue::failUnsent(HttpCallback done) {
  ++tally_.expired;
  runtime_.after(Duration{0}, [done = std::move(done)] { done({HttpResult::Outcome::NotSent, {}}); });
}

void RequestQueue::sendLater() {
  if (sendScheduled_) return;
  sendScheduled_ = true;
  runtime_.after(kPollInterval, [this] {
    sendScheduled_ = false;
    sendAffordable();
  });
}

}  // namespace cherryloft
