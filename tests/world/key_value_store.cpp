#include "world/key_value_store.h"

#include <algorithm>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace world {

std::map<std::string, std::string> queryOf(const std::string& target) {
  std::map<std::string, std::string> q;
  auto at = target.find('?');
  if (at == std::string::npos) return q;
  std::istringstream in(target.substr(at + 1));
  for (std::string part; std::getline(in, part, '&');) {
    auto eq = part.find('=');
    q[part.substr(0, eq)] = eq == std::string::npos ? "" : part.substr(eq + 1);
  }
  return q;
}

Store::Store(Clock& clock, Net& net, unsigned txnOps, std::size_t valueBytes, double rps, double writeRps)
    : clock_(clock), txnOps_(txnOps), valueBytes_(valueBytes), requests_(rps), changes_(writeRps) {
  net.serve("store", [this](const std::string& from, HttpRequest r, Reply reply) {
    handle(from, std::move(r), std::move(reply));
  });
  expire();
}

bool Store::down(const std::string& who) const {
  auto it = refused_.find(who);
  return clock_.now() < outageUntil_ || (it != refused_.end() && clock_.now() < it->second);
}

void Store::limit(unsigned txnOps, std::size_t valueBytes, double writeRps) {
  txnOps_ = txnOps;
  valueBytes_ = valueBytes;
  changes_ = Allowance(writeRps);
}

void Store::outage(Ms until) {
  outageUntil_ = until;
  clock_.at(until, [this] {
    for (auto& [_, h] : holds_) h.ends = clock_.now() + h.ttl;  // full time again
    wakeWatches();
  });
}

std::uint64_t Store::epochs() const {
  auto it = data_.find("share/epoch");
  return it == data_.end() ? 0 : it->second.value.value("n", std::uint64_t{0});
}

void Store::expire() {
  clock_.after(20, [this] { expire(); });
  if (clock_.now() < outageUntil_) return;
  for (auto it = holds_.begin(); it != holds_.end();) {
    if (clock_.now() < it->second.ends + 50) {
      ++it;
      continue;
    }
    std::vector<std::string> gone;
    for (const auto& [k, e] : data_)
      if (e.hold == it->first) gone.push_back(k);
    if (!gone.empty()) ++rev_;
    for (const auto& k : gone) put(k, std::nullopt, 0);
    it = holds_.erase(it);
    wakeWatches();
  }
}

void Store::put(const std::string& key, std::optional<Json> value, std::uint64_t hold) {
  if (value) {
    largestValue_ = std::max(largestValue_, value->dump().size());
    data_[key] = {*value, rev_, hold};
    if (key == "share/leader" && leaderBegins_) leaderBegins_();
  } else if (data_.erase(key) == 0) {
    return;
  }
  log_.push_back({rev_, key, std::move(value)});
}

HttpResponse Store::txn(const std::string& body) {
  auto doc = Json::parse(body);
  auto apply = doc.value("apply", Json::array());
  if (apply.size() > txnOps_ || doc["when"].size() > std::size_t{4} * txnOps_ ||
      body.size() > std::size_t{64} * 1024)
    return tooLarge();
  if (!changes_.take(clock_.now(), static_cast<double>(apply.size()))) return tooMany();
  return carryOut(doc);
}

