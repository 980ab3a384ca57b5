#include "world/state_service.h"

#include <algorithm>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace world {

std::map<std::string, std::string> queryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  auto at = target.find('?');
  if (at == std::string::npos) return query;
  std::istringstream in(target.substr(at + 1));
  for (std::string part; std::getline(in, part, '&');) {
    auto eq = part.find('=');
    query[part.substr(0, eq)] = eq == std::string::npos ? "" : part.substr(eq + 1);
  }
  return query;
}

StateService::StateService(Clock& clock, Network& net, unsigned txnOps, std::size_t valueBytes, double rps,
                           double writeRps)
    : clock_(clock), txnOps_(txnOps), valueBytes_(valueBytes), requestBudget_(rps), writeBudget_(writeRps) {
  net.serve("store", [this](const std::string& from, HttpRequest r, Reply reply) {
    handle(from, std::move(r), std::move(reply));
  });
  expireLeases();
}

bool StateService::isUnavailableTo(const std::string& who) const {
  auto it = refused_.find(who);
  return clock_.now() < outageUntil_ || (it != refused_.end() && clock_.now() < it->second);
}

void StateService::setLimits(unsigned txnOps, std::size_t valueBytes, double writeRps) {
  txnOps_ = txnOps;
  valueBytes_ = valueBytes;
  writeBudget_ = TokenBucket(writeRps);
}

void StateService::outage(Ms until) {
  outageUntil_ = until;
  clock_.at(until, [this] {
    for (auto& [_, h] : leases_)
      h.ends = clock_.now() + h.ttl;  // leases restart with their full TTL after an outage
    notifyWatches();
  });
}

std::uint64_t StateService::epochs() const {
  auto it = data_.find("share/epoch");
  return it == data_.end() ? 0 : it->second.value.value("n", std::uint64_t{0});
}

void StateService::expireLeases() {
  clock_.after(20, [this] { expireLeases(); });
  if (clock_.now() < outageUntil_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (clock_.now() < it->second.ends + 50) {
      ++it;
      continue;
    }
    std::vector<std::string> expiredKeys;
    for (const auto& [k, e] : data_)
      if (e.lease == it->first) expiredKeys.push_back(k);
    if (!expiredKeys.empty()) ++rev_;
    for (const auto& k : expiredKeys) put(k, std::nullopt, 0);
    it = leases_.erase(it);
    notifyWatches();
  }
}

void StateService::put(const std::string& key, std::optional<Json> value, std::uint64_t lease) {
  if (value) {
    largestValue_ = std::max(largestValue_, value->dump().size());
    data_[key] = {*value, rev_, lease};
    if (key == "share/leader" && onLeaderElected_) onLeaderElected_();
  } else if (data_.erase(key) == 0) {
    return;
  }
  log_.push_back({rev_, key, std::move(value)});
}

HttpResponse StateService::txn(const std::string& body) {
  auto doc = Json::parse(body);
  auto apply = doc.value("apply", Json::array());
  if (apply.size() > txnOps_ || doc["when"].size() > std::size_t{4} * txnOps_ ||
      body.size() > std::size_t{64} * 1024)
    return rejectOversized();
  if (!writeBudget_.tryTake(clock_.now(), static_cast<double>(apply.size()))) return rejectThrottled();
  return applyTransaction(doc);
}

