// Stand-ins for the review: state service, cloud, workers and users on loopback sockets and the real clock, in
// one process, and the controllers as processes of their own. All follow ../given/docs/PROTOCOL-cherryloft.md;
// a case changes their behaviour only where its claim.txt says so.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

#include "log/log.h"
#include "net/client.h"
#include "net/server.h"

namespace rig {

using cherryloft::Address;
using cherryloft::Duration;
using cherryloft::HttpRequest;
using cherryloft::HttpResponse;
using cherryloft::HttpResult;
using cherryloft::Loop;
using cherryloft::Responder;
using Json = nlohmann::json;
using Ms = std::int64_t;

inline std::string pathOf(const std::string& target) { return target.substr(0, target.find('?')); }
inline std::map<std::string, std::string> queryOf(const std::string& target) {
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

// A free port below the range of outgoing connections. A datagram socket on it, kept open, tells other runs on the
// same machine that it is taken, before its owner listens.
inline std::uint16_t freePort() {
  static std::mt19937 rng(std::random_device{}());
  for (int i = 0; i < 1000; ++i) {
    auto port = static_cast<std::uint16_t>(12000 + rng() % 19000);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int mark = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    int fd = -1;
    if (mark >= 0 && ::bind(mark, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
      fd = cherryloft::listenOn({"127.0.0.1", port});
    if (fd >= 0) {
      ::close(fd);
      return port;
    }
    if (mark >= 0) ::close(mark);
  }
  std::fprintf(stderr, "no free port\n");
  std::exit(2);
}

struct Clock {
  Loop& loop;
  cherryloft::Time started;
  std::ofstream record;
  explicit Clock(Loop& l, const std::string& path) : loop(l), started(l.now()), record(path) {}
  Ms now() const { return (loop.now() - started).count(); }
  void after(Ms delay, std::function<void()> f) { loop.after(Duration{delay}, std::move(f)); }
  void at(Ms time, std::function<void()> f) { after(std::max<Ms>(0, time - now()), std::move(f)); }
  void note(const std::string& line) {
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", static_cast<double>(now()) / 1000.0);
    record << stamp << line << std::endl;
  }
};

// --- state service ---

// One port for each node, so that it knows who asks.
class StateService {
 public:
  struct Lateness {
    Ms before = 0;  // the request is carried out so much later
    Ms after = 0;   // and answered so much later still
  };
  // How late the answer to a request of a node is; set by a case.
  std::function<Lateness(unsigned node, const HttpRequest&)> lateness;
  std::function<void(const std::string& key, const Json* value)> onChange;
  std::map<unsigned, Ms> refusedUntil;
  std::size_t txnOps = 24, valueBytes = 16 * 1024;

  StateService(Clock& clock, cherryloft::Log log) : clock_(clock), log_(std::move(log)) { expire(); }
  std::string serve(unsigned node) {
    auto port = freePort();
    servers_.push_back(std::make_unique<cherryloft::HttpServer>(
        clock_.loop, log_, cherryloft::listenOn({"127.0.0.1", port}), 2000,
        [this, node](HttpRequest r, Responder done) { handle(node, std::move(r), std::move(done)); },
        [](const HttpRequest&) { return false; }));
    return "127.0.0.1:" + std::to_string(port);
  }
  const Json* value(const std::string& key) const {
    auto it = data_.find(key);
    return it == data_.end() ? nullptr : &it->second.value;
  }

 private:
  struct Entry {
    Json value;
    std::uint64_t version = 0, lease = 0;
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
    unsigned node;
    std::string prefix;
    std::uint64_t since;
    Responder done;
    bool answered = false;
  };

  bool refused(unsigned node) const {
    auto it = refusedUntil.find(node);
    return it != refusedUntil.end() && clock_.now() < it->second;
  }
  void handle(unsigned node, HttpRequest r, Responder done) {
    auto late = lateness ? lateness(node, r) : Lateness{};
    Responder answer = done;
    if (late.after > 0)
      answer = [this, done, late](HttpResponse response) {
        clock_.after(late.after, [done, response] { done(response); });
      };
    if (late.before > 0)
      clock_.after(late.before, [this, node, r, answer] { execute(node, r, answer); });
    else
      execute(node, r, answer);
  }
  void execute(unsigned node, const HttpRequest& r, const Responder& done) {
    if (refused(node)) return done({503, "{}", false, 0});
    auto path = pathOf(r.target);
    if (path == "/txn") return done(txn(r.body));
    if (path.rfind("/holds", 0) == 0) return done(hold(r));
    if (path == "/follow") return follow(node, queryOf(r.target), done);
    if (path == "/keys") return done(list(queryOf(r.target)));
    if (path.rfind("/keys/", 0) == 0) {
      auto it = data_.find(path.substr(6));
      if (it == data_.end()) return done({404, Json{{"ledger_rev", rev_}}.dump(), false, 0});
      return done({200,
                   Json{{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.version}}.dump(),
                   false, 0});
    }
    done({400, "{}", false, 0});
  }
  HttpResponse txn(const std::string& body) {
    auto doc = Json::parse(body, nullptr, false);
    if (!doc.is_object()) return {400, "{}", false, 0};
    auto apply = doc.value("apply", Json::array());
    auto when = doc.value("when", Json::array());
    if (apply.size() > txnOps || when.size() > 4 * txnOps) return {400, R"({"error":"too large"})", false, 0};
    Json failed = Json::array();
    for (const auto& c : when) {
      auto it = data_.find(c["path"].get<std::string>());
      if ((it == data_.end() ? 0 : it->second.version) != c["stamp"].get<std::uint64_t>())
        failed.push_back(c["path"]);
    }
    for (const auto& a : apply) {
      if (a.contains("tenancy") && leases_.count(a["tenancy"].get<std::uint64_t>()) == 0)
        return {400, R"({"error":"no such lease"})", false, 0};
      if (a.contains("write") && a["value"].dump().size() > valueBytes)
        return {400, R"({"error":"too large"})", false, 0};
    }
    if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger_rev", rev_}}.dump(), false, 0};
    if (!apply.empty()) ++rev_;
    auto revision = rev_;
    for (const auto& a : apply) {
      if (a.contains("write"))
        put(a["write"].get<std::string>(), a["value"], a.value("tenancy", std::uint64_t{0}));
      else
        put(a["drop"].get<std::string>(), std::nullopt, 0);
    }
    notify();
    return {200, Json{{"ledger_rev", revision}}.dump(), false, 0};
  }
  HttpResponse hold(const HttpRequest& r) {
    if (r.target == "/holds") {
      Ms ttl = Json::parse(r.body)["ttl_ms"].get<Ms>();
      leases_[++leaseCount_] = {ttl, clock_.now() + ttl};
      return {200, Json{{"tenancy", leaseCount_}}.dump(), false, 0};
    }
    auto id = std::stoull(r.target.substr(7));
    auto it = leases_.find(id);
    if (it == leases_.end()) return {404, "{}", false, 0};
    if (r.method == "DELETE")
      it->second.ends = 0;
    else
      it->second.ends = clock_.now() + it->second.ttl;
    return {200, "{}", false, 0};
  }
  HttpResponse list(const std::map<std::string, std::string>& query) const {
    const auto& prefix = query.at("prefix");
    auto limit = query.count("limit") ? std::stoul(query.at("limit")) : 1000;
    auto it = query.count("since") ? data_.upper_bound(query.at("since")) : data_.lower_bound(prefix);
    Json entries = Json::array();
    bool truncated = false;
    for (; it != data_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
      if (entries.size() >= limit) {
        truncated = true;
        break;
      }
      entries.push_back({{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.version}});
    }
    return {200, Json{{"entries", entries}, {"truncated", truncated}, {"ledger_rev", rev_}}.dump(), false, 0};
  }
  bool sendNews(Watch& watch, bool sendEmpty) {
    Json news = Json::array();
    for (const auto& c : log_changes_) {
      if (c.rev <= watch.since || c.key.rfind(watch.prefix, 0) != 0) continue;
      news.push_back(c.value ? Json{{"write", c.key}, {"value", *c.value}, {"stamp", c.rev}}
                             : Json{{"drop", c.key}, {"stamp", c.rev}});
    }
    if (news.empty() && !sendEmpty) return false;
    watch.answered = true;
    watch.done({200, Json{{"ledger_rev", rev_}, {"news", news}}.dump(), false, 0});
    return true;
  }
  void notify() {
    for (auto& watch : std::vector(watches_))
      if (!watch->answered && !refused(watch->node)) sendNews(*watch, false);
    std::erase_if(watches_, [](const auto& watch) { return watch->answered; });
  }
  void follow(unsigned node, const std::map<std::string, std::string>& query, const Responder& done) {
    auto watch = std::make_shared<Watch>(Watch{node, query.at("prefix"), std::stoull(query.at("since")), done});
    Ms wait = query.count("wait_ms") ? std::stoll(query.at("wait_ms")) : 0;
    if (sendNews(*watch, wait == 0)) return;
    watches_.push_back(watch);
    clock_.after(wait, [this, watch] {
      if (!watch->answered && !refused(watch->node)) sendNews(*watch, true);
    });
  }
  void put(const std::string& key, std::optional<Json> value, std::uint64_t lease) {
    if (value)
      data_[key] = {*value, rev_, lease};
    else if (data_.erase(key) == 0)
      return;
    if (onChange) onChange(key, value ? &*value : nullptr);
    log_changes_.push_back({rev_, key, std::move(value)});
  }
  void expire() {
    clock_.after(20, [this] { expire(); });
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (clock_.now() < it->second.ends + 30) {
        ++it;
        continue;
      }
      std::vector<std::string> gone;
      for (const auto& [key, entry] : data_)
        if (entry.lease == it->first) gone.push_back(key);
      if (!gone.empty()) ++rev_;
      for (const auto& key : gone) put(key, std::nullopt, 0);
      it = leases_.erase(it);
      notify();
    }
    notify();
  }

  Clock& clock_;
  cherryloft::Log log_;
  std::map<std::string, Entry> data_;
  std::vector<Change> log_changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t rev_ = 0, leaseCount_ = 0;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::unique_ptr<cherryloft::HttpServer>> servers_;
};

// --- jobs and the rules ---

struct JobDef {
  std::string id, team, shape = "sweep", rank = "normal";
  unsigned tasks = 1;
  double cores = 1, ram = 1, runS = 10, imageGb = 0.3;
  bool lendable = false, oneZone = false, spread = false;
  std::string bundle = "img-01", jobclass = "batch";
  Json site = nullptr;
  Json body() const {
    return {{"name_id", id},          {"jobclass", jobclass},   {"owner", team},
            {"shape", shape},         {"rank", rank},           {"pieces", tasks},
            {"cores", cores},         {"gpus", 0.0},            {"ram_gb", ram},
            {"bundle", bundle},       {"image_gb", imageGb},    {"flavours", nullptr},
            {"site", site},           {"one_zone", oneZone},    {"spread", spread},
            {"lendable", lendable},   {"expect_s", shape == "service" ? 0.0 : runS},
            {"snapshot_every_s", 0.0}, {"snapshot_s", 0.0},     {"due_s", nullptr}};
  }
};

// Watches the rules on what truly happens on the machines.
class Checker {
 public:
  explicit Checker(Clock& clock) : clock_(clock) {}
  std::map<std::string, JobDef> jobs;
  std::map<std::string, double> limits;  // cores by team
  std::map<std::string, Ms> cancelledAt;
  double cancelS = 61;
  std::map<std::string, std::vector<std::string>> violations;  // by rule
  std::map<std::string, std::set<std::string>> on;             // machines by task
  std::size_t starts = 0;
  std::map<std::string, unsigned> startsOf;  // by job

  void breach(const std::string& rule, const std::string& what) {
    violations[rule].push_back(what);
    clock_.note("BROKEN " + rule + ": " + what);
  }
  void started(const std::string& machine, const std::string& task, std::uint64_t attempt) {
    ++starts;
    auto job = task.substr(0, task.find('/'));
    ++startsOf[job];
    clock_.note("run    " + machine + " starts " + task + " try " + std::to_string(attempt));
    auto& machines = on[task];
    for (const auto& other : machines)
      if (other != machine) breach("ran_twice", task + " starts on " + machine + " while it is on " + other);
    machines.insert(machine);
    const auto& team = jobs.at(job).team;
    double used = usage(team);
    if (limits.count(team) && used > limits.at(team) + 1e-3)
      breach("quota", team + " uses " + std::to_string(used) + " cores, limit " + std::to_string(limits.at(team)));
    auto cancelled = cancelledAt.find(job);
    if (cancelled != cancelledAt.end() && clock_.now() > cancelled->second + static_cast<Ms>(cancelS * 1000))
      breach("ran_cancelled", task + " starts after its job was cancelled");
  }
  void ended(const std::string& machine, const std::string& task, const std::string& why) {
    on[task].erase(machine);
    clock_.note("run    " + machine + " ends " + task + " " + why);
  }
  double usage(const std::string& team) const {
    double sum = 0;
    for (const auto& [task, machines] : on) {
      const auto& job = jobs.at(task.substr(0, task.find('/')));
      if (job.team == team) sum += job.cores * static_cast<double>(machines.size());
    }
    return sum;
  }
  unsigned running(const std::string& job) const {
    unsigned n = 0;
    for (const auto& [task, machines] : on)
      if (task.substr(0, task.find('/')) == job && !machines.empty()) ++n;
    return n;
  }

 private:
  Clock& clock_;
};

// --- workers ---

struct WorkerSettings {
  double reportS = 3, leaseS = 36;
};

class Worker {
 public:
  std::string id, flavour, site;
  bool lendable = false;
  double cores = 16, ram = 32, fetchGbPerS = 0.3;
  bool cut = false;  // its network is cut: nothing gets in or out
  Ms reportDelay = 0;  // so long its reports are on their way

  Worker(Clock& clock, cherryloft::Log log, cherryloft::HttpClient& client, Checker& checker,
         WorkerSettings settings, std::vector<std::pair<std::string, Address>> nodes)
      : clock_(clock), client_(client), checker_(checker), settings_(settings), nodes_(std::move(nodes)) {
    port_ = freePort();
    server_ = std::make_unique<cherryloft::HttpServer>(
        clock_.loop, std::move(log), cherryloft::listenOn({"127.0.0.1", port_}), 200,
        [this](HttpRequest r, Responder done) { whenRunning([this, r, done] { handle(r, done); }); },
        [](const HttpRequest&) { return false; });
    leaseFrom_ = clock_.now();
    target_ = rng() % nodes_.size();
    schedule(200 + static_cast<Ms>(rng() % 800));
    checkLease();
  }
  ~Worker() { *alive_ = false; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void hang(Ms forMs) { hungUntil_ = clock_.now() + forMs; }
  // The machine is gone, with all that is on it.
  void end(const std::string& why) {
    dropAll(why);
    *alive_ = false;
  }
  bool alive() const { return *alive_; }
  // Its tasks exit by themselves with that cause.
  void failTask(const std::string& task) {
    std::vector<Key> running;
    for (const auto& [key, held] : tasks_)
      if (key.first == task && held.state == "running") running.push_back(key);
    for (const auto& key : running) finish(key, "error");
  }
  bool knows(const std::string& task) const {
    return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& held) { return held.first.first == task; });
  }
  // The machine restarts; its new worker process has the same address and counts from one.
  void restart(Ms downFor) {
    dropAll("machine restarts");
    images_.clear();
    downUntil_ = clock_.now() + downFor;
    tenure_ = 1;
    serial_ = token_ = 0;
    ++boot_;
    reporting_ = false;
    leaseFrom_ = downUntil_;
    schedule(downFor + 20);
  }
  // The direct commands that started tasks and were answered with 200, oldest first.
  std::vector<std::string> answeredStarts;
  double freeCores() const { return cores - held(&JobDef::cores); }
  double freeRam() const { return ram - held(&JobDef::ram); }

 private:
  double held(double JobDef::*amount) const {
    double sum = 0;
    for (const auto& [key, task] : tasks_)
      if (task.state != "ended") sum += checker_.jobs.at(key.first.substr(0, key.first.find('/'))).*amount;
    return sum;
  }
  struct Task {
    std::string state, cause;
    bool on = false;
    std::uint64_t run = 0;
  };
  using Key = std::pair<std::string, std::uint64_t>;

  static std::uint64_t rng() {
    static std::mt19937_64 engine(7);
    return engine();
  }
  void later(Ms delay, std::function<void()> f) {
    clock_.after(delay, [f = std::move(f), alive = alive_] {
      if (*alive) f();
    });
  }
  void whenRunning(std::function<void()> f) {
    if (!*alive_ || cut || clock_.now() < downUntil_) return;
    if (clock_.now() < hungUntil_)
      later(hungUntil_ - clock_.now(), [this, f = std::move(f)] { whenRunning(f); });
    else
      f();
  }
  void progress(Ms delay, std::function<void()> f) {  // as whenRunning, also behind a cut
    later(delay, [this, f = std::move(f)] {
      if (clock_.now() < hungUntil_)
        progress(hungUntil_ - clock_.now(), f);
      else
        f();
    });
  }
  void schedule(Ms delay) {
    later(delay, [this, number = ++timer_] {
      if (number == timer_) progress(0, [this] { report(); });
    });
  }
  void reportSoon() {
    if (!reporting_) schedule(std::max<Ms>(0, lastReport_ + 500 - clock_.now()));
  }
  std::string body() {
    Json pieces = Json::array();
    for (const auto& [key, task] : tasks_) {
      Json piece{{"piece", key.first}, {"try", key.second}, {"status", task.state}};
      if (task.state == "ended") piece["exit_cause"] = task.cause;
      pieces.push_back(std::move(piece));
    }
    return Json{{"host", id},        {"addr", address()}, {"flavour", flavour}, {"site", site},
                {"lendable", lendable}, {"tenure", tenure_}, {"serial", ++serial_}, {"epoch", token_},
                {"reclaim_in_s", nullptr}, {"pieces", std::move(pieces)}}
        .dump();
  }
  void report() {
    if (reporting_) return;
    reporting_ = true;
    lastReport_ = clock_.now();
    auto finish = [this, sent = clock_.now(), tenure = tenure_, boot = boot_, alive = alive_](const HttpResult& result) {
      if (!*alive || boot != boot_) return;
      progress(0, [this, sent, tenure, boot, result] {
        if (boot != boot_) return;
        reporting_ = false;
        reported(sent, tenure, result);
      });
    };
    if (cut) return clock_.after(4000, [finish] { finish({}); });
    auto send = [this, to = nodes_[target_].second, text = body(), finish] {
      client_.call(to, {"POST", "/checkin", text, false}, Duration{4000 - reportDelay}, finish);
    };
    if (reportDelay > 0) return clock_.after(reportDelay, send);
    send();
  }
  void reported(Ms sent, std::uint64_t tenure, const HttpResult& result) {
    auto next = [this] {
      target_ = (target_ + 1) % nodes_.size();
      schedule(1000);
    };
    if (cut || result.outcome != HttpResult::Outcome::Answered) return next();
    auto doc = Json::parse(result.response.body, nullptr, false);
    if (result.response.status == 421) {
      auto steward = doc.is_object() ? doc.value("steward", std::string()) : "";
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i].first == steward && i != target_) {
          target_ = i;
          return schedule(static_cast<Ms>(rng() % 500));
        }
      return next();
    }
    if (result.response.status != 200 || clock_.now() - sent > 4000 || !doc.is_object()) return next();
    schedule(static_cast<Ms>(settings_.reportS * (750 + static_cast<double>(rng() % 500))));
    auto token = doc.value("epoch", std::uint64_t{0});
    if (tenure != tenure_ || token < token_) return;
    bool higher = token > token_;
    token_ = token;
    leaseFrom_ = sent;
    execute(doc["orders"], "answer");
    if (higher) reportSoon();
  }
  void handle(const HttpRequest& r, const Responder& done) {
    if (pathOf(r.target) == "/show") return done({200, body(), false, 0});
    auto doc = Json::parse(r.body, nullptr, false);
    if (!doc.is_object() || !doc.contains("epoch") || !doc.contains("tenure")) return done({400, "{}", false, 0});
    auto token = doc["epoch"].get<std::uint64_t>();
    if (token < token_ || doc["tenure"].get<std::uint64_t>() != tenure_) return done({409, body(), false, 0});
    bool higher = token > token_;
    token_ = token;
    auto orders = doc.value("orders", Json::array());
    for (const auto& order : orders)
      if (order.value("verb", "") == "start") {
        answeredStarts.push_back(r.body);
        break;
      }
    execute(orders, "direct");
    done({200, body(), false, 0});
    if (higher) reportSoon();
  }
  void execute(const Json& orders, const char* how) {
    for (const auto& order : orders) {
      Key key{order["piece"].get<std::string>(), order["try"].get<std::uint64_t>()};
      auto verb = order["verb"].get<std::string>();
      clock_.note("order  " + id + " " + how + " " + verb + " " + key.first + " try " + std::to_string(key.second));
      auto it = tasks_.find(key);
      if (verb == "start" && it == tasks_.end()) start(key);
      if (verb == "kill" && it != tasks_.end() && it->second.state != "ended") finish(key, "halted");
      if (verb == "forget" && it != tasks_.end() && it->second.state == "ended") tasks_.erase(it);
    }
  }
  void start(const Key& key) {
    auto job = checker_.jobs.find(key.first.substr(0, key.first.find('/')));
    Task task;
    task.state = "fetching";
    task.run = ++runs_;
    double usedCores = 0, usedRam = 0;
    for (const auto& [other, held] : tasks_) {
      if (held.state == "ended") continue;
      const auto& def = checker_.jobs.at(other.first.substr(0, other.first.find('/')));
      usedCores += def.cores;
      usedRam += def.ram;
      if (other.first == key.first) task.state = "ended", task.cause = "busy";
    }
    if (job == checker_.jobs.end())
      task.state = "ended", task.cause = "unknown";
    else if (task.state != "ended" &&
             (usedCores + job->second.cores > cores + 1e-6 || usedRam + job->second.ram > ram + 1e-6))
      task.state = "ended", task.cause = "no_room";
    tasks_[key] = task;
    reportSoon();
    if (task.state == "ended") return;
    const auto& def = job->second;
    Ms fetch = images_.count(def.bundle) ? 10 : static_cast<Ms>(1000 * def.imageGb / fetchGbPerS) + 10;
    progress(fetch, [this, key, run = task.run] { fetched(key, run); });
  }
  Task* find(const Key& key, std::uint64_t run) {
    auto it = tasks_.find(key);
    return it != tasks_.end() && it->second.run == run && it->second.state != "ended" ? &it->second : nullptr;
  }
  void fetched(const Key& key, std::uint64_t run) {
    auto* task = find(key, run);
    if (!task) return;
    const auto& def = checker_.jobs.at(key.first.substr(0, key.first.find('/')));
    images_.insert(def.bundle);
    task->state = "running";
    task->on = true;
    checker_.started(id, key.first, key.second);
    reportSoon();
    if (results_.count(key.first)) return finish(key, "done");
    if (def.shape == "service") return;
    progress(static_cast<Ms>(def.runS * 1000), [this, key, run] {
      if (find(key, run)) finish(key, "done");
    });
  }
  void finish(const Key& key, const std::string& cause) {
    auto& task = tasks_.at(key);
    if (task.on) checker_.ended(id, key.first, cause);
    if (cause == "done") results_.insert(key.first);
    task.on = false;
    task.state = "ended";
    task.cause = cause;
    reportSoon();
  }
  void dropAll(const std::string& why) {
    for (auto& [key, task] : tasks_)
      if (task.on) checker_.ended(id, key.first, why);
    tasks_.clear();
  }
  void checkLease() {
    later(100, [this] { checkLease(); });
    if (clock_.now() < hungUntil_) return;
    if (clock_.now() - leaseFrom_ <= static_cast<Ms>(settings_.leaseS * 1000)) return;
    clock_.note("worker " + id + ": lease over, next session");
    dropAll("lease over");
    ++tenure_;
    serial_ = 0;
    leaseFrom_ = clock_.now();
  }

