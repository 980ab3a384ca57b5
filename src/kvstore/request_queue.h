// RequestQueue: sends requests to the state service within the budget, the urgent ones first.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <random>
#include <string>

#include "kvstore/rate_limiter.h"
#include "runtime/runtime.h"

namespace cherryloft {

// In falling order.
enum class RequestPriority : std::uint8_t { Lease, Control, Work, User, Count };

// What was asked of the service, by purpose.
struct RequestTally {
  std::map<std::string, std::uint64_t> requests, changes;
  std::uint64_t refused = 0;  // 429
  std::uint64_t outOfTime = 0;
};

struct QueuedRequest {
  const char* purpose = "";
  HttpRequest request;
  unsigned changes = 0;
};

class RequestQueue {
 public:
  RequestQueue(const Settings& settings, Runtime& runtime, RateLimiter& limiter, RequestTally& tally,
               std::mt19937_64& rng)
      : settings_(settings), runtime_(runtime), limiter_(limiter), tally_(tally), rng_(rng) {}
  // Always ends in one call of done, at the latest when the deadline is over.
  void push(RequestPriority priority, QueuedRequest request, Duration deadline, HttpDone done);

 private:
  struct Queued {
    QueuedRequest request;
    Time giveUp;
    HttpDone done;
  };
  void sendAffordable();
  void send(Queued next);
  void drop(HttpDone done);
  void sendLater();

  const Settings& settings_;
  Runtime& runtime_;
  RateLimiter& limiter_;
  RequestTally& tally_;
  std::mt19937_64& rng_;
  std::array<std::deque<Queued>, static_cast<std::size_t>(RequestPriority::Count)> queues_;
  bool sendPending_ = false;
};

}  // namespace cherryloft
