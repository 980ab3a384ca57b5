// Stand-in of the state service, as the protocol page describes it. Each controller has an address of its own,
// so that a run can refuse, cut or delay the requests of one controller.
#pragma once

#include <algorithm>

#include "base.h"

namespace lab {

class State {
 public:
  struct Link {
    Service service;
    Ms refusedUntil = 0;   // answered 503
    Ms silentUntil = 0;    // requests and answers are lost
    double lostAnswers = 0;   // share of transactions whose answer is lost
    double lateTransactions = 0;  // share of transactions that are carried out late, without an answer
    Ms latency = 3;
  };

  State(Env& env, unsigned controllers, unsigned txnOps, std::size_t valueBytes)
      : env_(env), txnOps_(txnOps), valueBytes_(valueBytes) {
    for (unsigned i = 0; i < controllers; ++i) {
      links.push_back(std::make_unique<Link>());
      links[i]->service.open(env, [this, i](HttpRequest r, Responder done) { receive(i, std::move(r), std::move(done)); });
    }
    expire();
  }

  std::vector<std::unique_ptr<Link>> links;
  Ms downUntil = 0;  // an outage for everybody

  void outage(Ms length) {
    downUntil = env_.now() + length;
    env_.after(length, [this] {
      for (auto& [_, lease] : leases_) lease.ends = env_.now() + lease.ttl;
      notify();
    });
  }
  // The value of a key, or null.
  Json value(const std::string& key) const {
    auto it = data_.find(key);
    return it == data_.end() ? Json() : it->second.value;
  }
  std::uint64_t tooLarge = 0;
  std::map<std::string, std::string> dumpAll(const std::string& prefix) const {
    std::map<std::string, std::string> all;
    for (const auto& [key, entry] : data_)
      if (key.starts_with(prefix)) all[key] = entry.value.dump();
    return all;
  }

 private:
  struct Entry {
    Json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Ms ttl = 0, ends = 0;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    Json value;
    bool deleted;
  };
  struct Watch {
    unsigned from;
    std::string prefix;
    std::uint64_t since;
    Responder done;
    bool answered = false;
  };

  bool unavailable(unsigned from) const { return env_.now() < downUntil || env_.now() < links[from]->refusedUntil; }
  bool silent(unsigned from) const { return env_.now() < links[from]->silentUntil; }

