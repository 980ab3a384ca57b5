// Simulated network: requests between processes with delays, partitions that hold or drop messages, and lost
// responses.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/client.h"
#include "world/clock.h"
#include "world/trace.h"

namespace world {

using cherryloft::HttpCallback;
using cherryloft::HttpRequest;
using cherryloft::HttpResponse;
using cherryloft::HttpResult;
using Reply = std::function<void(HttpResponse)>;
using Handler = std::function<void(const std::string& from, HttpRequest, Reply)>;

class Network {
 public:
  Network(Clock& clock, Trace& trace) : clock_(clock), trace_(trace) {}

  // Registers a server under a name; connections to names without a handler are refused.
  void serve(const std::string& name, Handler h) { handlers_[name] = std::move(h); }
  void stopServing(const std::string& name) { handlers_.erase(name); }
  void call(const std::string& from, const std::string& to, HttpRequest r, Ms deadline, HttpCallback done);
  // One-way messages between controllers.
  void sendOneWay(const std::string& from, const std::string& to, std::function<void()> deliver);

  // A pattern is a name, or a prefix that ends in '*'.
  static bool matches(const std::string& pattern, const std::string& name);
  // Partitions any process that matches a from any that matches b. With `hold`, messages are delivered after
  // the partition ends instead of lost.
  void partition(const std::string& a, const std::string& b, Ms until, bool hold);
  // Like partition(), but only for messages from a to b.
  void partitionOneWay(const std::string& a, const std::string& b, Ms until, bool hold);
  // No connection can be opened from a to b; responses of a to b still pass.
  void refuseConnections(const std::string& a, const std::string& b, Ms until);
  // Until then requests from a to b whose path starts with `path`, or the responses to them, take an
  // additional random time between `from` and `to`, drawn for each message.
  void delay(const std::string& a, const std::string& b, const std::string& path, bool answers, Ms until,
             Ms from, Ms to);
  // When the message that is being delivered now was sent.
  Ms sentAt() const { return sentAt_; }
  // Partitions the processes for which `inside` holds from all others.
  void partitionGroup(std::function<bool(const std::string&)> inside, Ms until, bool hold);
  // Until then each request to that path by a matching process is also delivered to one of `to`, after a
  // delay between `minDelay` and `maxDelay`.
  void duplicateRequests(const std::string& from, const std::string& path, std::vector<std::string> to,
                         Ms until, Ms minDelay, Ms maxDelay);
  // Until then that share of the requests from a to b whose path starts with `path` is delivered to b once
  // more, between `minDelay` and `maxDelay` after it was carried out and answered with 200.
  void repeatAnswered(const std::string& a, const std::string& b, const std::string& path, double share,
                      Ms until, Ms minDelay, Ms maxDelay);
  // How many such copies were delivered.
  std::size_t repeated() const { return repeated_; }
  // Calls `f` with every request that any process sends.
  void observeRequests(std::function<void(const std::string& from, const HttpRequest&)> f) {
    requestObserver_ = std::move(f);
  }
  // Delivers a copy of a request that was sent at `sentAt`; the response is discarded.
  void deliverCopy(const std::string& from, const std::string& to, const HttpRequest& r, Ms sentAt);
  // The response to the next request from a to b is lost, although the request is handled.
  void dropNextResponse(const std::string& from, const std::string& to) {
    droppedResponses_.insert({from, to});
  }

 private:
  struct Partition {
    std::string a, b;
    Ms until;
    bool hold;
    bool oneWay = false;
    std::function<bool(const std::string&)> inside{};  // if set, replaces a and b
    bool onlyNewConnections = false;
  };
  struct Delay {
    std::string from, to, path;
    bool answers;
    Ms until, least, most;
  };
  struct Duplication {
    std::string from, path;
    std::vector<std::string> to;
    Ms until, minDelay, maxDelay;
  };
  struct Repetition {
    std::string from, to, path;
    double share;
    Ms until, minDelay, maxDelay;
  };
  struct SentRequest {
    std::string from, to;
    HttpRequest request;
    Ms sentAt;
  };
  void duplicate(const std::string& from, const HttpRequest& r);
  // The request, if it may have to be repeated once it is answered.
  std::optional<SentRequest> copyToRepeat(const std::string& from, const std::string& to,
                                          const HttpRequest& r) const;
  void repeatLater(const SentRequest& sent);
  const Partition* partitionBetween(const std::string& x, const std::string& y, bool newConnection) const;
  Ms delayOf(const std::string& from, const std::string& to, const std::string& path, bool answers);
  // The arrival time of a message sent now; nullopt if it is lost.
  std::optional<Ms> arrival(const std::string& from, const std::string& to, bool newConnection = false);

  Clock& clock_;
  Trace& trace_;
  std::map<std::string, Handler> handlers_;
  std::vector<Partition> partitions_;
  std::vector<Duplication> duplications_;
  std::vector<Repetition> repetitions_;
  std::size_t repeated_ = 0;
  std::function<void(const std::string&, const HttpRequest&)> requestObserver_;
  std::vector<Delay> delays_;
  Ms sentAt_ = 0;
  std::set<std::pair<std::string, std::string>> droppedResponses_;
};

}  // namespace world
