// RequestQueue: sends requests to the state service within the rate limits, in order of priority.
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

/// Priorities of requests, from highest to lowest.
enum class RequestPriority : std::uint8_t {
  Lease,    // this controller's own lease; bypasses the rate limiter
  Control,  // ownership, leadership, watches, machine records, new jobs
  Commit,   // commits of schedulers and rewrites of machine groups
  User,     // reads for user requests; fail at once if they cannot be sent in time
};
inline constexpr std::size_t kRequestPriorityCount = 4;

/// Counters of requests to the state service since the last summary in the log.
struct RequestCounters {
  std::map<std::string, std::uint64_t> requestsByOperation;
  std::map<std::string, std::uint64_t> writesByPrefix;  // by the first segment of the key
  std::uint64_t throttled = 0;                          // responses with status 429
  std::uint64_t expired = 0;                            // not sent before their deadline
};

/// A request and its cost.
struct QueuedRequest {
  const char* operation = "";  // its name in the counters; a string literal
  HttpRequest request;
  unsigned writes = 0;  // number of keys written or deleted
};

/// One FIFO queue per priority, sharing one rate limiter. A request that lacks tokens blocks all requests of
/// lower priority, so that large requests are not starved.
///
/// Runs on the event loop's thread only. Everything it references must outlive it, and it must outlive the
/// calls and timers that it starts.
class RequestQueue {
 public:
  RequestQueue(const Settings& settings, Runtime& runtime, RateLimiter& limiter, RequestCounters& counters,
               std::mt19937_64& rng)
      : settings_(settings), runtime_(runtime), limiter_(limiter), counters_(counters), rng_(rng) {}

  /// Queues the request and sends it as priority and rate limits allow. Calls `done` exactly once, at the
  /// latest when `deadline` expires; with NotSent if the request was not, or could not have been, sent before
  /// that.
  void push(RequestPriority priority, QueuedRequest request, Duration deadline, HttpCallback done);

 private:
  struct QueueEntry {
    QueuedRequest request;
    Time expiresAt;
    HttpCallback done;
  };
  using Queue = std::deque<QueueEntry>;

  Queue& queueOf(RequestPriority priority) { return queues_[static_cast<std::size_t>(priority)]; }
  [[nodiscard]] bool wouldExpire(std::size_t queueLength, Duration deadline) const;
  void sendEligible();
  // Returns false if a request remains queued because the rate limiter lacks tokens for it.
  [[nodiscard]] bool drainQueue(RequestPriority priority, Time now);
  void send(QueueEntry next);
  void handleResponse(const HttpResult& result);
  void failWithoutSending(HttpCallback done);
  void scheduleSend();

  const Settings& settings_;
  Runtime& runtime_;
  RateLimiter& limiter_;
  RequestCounters& counters_;
  std::mt19937_64& rng_;
  std::array<Queue, kRequestPriorityCount> queues_;
  bool sendScheduled_ = false;
};

}  // namespace cherryloft
