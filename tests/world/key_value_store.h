// Stand-in for the state service.
#pragma once

#include <map>
#include <nlohmann/json.hpp>

#include "world/net.h"

namespace world {

class Store {
 public:
  Store(Clock& clock, Net& net, unsigned txnOps, std::size_t valueBytes, double rps, double writeRps);
  void outage(Ms until);
  // From now on these limits hold; what is stored stays readable.
  void limit(unsigned txnOps, std::size_t valueBytes, double writeRps);
  // How many transactions it answered 400, as they were too large.
  std::size_t rejected() const { return rejected_; }
  void refuse(const std::string& who, Ms until) { refused_[who] = until; }
  // Until then that share of the transactions gets no answer and is carried out 2 to 12 s later.
  void lateWrites(double share, Ms until) { lateShare_ = share, lateUntil_ = until; }
  // Until then that share of the transactions is carried out at once and its answer is lost.
  void loseAnswers(double share, Ms until) { lostShare_ = share, lostUntil_ = until; }
  // How many of them were carried out.
  std::size_t answersLost() const { return answersLost_; }
  // Called whenever a controller has begun to lead.
  void whenLeaderBegins(std::function<void()> f) { leaderBegins_ = std::move(f); }
  // Until then answers take up to so long; what was asked is carried out before or after the wait.
  void slow(Ms atMost, Ms until) { slowest_ = atMost, slowUntil_ = until; }
  std::uint64_t writes() const { return writes_; }
  // How many times ownership of anything changed hands.
  std::uint64_t epochs() const;
  std::size_t largestValue() const { return largestValue_; }
  // How many requests it answered 429.
  std::size_t overLimit() const { return overLimit_; }

 private:
  using Json = nlohmann::json;
  struct Entry {
    Json value;
    std::uint64_t version = 0;
    std::uint64_t hold = 0;
  };
  struct Change {
    std::uint64_t rev;
    std::string key;
    std::optional<Json> value;
  };
  struct Hold {
    Ms ttl, ends;
  };
  struct Watch {
    std::string from, prefix;
    std::uint64_t since;
    Reply reply;
    bool over = false;
  };
  void handle(const std::string& from, HttpRequest r, Reply reply);
  void answer(const std::string& from, HttpRequest r, Reply reply);
  HttpResponse txn(const std::string& body);
  HttpResponse carryOut(const nlohmann::json& doc);
  bool postpone(const HttpRequest& r);
  bool loseAnswer(const std::string& from, const HttpRequest& r);
  void carryOutLate(const nlohmann::json& doc);
  HttpResponse tooMany();
  HttpResponse tooLarge();
  HttpResponse holds(const HttpRequest& r);
  HttpResponse list(const std::map<std::string, std::string>& q) const;
  void follow(const std::string& from, const std::map<std::string, std::string>& q, Reply reply);
  bool news(Watch& w, bool evenEmpty);
  void wakeWatches();
  void expire();
  void put(const std::string& key, std::optional<Json> value, std::uint64_t hold);
  bool down(const std::string& who) const;

  Clock& clock_;
  unsigned txnOps_;
  std::size_t valueBytes_;
  std::map<std::string, Entry> data_;
  std::vector<Change> log_;
  std::map<std::uint64_t, Hold> holds_;
  std::uint64_t rev_ = 0, holdCount_ = 0, writes_ = 0;
  std::size_t largestValue_ = 0;
  Allowance requests_, changes_;
  std::size_t overLimit_ = 0, rejected_ = 0;
  Ms outageUntil_ = -1, lateUntil_ = -1, slowUntil_ = -1, slowest_ = 0;
  double lateShare_ = 0, lostShare_ = 0;
  Ms lostUntil_ = -1;
  std::size_t answersLost_ = 0;
  std::function<void()> leaderBegins_;
  std::map<std::string, Ms> refused_;
  std::vector<std::shared_ptr<Watch>> watches_;
};

// "a=1&b=2" behind the question mark.
std::map<std::string, std::string> queryOf(const std::string& target);

}  // namespace world
