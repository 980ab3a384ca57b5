// Stand-in of the cloud, as the protocol page describes it.
#pragma once

#include <algorithm>

#include "worker.h"

namespace lab {

class Cloud {
 public:
  struct Type {
    std::string name;
    double cores = 8;
    unsigned capacity = 6;  // machines of each kind in each zone
    Ms boot = 1500;         // how long it takes here
    double ramGb = 32, price = 0.5, spotPrice = 0.15, startupS = 0;  // as in the catalog; startupS 0: as boot
  };
  struct Host {
    MachineInfo info;
    Ms since = 0, upAt = -1, failedAt = -1, goneAt = -1;
    std::unique_ptr<Worker> worker;
  };
  Cloud(Env& env, Checker& checker, const Timing& timing, std::vector<std::string> zones, std::vector<Type> types,
        double listLagS)
      : env_(env), checker_(checker), timing_(timing), zones_(std::move(zones)), types_(std::move(types)),
        lag_(static_cast<Ms>(listLagS * 1000)) {
    service.open(env, [this](HttpRequest r, Responder done) {
      env_.after(static_cast<Ms>(env_.uniform(20, 150)), [this, r = std::move(r), done = std::move(done)] { handle(r, done); });
    });
  }
  Service service;
  Gangs gangs;
  std::map<std::string, Host> hosts;
  std::vector<Address> fronts;
  std::vector<std::string> names;
  Ms troubleUntil = 0, emptyUntil = 0, bootsFailUntil = 0, lostAnswersUntil = 0;
  bool spotOffered = true;
  unsigned rentedAtMost = 1000;  // machines rented in the whole run

  std::string create(const std::string& type, const std::string& zone, bool spot) {
    char id[32];
    std::snprintf(id, sizeof id, "host-%06u", ++count_);
    auto& host = hosts[id];
    host.info = {id, type, zone, spot, typeOf(type).cores, typeOf(type).ramGb};
    host.since = env_.now();
    return id;
  }
  // Each machine that comes up takes the address given here, if any.
  std::map<std::string, Address> addresses;
  std::function<void(const std::string&)> rented;  // told of every new machine; boots it itself if it is set
  void up(const std::string& id) {
    auto& host = hosts.at(id);
    if (host.goneAt >= 0) return;
    host.upAt = env_.now();
    host.worker = std::make_unique<Worker>(env_, checker_, timing_, host.info, fronts, names, 300, gangs,
                                           addresses.count(id) ? addresses[id] : Address{});
  }
  std::vector<Worker*> workers() {
    std::vector<Worker*> all;
    for (auto& [_, host] : hosts)
      if (host.worker && host.worker->alive()) all.push_back(host.worker.get());
    return all;
  }
  void kill(const std::string& id) {
    auto& host = hosts.at(id);
    if (host.worker) host.worker->die();
    env_.after(30000, [this, id] {
      if (hosts.at(id).goneAt < 0) hosts.at(id).failedAt = env_.now();
    });
  }
  void reclaim(const std::string& id, Ms notice) {
    auto& host = hosts.at(id);
    if (!host.worker || !host.worker->alive()) return;
    if (notice > 0) host.worker->reclaimAt = env_.now() + notice;
    env_.after(notice, [this, id] {
      auto& taken = hosts.at(id);
      if (taken.worker) taken.worker->die();
      if (taken.goneAt < 0) taken.goneAt = env_.now();
    });
  }