HttpResponse StateService::applyTransaction(const Json& doc) {
  auto apply = doc.value("apply", Json::array());
  Json failed = Json::array();
  for (const auto& c : doc.value("when", Json::array())) {
    auto it = data_.find(c["path"].get<std::string>());
    if ((it == data_.end() ? 0 : it->second.version) != c["stamp"].get<std::uint64_t>())
      failed.push_back(c["path"]);
  }
  writes_ += apply.size();
  for (const auto& a : apply) {
    if (a.contains("tenancy") && leases_.count(a["tenancy"].get<std::uint64_t>()) == 0)
      return {400, R"({"error":"no such lease"})", false, 0};
    if (a.contains("write") && a["value"].dump().size() > valueBytes_) return rejectOversized();
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger_rev", rev_}}.dump(), false, 0};
  if (!apply.empty()) ++rev_;
  for (const auto& a : apply) {
    if (a.contains("write"))
      put(a["write"].get<std::string>(), a["value"], a.value("tenancy", std::uint64_t{0}));
    else
      put(a["drop"].get<std::string>(), std::nullopt, 0);
  }
  notifyWatches();
  return {200, Json{{"ledger_rev", rev_}}.dump(), false, 0};
}

HttpResponse StateService::rejectThrottled() {
  ++throttled_;
  return {429, "{}", false, 0};
}

HttpResponse StateService::rejectOversized() {
  ++oversized_;
  return {400, R"({"error":"too large"})", false, 0};
}

HttpResponse StateService::handleLease(const HttpRequest& r) {
  if (r.target == "/holds") {
    Ms ttl = Json::parse(r.body)["ttl_ms"].get<Ms>();
    leases_[++leaseCount_] = {ttl, clock_.now() + ttl};
    return {200, Json{{"tenancy", leaseCount_}}.dump(), false, 0};
  }
  auto it = leases_.find(std::stoull(r.target.substr(7)));
  if (it == leases_.end()) return {404, "{}", false, 0};
  it->second.ends = clock_.now() + it->second.ttl;
  return {200, "{}", false, 0};
}

HttpResponse StateService::list(const std::map<std::string, std::string>& query) const {
  const auto& prefix = query.at("prefix");
  auto limit = query.count("limit") ? std::stoul(query.at("limit")) : 1000;
  auto it = query.count("since") ? data_.upper_bound(query.at("since")) : data_.lower_bound(prefix);
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

bool StateService::sendEvents(Watch& watcher, bool sendEmpty) {
  Json events = Json::array();
  std::map<std::string, Json> last;
  auto from =
      std::partition_point(log_.begin(), log_.end(), [&](const Change& c) { return c.rev <= watcher.since; });
  for (; from != log_.end(); ++from) {
    const auto& c = *from;
    if (c.key.compare(0, watcher.prefix.size(), watcher.prefix) != 0) continue;
    Json e = c.value ? Json{{"write", c.key}, {"value", *c.value}, {"stamp", c.rev}}
                     : Json{{"drop", c.key}, {"stamp", c.rev}};
    events.push_back(std::move(e));
  }
  if (events.empty() && !sendEmpty) return false;
  watcher.answered = true;
  watcher.reply({200, Json{{"ledger_rev", rev_}, {"news", events}}.dump(), false, 0});
  return true;
}

void StateService::notifyWatches() {
  auto all = watches_;
  for (auto& watcher : all)
    if (!watcher->answered && !isUnavailableTo(watcher->from)) sendEvents(*watcher, false);
  std::erase_if(watches_, [](const auto& watcher) { return watcher->answered; });
}

void StateService::watch(const std::string& from, const std::map<std::string, std::string>& query,
                         Reply reply) {
  auto watcher = std::make_shared<Watch>(
      Watch{from, query.at("prefix"), std::stoull(query.at("since")), std::move(reply)});
  Ms wait = query.count("wait_ms") ? std::stoll(query.at("wait_ms")) : 0;
  if (sendEvents(*watcher, wait == 0)) return;
  watches_.push_back(watcher);
  clock_.after(wait, [this, watcher] {
    if (!watcher->answered && !isUnavailableTo(watcher->from)) sendEvents(*watcher, true);
  });
}

// The transaction is applied long after its sender has timed out.
bool StateService::delayWrite(const HttpRequest& r) {
  if (clock_.now() >= writesDelayedUntil_ || r.target != "/txn" || !clock_.chance(delayedShare_))
    return false;
  auto delay = static_cast<Ms>(clock_.uniform(2'000, 12'000));
  clock_.after(delay, [this, doc = Json::parse(r.body)] { applyDelayed(doc); });
  return true;
}

// The transaction is applied at once, but its sender never gets the response.
bool StateService::dropResponse(const std::string& from, const HttpRequest& r) {
  if (clock_.now() >= responsesDroppedUntil_ || r.target != "/txn" || !clock_.chance(droppedShare_))
    return false;
  answer(from, r, [this](HttpResponse response) { responsesDropped_ += response.status == 200; });
  return true;
}

// No transaction is applied during an outage.
void StateService::applyDelayed(const Json& doc) {
  if (clock_.now() < outageUntil_)
    clock_.at(outageUntil_ + 1, [this, doc] { applyDelayed(doc); });
  else
    applyTransaction(doc);
}

void StateService::handle(const std::string& from, HttpRequest r, Reply reply) {
  if (!requestBudget_.tryTake(clock_.now(), 1)) return reply(rejectThrottled());
  if (isUnavailableTo(from)) return reply({503, "{}", false, 0});
  if (delayWrite(r) || dropResponse(from, r)) return;
  if (clock_.now() >= latencyUntil_) return answer(from, std::move(r), std::move(reply));
  auto wait = static_cast<Ms>(clock_.uniform(0, static_cast<double>(maxLatency_)));
  if (clock_.chance(0.5)) {
    clock_.after(wait, [this, from, r = std::move(r), reply = std::move(reply)] {
      if (isUnavailableTo(from)) return reply({503, "{}", false, 0});
      answer(from, r, reply);
    });
  } else {
    answer(from, std::move(r), [this, wait, reply = std::move(reply)](HttpResponse response) {
      clock_.after(wait, [reply, response = std::move(response)] { reply(response); });
    });
  }
}

void StateService::answer(const std::string& from, HttpRequest r, Reply reply) {
  auto path = r.target.substr(0, r.target.find('?'));
  if (path == "/txn") return reply(txn(r.body));
  if (path.compare(0, 6, "/holds") == 0) return reply(handleLease(r));
  if (path == "/follow") return watch(from, queryOf(r.target), std::move(reply));
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