  Clock& clock_;
  cherryloft::HttpClient& client_;
  Checker& checker_;
  WorkerSettings settings_;
  std::vector<std::pair<std::string, Address>> nodes_;
  std::uint16_t port_ = 0;
  std::unique_ptr<cherryloft::HttpServer> server_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::map<Key, Task> tasks_;
  std::set<std::string> images_, results_;
  std::uint64_t tenure_ = 1, serial_ = 0, token_ = 0, runs_ = 0, timer_ = 0;
  std::size_t target_ = 0;
  Ms leaseFrom_ = 0, lastReport_ = -10000, hungUntil_ = 0, downUntil_ = 0;
  std::uint64_t boot_ = 0;  // of the worker process
  bool reporting_ = false;
};

// --- the deployment ---

struct Flavour {
  std::string sku;
  double cores, ram, price = 1.0, spot = 0.45, boot = 25, cache = 25, fetch = 0.3;
};

class Deployment {
 public:
  Loop loop;
  Clock clock{loop, std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt"};
  cherryloft::Log log = cherryloft::silentLog();
  cherryloft::HttpClient client{loop, 8, 400, 2000, {}};
  Checker checker{clock};
  StateService state{clock, log};
  std::vector<std::string> zones{"centro", "cerro"};
  std::vector<Flavour> flavours{{"nodo", 16, 32}};
  struct Team {
    std::string name;
    double cpus, cpusMax;
  };
  std::vector<Team> teams;
  double reportS = 3, leaseS = 36, cancelS = 61, listLagS = 5, rps = 200, writeRps = 80, valueKb = 16;
  unsigned txnOps = 24;
  // Machines that the cloud still has, by flavour; it refuses a rental beyond.
  std::map<std::string, int> capacity;
  bool trouble = true;
  std::map<std::string, std::unique_ptr<Worker>> workers;

  Deployment() {
    const char* t = std::getenv("TROUBLE");
    trouble = !(t && std::string(t) == "0");
    ::signal(SIGPIPE, SIG_IGN);
    for (unsigned i = 0; i < 3; ++i) {
      fronts_.push_back({"127.0.0.1", freePort()});
      meshes_.push_back({"127.0.0.1", freePort()});
    }
  }
  ~Deployment() { endAll(); }
  static std::string node(unsigned n) { return "loftnode-" + std::to_string(n); }
  Address front(unsigned n) const { return fronts_[n]; }

  // Machines that are up before the controllers.
  void up(const std::string& sku, const std::string& site, unsigned count) {
    for (unsigned i = 0; i < count; ++i) addWorker(sku, site, false);
  }
  void start(const std::string& runCommand, const std::string& folder) {
    run_ = runCommand;
    folder_ = folder;
    for (const auto& team : teams) checker.limits[team.name] = team.cpusMax;
    checker.cancelS = cancelS;
    state.txnOps = txnOps;
    state.valueBytes = static_cast<std::size_t>(valueKb * 1024);
    auto cloudPort = freePort();
    cloud_ = std::make_unique<cherryloft::HttpServer>(
        loop, log, cherryloft::listenOn({"127.0.0.1", cloudPort}), 500,
        [this](HttpRequest r, Responder done) { cloud(r, done); }, [](const HttpRequest&) { return false; });
    for (unsigned n = 0; n < 3; ++n) {
      writeSettings(n, "127.0.0.1:" + std::to_string(cloudPort));
      startNode(n);
    }
  }
  void startNode(unsigned n) {
    clock.note("node   " + node(n) + " started");
    auto path = folder_ + "/" + node(n) + ".json";
    auto err = folder_ + "/" + node(n) + ".log";
    pid_t parent = ::getpid();
    pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(2);
      int fd = ::open(err.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(fd, 2);
      ::dup2(fd, 1);
      for (int other = 3; other < 1024; ++other) ::close(other);
      if (!std::getenv("LOG_LEVEL")) ::setenv("LOG_LEVEL", "info", 1);
      std::vector<std::string> words;
      std::istringstream in(run_);
      for (std::string word; in >> word;) words.push_back(word);
      words.push_back(path);
      std::vector<char*> args;
      for (auto& word : words) args.push_back(word.data());
      args.push_back(nullptr);
      ::execv(args[0], args.data());
      ::_exit(127);
    }
    pids_[n] = pid;
  }
  void signalNode(unsigned n, int signal) {
    clock.note("node   " + node(n) + " gets signal " + std::to_string(signal));
    ::kill(pids_[n], signal);
    if (signal == SIGKILL) {
      ::waitpid(pids_[n], nullptr, 0);
      pids_.erase(n);
    }
  }
  bool alive(unsigned n) const { return pids_.count(n) > 0; }
  void crash(unsigned n, Ms backAfter) {
    signalNode(n, SIGKILL);
    if (backAfter >= 0) clock.after(backAfter, [this, n] { startNode(n); });
  }
  // Nodes that ended by themselves.
  std::vector<unsigned> endedNodes() {
    std::vector<unsigned> ended;
    for (auto [n, pid] : pids_)
      if (::waitpid(pid, nullptr, WNOHANG) != 0) ended.push_back(n);
    return ended;
  }
  void endAll() {
    for (auto [n, pid] : pids_) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    pids_.clear();
  }

  // --- users ---
  using Answered = std::function<void(int status, const Json& body)>;
  void ask(unsigned n, const std::string& method, const std::string& path, const std::string& body, Ms deadline,
           Answered done, bool quiet = false) {
    if (!quiet) clock.note("ask    " + node(n) + " " + method + " " + path + " " + body);
    client.call(front(n), {method, path, body, false}, Duration{deadline},
                [this, n, method, path, done, quiet](const HttpResult& result) {
                  int status = result.outcome == HttpResult::Outcome::Answered ? result.response.status : 0;
                  auto doc = Json::parse(result.response.body, nullptr, false);
                  if (!quiet)
                    clock.note("answer " + node(n) + " " + method + " " + path + " -> " + std::to_string(status) +
                               " " + result.response.body);
                  if (!doc.is_object()) doc = Json::object();
                  done(status, doc);
                });
  }
  // Retries until it is accepted.
  void submit(const JobDef& job, unsigned n, std::function<void()> accepted = {}) {
    checker.jobs[job.id] = job;
    submittedTo_[job.id] = n;
    ask(n, "POST", "/v1/jobs", job.body().dump(), 5000, [this, job, n, accepted](int status, const Json&) {
      if (status == 200 || status == 201) {
        acceptedAt[job.id] = clock.now();
        if (accepted) accepted();
        return;
      }
      if (status == 400 || status == 422) {
        checker.breach("setup", "submission refused");
        return;
      }
      clock.after(1000, [this, job, n, accepted] { submit(job, (n + 1) % 3, accepted); });
    });
  }
  // Retries until it is answered with 200.
  void cancel(const std::string& id, unsigned n) {
    ask(n, "POST", "/v1/jobs/" + id + "/withdraw", "", 5000, [this, id, n](int status, const Json& body) {
      if (status != 200) return clock.after(1000, [this, id, n] { cancel(id, (n + 1) % 3); });
      if (body.value("status", "") == "aborted" && !checker.cancelledAt.count(id)) {
        checker.cancelledAt[id] = clock.now();
        clock.after(static_cast<Ms>(cancelS * 1000) + 50, [this, id] {
          if (checker.running(id) > 0) checker.breach("ran_cancelled", id + " still runs");
        });
      }
    });
  }
  std::map<std::string, Ms> acceptedAt;
  unsigned owner(unsigned shard) const {  // of a shard, by the record in the state service; 9: nobody
    const auto* record = state.value("share/" + std::to_string(shard));
    return record ? static_cast<unsigned>(record->value("own", "loftnode-9").back() - '0') : 9;
  }
  // The shard of a machine, by the records in the state service.
  int shardOf(const std::string& machine) const {
    auto it = shardOfMachine_.find(machine);
    return it == shardOfMachine_.end() ? -1 : it->second;
  }
  void trackMachines() {
    state.onChange = [this](const std::string& key, const Json* value) {
      if (value && key.rfind("host/", 0) == 0)
        for (const auto& member : (*value)["m"]) shardOfMachine_[member[0]] = (*value)["sh"];
      if (key.rfind("share/", 0) == 0 || key.rfind("host/", 0) == 0 || key.rfind("job/", 0) == 0)
        clock.note("stored " + key + " " + (value ? value->dump().substr(0, 300) : "dropped"));
    };
  }
  // Runs until that time and returns the exit code of the case.
  int finish(Ms until, const std::string& rule, std::function<bool()> couldRun) {
    clock.at(until, [this] { loop.stop(); });
    loop.run();
    auto ended = endedNodes();
    endAll();
    if (!ended.empty()) clock.note("a node ended by itself");
    if (!couldRun()) {
      clock.note("RESULT the case could not run");
      return 2;
    }
    bool broken = !checker.violations[rule].empty();
    clock.note(std::string("RESULT ") + rule + (broken ? " broken" : " held"));
    for (const auto& [other, what] : checker.violations)
      if (other != rule && !what.empty()) clock.note("RESULT also broken: " + other);
    return broken ? 1 : 0;
  }

 private:
  void addWorker(const std::string& sku, const std::string& site, bool lendable, Ms bootMs = 0) {
    char name[32];
    std::snprintf(name, sizeof name, "host-%06u", ++lastHost_);
    std::string id = name;
    const auto& flavour = *std::find_if(flavours.begin(), flavours.end(), [&](const auto& f) { return f.sku == sku; });
    listed_[id] = {sku, site, lendable, clock.now() - (bootMs > 0 ? 0 : 600'000),
                   bootMs > 0 ? clock.now() + bootMs : clock.now() - 570'000, -1};
    auto boot = [this, id, sku, site, lendable, flavour] {
      if (listed_[id].goneAt >= 0) return;
      std::vector<std::pair<std::string, Address>> nodes;
      for (unsigned n = 0; n < 3; ++n) nodes.emplace_back(node(n), fronts_[n]);
      auto worker = std::make_unique<Worker>(clock, log, client, checker, WorkerSettings{reportS, leaseS}, nodes);
      worker->id = id;
      worker->flavour = sku;
      worker->site = site;
      worker->lendable = lendable;
      worker->cores = flavour.cores;
      worker->ram = flavour.ram;
      worker->fetchGbPerS = flavour.fetch;
      workers[id] = std::move(worker);
    };
    if (bootMs > 0)
      clock.after(bootMs, boot);
    else
      boot();
  }
  void cloud(const HttpRequest& r, const Responder& done) {
    auto path = pathOf(r.target);
    if (path == "/catalog") {
      Json list = Json::array();
      for (const auto& f : flavours)
        list.push_back({{"sku", f.sku},         {"cores", f.cores},         {"gpus", 0},
                        {"ram_gb", f.ram},      {"cache_gb", f.cache},      {"fetch_gb_per_s", f.fetch},
                        {"price", f.price},     {"market_price", f.spot},   {"startup_s", f.boot},
                        {"sites", zones}});
      return done({200, Json{{"flavours", list}}.dump(), false, 0});
    }
    if (path == "/hosts/return") {
      auto doc = Json::parse(r.body);
      for (const auto& name : doc["hosts"]) {
        auto id = name.get<std::string>();
        clock.note("cloud  " + id + " returned");
        if (listed_.count(id) && listed_[id].goneAt < 0) listed_[id].goneAt = clock.now();
        if (workers.count(id)) workers[id]->end("machine returned");
      }
      return done({200, "{}", false, 0});
    }
    if (path == "/hosts" && r.method == "POST") {
      auto doc = Json::parse(r.body);
      auto claim = doc["claim"].get<std::string>();
      if (claims_.count(claim)) return done({200, Json{{"hosts", claims_[claim]}}.dump(), false, 0});
      auto sku = doc["flavour"].get<std::string>();
      std::vector<std::string> hosts;
      for (int i = 0; i < doc["count"].get<int>() && capacity[sku] > 0; ++i, --capacity[sku]) {
        for (const auto& f : flavours)
          if (f.sku == sku) addWorker(sku, doc["site"], doc["lendable"], static_cast<Ms>(f.boot * 1000));
        char name[32];
        std::snprintf(name, sizeof name, "host-%06u", lastHost_);
        hosts.push_back(name);
      }
      if (hosts.empty()) return done({503, R"({"error":"no capacity"})", false, 0});
      clock.note("cloud  rented " + Json(hosts).dump());
      claims_[claim] = hosts;
      return done({200, Json{{"hosts", hosts}}.dump(), false, 0});
    }
    if (path == "/hosts") {
      auto query = queryOf(r.target);
      Ms as = clock.now() - static_cast<Ms>(listLagS * 1000);
      Json list = Json::array();
      for (const auto& [id, m] : listed_) {
        if (query.count("since") && id <= query["since"]) continue;
        if (m.from > as || (m.goneAt >= 0 && m.goneAt <= as)) continue;
        auto address = workers.count(id) ? workers[id]->address() : std::string();
        list.push_back({{"name_id", id},
                        {"addr", address},
                        {"flavour", m.sku},
                        {"site", m.site},
                        {"lendable", m.lendable},
                        {"status", m.upAt > as ? "starting" : "running"},
                        {"held_s", static_cast<double>(as - m.from) / 1000.0}});
      }
      return done({200, Json{{"hosts", list}, {"truncated", false}}.dump(), false, 0});
    }
    done({400, "{}", false, 0});
  }
  void writeSettings(unsigned n, const std::string& cloudAddress) {
    auto where = [&](unsigned i) { return zones[i % zones.size()]; };
    Json siblings = Json::array();
    for (unsigned i = 0; i < 3; ++i)
      if (i != n) siblings.push_back({{"node", node(i)}, {"location", where(i)}, {"address", meshes_[i].text()}});
    Json teamList = Json::array();
    for (const auto& t : teams)
      teamList.push_back(
          {{"name", t.name}, {"cpus", t.cpus}, {"cpus_max", t.cpusMax}, {"gpus", 0.0}, {"gpus_max", 0.0}});
    Json doc{{"node", node(n)},
             {"location", where(n)},
             {"front", fronts_[n].text()},
             {"mesh_addr", meshes_[n].text()},
             {"siblings", siblings},
             {"endpoints", {{"cloud", cloudAddress}, {"state", state.serve(n)}}},
             {"deployment",
              {{"size", 3},
               {"zones", zones},
               {"teams", teamList},
               {"objectives", Json::array()},
               {"workers",
                {{"report_s", reportS}, {"lease_s", leaseS}, {"gang_wait_s", 50.0}, {"gang_peer_s", 5.0},
                 {"cancel_s", cancelS}}},
               {"state", {{"rps", rps}, {"write_rps", writeRps}, {"value_kb", valueKb}, {"txn_ops", txnOps}}},
               {"cloud", {{"rps", 5.0}, {"list_lag_s", listLagS}}},
               {"machine_limits", {{"cores", 0.096}, {"ram_mb", 200.0}, {"fd_limit", 3500}}},
               {"clock_error_ms", 250.0}}}};
    std::ofstream(folder_ + "/" + node(n) + ".json") << doc.dump(1);
  }

  struct Listed {
    std::string sku, site;
    bool lendable;
    Ms from, upAt, goneAt;
  };
  std::vector<Address> fronts_, meshes_;
  std::string run_, folder_;
  std::map<unsigned, pid_t> pids_;
  std::map<std::string, Listed> listed_;
  std::map<std::string, std::vector<std::string>> claims_;
  std::map<std::string, unsigned> submittedTo_;
  std::map<std::string, int> shardOfMachine_;
  unsigned lastHost_ = 0;
  std::unique_ptr<cherryloft::HttpServer> cloud_;
};

}  // namespace rig
