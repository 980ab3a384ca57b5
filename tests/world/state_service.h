// Test double of the state service.
#pragma once

#include <map>
#include <nlohmann/json.hpp>

#include "world/net.h"

namespace world {

class StateService {
 public:
  StateService(Clock& clock, Network& net, unsigned txnOps, std::size_t valueBytes, double rps,
               double writeRps);
  void outage(Ms until);
  // Applies these limits from now on; stored values stay readable.
  void setLimits(unsigned txnOps, std::size_t valueBytes, double writeRps);
  // Transactions answered with 400 because they were too large.
  std::size_t oversized() const { return oversized_; }
  void refuseRequests(const std::string& who, Ms until) { refused_[who] = until; }
  // Until then that share of the transactions gets no response and is applied 2 to 12 s later.
  void delayWrites(double share, Ms until) { delayedShare_ = share, writesDelayedUntil_ = until; }
  // Until then that share of the transactions is applied at once, but the response is lost.
  void dropResponses(double share, Ms until) { droppedShare_ = share, responsesDroppedUntil_ = until; }
  // How many of these transactions were applied.
  std::size_t responsesDropped() const { return responsesDropped_; }
  // `f` is called whenever a controller becomes leader.
  void onLeaderElected(std::function<void()> f) { onLeaderElected_ = std::move(f); }
  // Until then responses take up to `atMost`; the request is applied before or after the wait.
  void addLatency(Ms atMost, Ms until) { maxLatency_ = atMost, latencyUntil_ = until; }
  std::uint64_t writes() const { return writes_; }
  // How many ownership epochs were allocated, one for each change of ownership.
  std::uint64_t epochs() const;
  std::size_t largestValue() const { return largestValue_; }
  // Requests answered with 429.
  std::size_t throttled() const { return throttled_; }

 private:
  using Json = nlohmann::json;
  struct Entry {
    Json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::uint64_t rev;
    std::string key;
    std::optional<Json> value;
  };
  struct Lease {
    Ms ttl, ends;
  };
  struct Watch {
    std::string from, prefix;
    std::uint64_t since;
    Reply reply;
    bool answered = false;
  };
  void handle(const std::string& from, HttpRequest r, Reply reply);
  void answer(const std::string& from, HttpRequest r, Reply reply);
  HttpResponse txn(const std::string& body);
  HttpResponse applyTransaction(const nlohmann::json& doc);
  bool delayWrite(const HttpRequest& r);
  bool dropResponse(const std::string& from, const HttpRequest& r);
  void applyDelayed(const nlohmann::json& doc);
  HttpResponse rejectThrottled();
  HttpResponse rejectOversized();
  HttpResponse handleLease(const HttpRequest& r);
  HttpResponse list(const std::map<std::string, std::string>& query) const;
  void watch(const std::string& from, const std::map<std::string, std::string>& query, Reply reply);
  bool sendEvents(Watch& watcher, bool sendEmpty);
  void notifyWatches();
  void expireLeases();
  void put(const std::string& key, std::optional<Json> value, std::uint64_t lease);
  bool isUnavailableTo(const std::string& who) const;

  Clock& clock_;
  unsigned txnOps_;
  std::size_t valueBytes_;
  std::map<std::string, Entry> data_;
  std::vector<Change> log_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t rev_ = 0, leaseCount_ = 0, writes_ = 0;
  std::size_t largestValue_ = 0;
  TokenBucket requestBudget_, writeBudget_;
  std::size_t throttled_ = 0, oversized_ = 0;
  Ms outageUntil_ = -1, writesDelayedUntil_ = -1, latencyUntil_ = -1, maxLatency_ = 0;
  double delayedShare_ = 0, droppedShare_ = 0;
  Ms responsesDroppedUntil_ = -1;
  std::size_t responsesDropped_ = 0;
  std::function<void()> onLeaderElected_;
  std::map<std::string, Ms> refused_;
  std::vector<std::shared_ptr<Watch>> watches_;
};

// Parses the query of a target, such as "a=1&b=2" after the question mark.
std::map<std::string, std::string> queryOf(const std::string& target);

}  // namespace world