HttpResponse Store::carryOut(const Json& doc) {
  auto apply = doc.value("apply", Json::array());
  Json failed = Json::array();
  for (const auto& c : doc.value("when", Json::array())) {
    auto it = data_.find(c["path"].get<std::string>());
    if ((it == data_.end() ? 0 : it->second.version) != c["stamp"].get<std::uint64_t>())
      failed.push_back(c["path"]);
  }
  writes_ += apply.size();
  for (const auto& a : apply) {
    if (a.contains("tenancy") && holds_.count(a["tenancy"].get<std::uint64_t>()) == 0)
      return {400, R"({"error":"no such lease"})", false, 0};
    if (a.contains("write") && a["value"].dump().size() > valueBytes_) return tooLarge();
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger_rev", rev_}}.dump(), false, 0};
  if (!apply.empty()) ++rev_;
  for (const auto& a : apply) {
    if (a.contains("write"))
      put(a["write"].get<std::string>(), a["value"], a.value("tenancy", std::uint64_t{0}));
    else
      put(a["drop"].get<std::string>(), std::nullopt, 0);
  }
  wakeWatches();
  return {200, Json{{"ledger_rev", rev_}}.dump(), false, 0};
}

HttpResponse Store::tooMany() {
  ++overLimit_;
  return {429, "{}", false, 0};
}

HttpResponse Store::tooLarge() {
  ++rejected_;
  return {400, R"({"error":"too large"})", false, 0};
}

HttpResponse Store::holds(const HttpRequest& r) {
  if (r.target == "/holds") {
    Ms ttl = Json::parse(r.body)["ttl_ms"].get<Ms>();
    holds_[++holdCount_] = {ttl, clock_.now() + ttl};
    return {200, Json{{"tenancy", holdCount_}}.dump(), false, 0};
  }
  auto it = holds_.find(std::stoull(r.target.substr(7)));
  if (it == holds_.end()) return {404, "{}", false, 0};
  it->second.ends = clock_.now() + it->second.ttl;
  return {200, "{}", false, 0};
}

HttpResponse Store::list(const std::map<std::string, std::string>& q) const {
  const auto& prefix = q.at("prefix");
  auto limit = q.count("limit") ? std::stoul(q.at("limit")) : 1000;
  auto it = q.count("since") ? data_.upper_bound(q.at("since")) : data_.lower_bound(prefix);
  Json entries = Json::array();
  std::size_t bytes = 0;
  bool truncated = false;
  for (; it != data_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
    bytes += it->second.value.dump().size();
    if (entries.size() >= limit || bytes > std::size_t{512} * 1024) {
      truncated = true;
      break;
    }
    entries.push_back({{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.version}});
  }
  return {200, Json{{"entries", entries}, {"truncated", truncated}, {"ledger_rev", rev_}}.dump(), false, 0};
}

bool Store::news(Watch& w, bool evenEmpty) {
  Json events = Json::array();
  std::map<std::string, Json> last;
  auto from =
      std::partition_point(log_.begin(), log_.end(), [&](const Change& c) { return c.rev <= w.since; });
  for (; from != log_.end(); ++from) {
    const auto& c = *from;
    if (c.key.compare(0, w.prefix.size(), w.prefix) != 0) continue;
    Json e = c.value ? Json{{"write", c.key}, {"value", *c.value}, {"stamp", c.rev}}
                     : Json{{"drop", c.key}, {"stamp", c.rev}};
    events.push_back(std::move(e));
  }
  if (events.empty() && !evenEmpty) return false;
  w.over = true;
  w.reply({200, Json{{"ledger_rev", rev_}, {"news", events}}.dump(), false, 0});
  return true;
}

void Store::wakeWatches() {
  auto all = watches_;
  for (auto& w : all)
    if (!w->over && !down(w->from)) news(*w, false);
  std::erase_if(watches_, [](const auto& w) { return w->over; });
}

void Store::follow(const std::string& from, const std::map<std::string, std::string>& q, Reply reply) {
  auto w = std::make_shared<Watch>(Watch{from, q.at("prefix"), std::stoull(q.at("since")), std::move(reply)});
  Ms wait = q.count("wait_ms") ? std::stoll(q.at("wait_ms")) : 0;
  if (news(*w, wait == 0)) return;
  watches_.push_back(w);
  clock_.after(wait, [this, w] {
    if (!w->over && !down(w->from)) news(*w, true);
  });
}

// A transaction whose sender gives up on it long before it is carried out.
bool Store::postpone(const HttpRequest& r) {
  if (clock_.now() >= lateUntil_ || r.target != "/txn" || !clock_.chance(lateShare_)) return false;
  auto late = static_cast<Ms>(clock_.uniform(2'000, 12'000));
  clock_.after(late, [this, doc = Json::parse(r.body)] { carryOutLate(doc); });
  return true;
}

// A transaction that is carried out at once, and whose sender never hears of it.
bool Store::loseAnswer(const std::string& from, const HttpRequest& r) {
  if (clock_.now() >= lostUntil_ || r.target != "/txn" || !clock_.chance(lostShare_)) return false;
  answer(from, r, [this](HttpResponse response) { answersLost_ += response.status == 200; });
  return true;
}

// Nothing changes in an outage.
void Store::carryOutLate(const Json& doc) {
  if (clock_.now() < outageUntil_)
    clock_.at(outageUntil_ + 1, [this, doc] { carryOutLate(doc); });
  else
    carryOut(doc);
}

void Store::handle(const std::string& from, HttpRequest r, Reply reply) {
  if (!requests_.take(clock_.now(), 1)) return reply(tooMany());
  if (down(from)) return reply({503, "{}", false, 0});
  if (postpone(r) || loseAnswer(from, r)) return;
  if (clock_.now() >= slowUntil_) return answer(from, std::move(r), std::move(reply));
  auto wait = static_cast<Ms>(clock_.uniform(0, static_cast<double>(slowest_)));
  if (clock_.chance(0.5)) {
    clock_.after(wait, [this, from, r = std::move(r), reply = std::move(reply)] {
      if (down(from)) return reply({503, "{}", false, 0});
      answer(from, r, reply);
    });
  } else {
    answer(from, std::move(r), [this, wait, reply = std::move(reply)](HttpResponse response) {
      clock_.after(wait, [reply, response = std::move(response)] { reply(response); });
    });
  }
}

void Store::answer(const std::string& from, HttpRequest r, Reply reply) {
  auto path = r.target.substr(0, r.target.find('?'));
  if (path == "/txn") return reply(txn(r.body));
  if (path.compare(0, 6, "/holds") == 0) return reply(holds(r));
  if (path == "/follow") return follow(from, queryOf(r.target), std::move(reply));
  if (path == "/keys") return reply(list(queryOf(r.target)));
  if (path.compare(0, 6, "/keys/") == 0) {
    auto it = data_.find(path.substr(6));
    if (it == data_.end()) return reply({404, Json{{"ledger_rev", rev_}}.dump(), false, 0});
    return reply(
        {200, Json{{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.version}}.dump(),
         false, 0});
  }
  reply({400, "{}", false, 0});
}

}  // namespace world