  void receive(unsigned from, HttpRequest r, Responder done) {
    if (silent(from)) return;
    auto send = [this, from, done](HttpResponse response) {
      if (!silent(from)) done(std::move(response));
    };
    env_.after(links[from]->latency, [this, from, r = std::move(r), send] {
      if (unavailable(from)) return send(reply(503, {{"error", "unavailable"}}));
      bool txn = r.target == "/txn";
      if (txn && env_.chance(links[from]->lateTransactions)) {
        auto doc = Json::parse(r.body);
        env_.after(static_cast<Ms>(env_.uniform(2000, 12000)), [this, doc] { late(doc); });
        return;
      }
      if (txn && env_.chance(links[from]->lostAnswers)) {
        transact(r.body);
        return;
      }
      handle(from, r, send);
    });
  }
  void late(const Json& doc) {
    if (env_.now() < downUntil) {
      env_.after(downUntil - env_.now() + 1, [this, doc] { late(doc); });
      return;
    }
    auto result = apply(doc);
    env_.note("state: a late transaction is carried out, status " + std::to_string(result.status));
  }
  void handle(unsigned from, const HttpRequest& r, const Responder& send) {
    auto path = r.target.substr(0, r.target.find('?'));
    if (path == "/txn") return send(transact(r.body));
    if (path == "/holds") {
      Ms ttl = Json::parse(r.body)["ttl_ms"].get<Ms>();
      leases_[++lastLease_] = {ttl, env_.now() + ttl};
      return send(reply(200, {{"tenancy", lastLease_}}));
    }
    if (path.starts_with("/holds/")) {
      auto it = leases_.find(std::stoull(path.substr(7)));
      if (it == leases_.end()) return send(reply(404, Json::object()));
      it->second.ends = env_.now() + it->second.ttl;
      return send(reply(200, Json::object()));
    }
    if (path == "/follow") return follow(from, queryOf(r.target), send);
    if (path == "/keys") return send(list(queryOf(r.target)));
    if (path.starts_with("/keys/")) {
      auto it = data_.find(path.substr(6));
      if (it == data_.end()) return send(reply(404, {{"ledger_rev", revision_}}));
      return send(reply(200, {{"path", it->first},
                              {"value", it->second.value},
                              {"stamp", it->second.version},
                              {"tenancy", it->second.lease}}));
    }
    send(reply(400, {{"error", "malformed"}}));
  }
  HttpResponse transact(const std::string& body) {
    auto doc = Json::parse(body);
    auto writes = doc.value("apply", Json::array());
    if (writes.size() > txnOps_ || doc.value("when", Json::array()).size() > 4 * txnOps_ || body.size() > 64 * 1024) {
      ++tooLarge;
      return reply(400, {{"error", "too large"}});
    }
    return apply(doc);
  }
  HttpResponse apply(const Json& doc) {
    auto writes = doc.value("apply", Json::array());
    Json failed = Json::array();
    for (const auto& c : doc.value("when", Json::array())) {
      auto it = data_.find(c["path"].get<std::string>());
      if ((it == data_.end() ? 0 : it->second.version) != c["stamp"].get<std::uint64_t>()) failed.push_back(c["path"]);
    }
    for (const auto& w : writes) {
      if (w.contains("tenancy") && !w["tenancy"].is_null() && leases_.count(w["tenancy"].get<std::uint64_t>()) == 0)
        return reply(400, {{"error", "no such lease"}});
      if (w.contains("write") && w["value"].dump().size() > valueBytes_) {
        ++tooLarge;
        return reply(400, {{"error", "too large"}});
      }
    }
    if (!failed.empty()) return reply(409, {{"failed", failed}, {"ledger_rev", revision_}});
    if (!writes.empty()) ++revision_;
    for (const auto& w : writes) {
      if (w.contains("write"))
        put(w["write"].get<std::string>(), w["value"], w.contains("tenancy") ? w["tenancy"].get<std::uint64_t>() : 0);
      else
        drop(w["drop"].get<std::string>());
    }
    auto result = reply(200, {{"ledger_rev", revision_}});
    notify();
    return result;
  }
  void put(const std::string& key, const Json& value, std::uint64_t lease) {
    data_[key] = {value, revision_, lease};
    changes_.push_back({revision_, key, value, false});
  }
  void drop(const std::string& key) {
    if (data_.erase(key) > 0) changes_.push_back({revision_, key, Json(), true});
  }
  HttpResponse list(std::map<std::string, std::string> query) const {
    const auto prefix = query["prefix"];
    std::size_t limit = query.count("limit") ? std::stoul(query["limit"]) : 1000;
    auto it = query.count("since") ? data_.upper_bound(query["since"]) : data_.lower_bound(prefix);
    Json entries = Json::array();
    std::size_t bytes = 0;
    bool truncated = false;
    for (; it != data_.end() && it->first.starts_with(prefix); ++it) {
      bytes += it->second.value.dump().size() + it->first.size() + 60;
      if (entries.size() >= std::min<std::size_t>(limit, 1000) || bytes > 512 * 1024) {
        truncated = true;
        break;
      }
      entries.push_back({{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.version}});
    }
    return reply(200, {{"entries", entries}, {"truncated", truncated}, {"ledger_rev", revision_}});
  }
  bool tell(Watch& watch, bool even) {
    Json news = Json::array();
    auto from = std::partition_point(changes_.begin(), changes_.end(),
                                     [&](const Change& c) { return c.revision <= watch.since; });
    for (; from != changes_.end(); ++from) {
      if (!from->key.starts_with(watch.prefix)) continue;
      if (from->deleted)
        news.push_back({{"drop", from->key}, {"stamp", from->revision}});
      else
        news.push_back({{"write", from->key}, {"value", from->value}, {"stamp", from->revision}});
    }
    if (news.empty() && !even) return false;
    watch.answered = true;
    watch.done(reply(200, {{"ledger_rev", revision_}, {"news", news}}));
    return true;
  }
  void follow(unsigned from, std::map<std::string, std::string> query, const Responder& send) {
    auto since = std::stoull(query["since"]);
    if (changes_.size() > 10000 && since < changes_[changes_.size() - 10000].revision)
      return send(reply(410, Json::object()));
    auto watch = std::make_shared<Watch>(Watch{from, query["prefix"], since, send});
    Ms wait = query.count("wait_ms") ? std::stoll(query["wait_ms"]) : 0;
    if (tell(*watch, wait == 0)) return;
    watches_.push_back(watch);
    env_.after(wait, [this, watch] {
      if (!watch->answered && !unavailable(watch->from)) tell(*watch, true);
    });
  }
  void notify() {
    auto all = watches_;
    for (auto& watch : all)
      if (!watch->answered && !unavailable(watch->from)) tell(*watch, false);
    std::erase_if(watches_, [](const auto& watch) { return watch->answered; });
  }
  void expire() {
    env_.after(20, [this] { expire(); });
    if (env_.now() < downUntil) return;
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (env_.now() < it->second.ends + 30) {
        ++it;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, entry] : data_)
        if (entry.lease == it->first) keys.push_back(key);
      if (!keys.empty()) ++revision_;
      for (const auto& key : keys) drop(key);
      it = leases_.erase(it);
      notify();
    }
  }

  Env& env_;
  std::size_t txnOps_, valueBytes_;
  std::map<std::string, Entry> data_;
  std::vector<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::uint64_t revision_ = 1, lastLease_ = 0;
};

}  // namespace lab