 private:
  const Type& typeOf(const std::string& name) const {
    return *std::find_if(types_.begin(), types_.end(), [&](const Type& t) { return t.name == name; });
  }
  void handle(const HttpRequest& r, const Responder& done) {
    if (env_.now() < troubleUntil) return done(reply(503, {{"error", "trouble"}}));
    auto path = r.target.substr(0, r.target.find('?'));
    auto answer = [this, &done](const HttpResponse& response) {
      if (env_.now() >= lostAnswersUntil || env_.chance(0.5)) done(response);
    };
    if (path == "/catalog") return done(catalog());
    if (path == "/hosts/return") return answer(giveBack(Json::parse(r.body)));
    if (path == "/hosts" && r.method == "POST") return answer(rent(Json::parse(r.body)));
    if (path == "/hosts") return done(list(queryOf(r.target)));
    done(reply(400, Json::object()));
  }
  HttpResponse catalog() const {
    Json flavours = Json::array();
    for (const auto& t : types_)
      flavours.push_back({{"sku", t.name}, {"cores", t.cores}, {"gpus", 0}, {"ram_gb", t.ramGb}, {"cache_gb", 30},
                          {"fetch_gb_per_s", 1.0}, {"price", t.price}, {"market_price", t.spotPrice},
                          {"startup_s", t.startupS > 0 ? t.startupS : static_cast<double>(t.boot) / 1000.0}, {"sites", zones_}});
    return reply(200, {{"flavours", flavours}});
  }
  HttpResponse rent(const Json& doc) {
    auto claim = doc["claim"].get<std::string>();
    if (claims_.count(claim)) return claims_[claim];
    auto type = doc["flavour"].get<std::string>();
    auto zone = doc["site"].get<std::string>();
    bool spot = doc["lendable"].get<bool>();
    auto have = std::count_if(hosts.begin(), hosts.end(), [&](const auto& h) {
      return h.second.goneAt < 0 && h.second.info.type == type && h.second.info.zone == zone && h.second.info.spot == spot;
    });
    if (rentedInAll_ >= rentedAtMost) return reply(503, {{"error", "no capacity"}});
    long limit = env_.now() < emptyUntil || (spot && !spotOffered) ? 0 : static_cast<long>(typeOf(type).capacity);
    long grant = std::min<long>(doc["count"].get<long>(), limit - have);
    if (grant <= 0) return reply(503, {{"error", "no capacity"}});
    Json names = Json::array();
    for (long i = 0; i < grant; ++i) {
      auto id = create(type, zone, spot);
      ++rentedInAll_;
      names.push_back(id);
      if (env_.now() < bootsFailUntil) continue;
      if (rented) {
        rented(id);
        continue;
      }
      env_.after(static_cast<Ms>(static_cast<double>(typeOf(type).boot) * env_.uniform(0.6, 1.5)), [this, id] { up(id); });
    }
    env_.note("cloud: claim " + claim + " rents " + names.dump());
    return claims_[claim] = reply(200, {{"hosts", names}});
  }
  HttpResponse giveBack(const Json& doc) {
    for (const auto& name : doc["hosts"]) {
      auto it = hosts.find(name.get<std::string>());
      if (it == hosts.end()) continue;
      if (it->second.worker) it->second.worker->die();
      if (it->second.goneAt < 0) it->second.goneAt = env_.now();
    }
    env_.note("cloud: returned " + doc["hosts"].dump());
    return reply(200, Json::object());
  }
  HttpResponse list(std::map<std::string, std::string> query) {
    Ms then = env_.now() - static_cast<Ms>(static_cast<double>(lag_) * (env_.chance(0.1) ? 2.0 : env_.uniform(0.8, 1.0)));
    Json out = Json::array();
    for (const auto& [id, h] : hosts) {
      if (query.count("since") && id <= query["since"]) continue;
      if (h.since > then || (h.goneAt >= 0 && h.goneAt <= then)) continue;
      const char* status = h.failedAt >= 0 && h.failedAt <= then ? "failed" : h.upAt >= 0 && h.upAt <= then ? "running" : "starting";
      out.push_back({{"name_id", id}, {"addr", h.worker ? h.worker->address() : "127.0.0.1:1"}, {"flavour", h.info.type},
                     {"site", h.info.zone}, {"lendable", h.info.spot}, {"status", status},
                     {"held_s", static_cast<double>(then - h.since) / 1000.0}});
    }
    return reply(200, {{"hosts", out}, {"truncated", false}});
  }
  Env& env_;
  Checker& checker_;
  const Timing& timing_;
  std::vector<std::string> zones_;
  std::vector<Type> types_;
  Ms lag_;
  unsigned count_ = 0, rentedInAll_ = 0;
  std::map<std::string, HttpResponse> claims_;
};

}  // namespace lab
