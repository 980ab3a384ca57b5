// RequestQueue: sends requests to the state service within the rate limits, the most important ones first.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>

#include "kvstore/rate_limiter.h"
#include "runtime/runtime.h"

namespace cherryloft {

/// The order in which waiting requests are sent, the most important one first.
enum class RequestPriority : std::uint8_t {
  Lease,    // of this controller's own lease; does not wait for the rate limiter
  Control,  // ownership, leadership, watches, machine records, new jobs
  Work,     // commits of the scheduler
  User,     // reads to answer users; beyond what can be sent in time they fail at once
};
inline constexpr std::size_t kRequestPriorities = 4;

/// What was asked of the state service, for the summary in the log. All are counts since the last summary.
struct RequestTally {
  std::map<std::string, std::uint64_t> requestsByOperation;
  std::map<std::string, std::uint64_t> writesByPrefix;  // by the first part of the key
  std::uint64_t throttled = 0;                          // answered 429
  std::uint64_t expired = 0;                            // not sent before their deadline
};

/// A request and what it costs.
struct QueuedRequest {
  const char* operation = "";  // its name in the tally; a literal
  HttpRequest request;
  unsigned writes = 0;  // keys that it writes or deletes
};

/// One queue for each priority over one rate limiter. Within a priority the order is first in, first out, and
/// a request that cannot be afforded yet holds back all of lower priority, so that a large one gets its turn.
///
/// Runs on the event loop's thread only. All that it refers to must outlive it, and it must outlive the calls
/// and timers that it starts.
class RequestQueue {
 public:
  RequestQueue(const Settings& settings, Runtime& runtime, RateLimiter& limiter, RequestTally& tally,
               std::mt19937_64& rng)
      : settings_(settings), runtime_(runtime), limiter_(limiter), tally_(tally), rng_(rng) {}

  /// Sends the request when its turn has come. Always ends in one call of `done`, at the latest when
  /// `deadline` is over; with NotSent if it had no turn before that, or could not have one.
  void push(RequestPriority priority, QueuedRequest request, Duration deadline, HttpCallback done);

 private:
  struct Waiting {
    QueuedRequest request;
    Time expiresAt;
    HttpCallback done;
  };
  using Queue = std::deque<Waiting>;

  Queue& queueOf(RequestPriority priority) { return queues_[static_cast<std::size_t>(priority)]; }
  [[nodiscard]] bool wouldExpire(std::size_t waitingBefore, Duration deadline) const;
  void sendAffordable();
  // Returns false if a request had to stay, as the rate limiter does not afford it yet.
  [[nodiscard]] bool sendFrom(RequestPriority priority, Time now);
  void send(Waiting next);
  void answered(const HttpResult& result);
  void failUnsent(HttpCallback done);
  void sendLater();

  const Settings& settings_;
  Runtime& runtime_;
  RateLimiter& limiter_;
  RequestTally& tally_;
  std::mt19937_64& rng_;
  std::array<Queue, kRequestPriorities> queues_;
  bool sendScheduled_ = false;
};

}  // namespace cherryloft
