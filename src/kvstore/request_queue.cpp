#include "kvstore/request_queue.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {

constexpr Duration kLookAgain{10};
constexpr Duration kPause{250};  // after a 429
constexpr std::uint64_t kPauseJitterMs = 250;
constexpr int kTooManyRequests = 429;

}  // namespace

void RequestQueue::push(RequestPriority priority, QueuedRequest request, Duration deadline, HttpDone done) {
  auto& queue = queues_[static_cast<std::size_t>(priority)];
  // More questions than can have their turn in time: what can't is told at once, and never fills our memory.
  double inTime = std::max(limiter_.requestsPerSecond() * inSeconds(deadline), 1.0);
  if (priority == RequestPriority::User && static_cast<double>(queue.size()) > inTime)
    return drop(std::move(done));
  queue.push_back({std::move(request), runtime_.now() + deadline, std::move(done)});
  sendAffordable();
}

void RequestQueue::sendAffordable() {
  auto now = runtime_.now();
  limiter_.refill(now);
  for (std::size_t priority = 0; priority < queues_.size(); ++priority) {
    auto& queue = queues_[priority];
    // Renewals never wait for the budget; they are few, and all else depends on them.
    bool exempt = priority == static_cast<std::size_t>(RequestPriority::Lease);
    while (!queue.empty()) {
      bool late = queue.front().giveUp <= now;
      bool affordable = !limiter_.paused(now) && limiter_.affords(queue.front().request.changes);
      if (!late && !exempt && !affordable) return sendLater();
      auto next = std::move(queue.front());
      queue.pop_front();
      if (late)
        drop(std::move(next.done));
      else
        send(std::move(next));
    }
  }
}

void RequestQueue::send(Queued next) {
  limiter_.spend(next.request.changes);
  ++tally_.requests[next.request.purpose];
  auto deadline = std::max(next.giveUp - runtime_.now(), Duration{1});
  auto answered = [this, done = std::move(next.done)](HttpResult result) {
    if (result.answered(kTooManyRequests)) {
      ++tally_.refused;
      limiter_.pauseUntil(runtime_.now() + kPause + Duration{rng_() % kPauseJitterMs});
    }
    done(std::move(result));
  };
  runtime_.call(settings_.state, std::move(next.request.request), deadline, std::move(answered));
}

// It was not sent: told from the loop, as its sender may not expect the word at once.
void RequestQueue::drop(HttpDone done) {
  ++tally_.outOfTime;
  runtime_.after(Duration{0}, [done = std::move(done)] { done({HttpResult::Outcome::NotSent, {}}); });
}

void RequestQueue::sendLater() {
  if (std::exchange(sendPending_, true)) return;
  runtime_.after(kLookAgain, [this] {
    sendPending_ = false;
    sendAffordable();
  });
}

}  // namespace cherryloft
