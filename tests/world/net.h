// Requests between parties of the world, with delays, cuts that hold or lose, and answers that get lost.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/client.h"
#include "world/clock.h"
#include "world/trace.h"

namespace world {

using cherryloft::HttpDone;
using cherryloft::HttpRequest;
using cherryloft::HttpResponse;
using cherryloft::HttpResult;
using Reply = std::function<void(HttpResponse)>;
using Handler = std::function<void(const std::string& from, HttpRequest, Reply)>;

class Net {
 public:
  Net(Clock& clock, Trace& trace) : clock_(clock), trace_(trace) {}

  // A party serves under its name; without a handler connections are refused.
  void serve(const std::string& name, Handler h) { handlers_[name] = std::move(h); }
  void stopServing(const std::string& name) { handlers_.erase(name); }
  void call(const std::string& from, const std::string& to, HttpRequest r, Ms deadline, HttpDone done);
  // One-way words between controllers.
  void sendOneWay(const std::string& from, const std::string& to, std::function<void()> deliver);

  // Patterns: a party's name, or a prefix that ends in '*'.
  static bool matches(const std::string& pattern, const std::string& name);
  // A cut is one between any of a and any of b.
  void partition(const std::string& a, const std::string& b, Ms until, bool hold);
  // The same for what goes from a to b only: a is heard no more, and hears all.
  void partitionOneWay(const std::string& a, const std::string& b, Ms until, bool hold);
  // No connection can be opened from a to b; what a answers to b gets through.
  void refuseConnections(const std::string& a, const std::string& b, Ms until);
  // Until then requests from a to b whose path begins so, or the answers to them, take so much longer, each
  // by itself.
  void delay(const std::string& a, const std::string& b, const std::string& path, bool answers, Ms until,
             Ms from, Ms to);
  // When what is being delivered at this moment was sent.
  Ms sentAt() const { return sentAt_; }
  // Between those inside and all others.
  void partitionGroup(std::function<bool(const std::string&)> inside, Ms until, bool hold);
  // Until then each request to that path by a party that matches comes a second time, to one of `to`, so
  // late.
  void duplicateRequests(const std::string& from, const std::string& path, std::vector<std::string> to,
                         Ms until, Ms minDelay, Ms maxDelay);
  // Called with every request that anybody sends.
  void observeRequests(std::function<void(const std::string& from, const HttpRequest&)> f) {
    requestObserver_ = std::move(f);
  }
  // Delivers a copy of such a request; its answer goes nowhere.
  void deliverCopy(const std::string& from, const std::string& to, const HttpRequest& r);
  // The answer of the next request from a to b is lost, though the request is carried out.
  void dropNextResponse(const std::string& from, const std::string& to) {
    droppedResponses_.insert({from, to});
  }

 private:
  struct Partition {
    std::string a, b;
    Ms until;
    bool hold;
    bool oneWay = false;
    std::function<bool(const std::string&)> inside{};  // instead of a and b
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
  void duplicate(const std::string& from, const HttpRequest& r);
  const Partition* partitionBetween(const std::string& x, const std::string& y, bool newConnection) const;
  Ms delayOf(const std::string& from, const std::string& to, const std::string& path, bool answers);
  // When something sent now arrives; nothing if never.
  std::optional<Ms> arrival(const std::string& from, const std::string& to, bool newConnection = false);

  Clock& clock_;
  Trace& trace_;
  std::map<std::string, Handler> handlers_;
  std::vector<Partition> partitions_;
  std::vector<Duplication> duplications_;
  std::function<void(const std::string&, const HttpRequest&)> requestObserver_;
  std::vector<Delay> delays_;
  Ms sentAt_ = 0;
  std::set<std::pair<std::string, std::string>> droppedResponses_;
};

}  // namespace world
