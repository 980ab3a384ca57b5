// Stand-in of a worker, as the protocol page describes it.
#pragma once

#include "jobs.h"

namespace lab {

struct Timing {
  double reportS = 3, leaseS = 45, cancelS = 75, gangWaitS = 45, gangPeerS = 4;
};

struct MachineInfo {
  std::string id, type, zone;
  bool spot = false;
  double cores = 8, ramGb = 32;
};

class Worker;

// The attempts of coupled jobs: which tasks are present on which machines.
struct GangAttempt {
  std::map<unsigned, Worker*> present;
  bool started = false, ended = false, done = false;
};
using Gangs = std::map<std::pair<std::string, std::uint64_t>, GangAttempt>;

class Worker {
 public:
  Worker(Env& env, Checker& checker, const Timing& timing, MachineInfo machine, std::vector<Address> controllers,
         std::vector<std::string> names, Ms fetch,
         Gangs& gangs, const Address& at = {})
      : env_(env),
        checker_(checker),
        timing_(timing),
        machine_(std::move(machine)),
        controllers_(std::move(controllers)),
        names_(std::move(names)),
        fetch_(fetch),
        gangs_(gangs) {
    service_.open(env, [this](HttpRequest r, Responder done) { receive(std::move(r), std::move(done)); }, at);
    leaseFrom_ = env_.now();
    target = env_.pick(static_cast<unsigned>(controllers_.size()));
    blocked.assign(controllers_.size(), 0);
    schedule(static_cast<Ms>(env_.uniform(20, 300)));
    checkLease();
  }
  ~Worker() { die(); }
  void die() {
    if (!alive_) return;
    alive_.reset();
    dropTasks("machine gone");
  }
  // The machine is gone, and the platform may give its address to another one.
  void releaseAddress() { service_.server.reset(); }
  Ms lastAnswered() const { return leaseFrom_; }
  bool alive() const { return alive_ != nullptr; }
  Address listensOn() const { return service_.address; }
  std::string address() const { return service_.address.text(); }
  const MachineInfo& machine() const { return machine_; }

  // Faults. cutUntil: nothing gets in or out; with keepLate, both directions are delivered when it ends.
  Ms cutUntil = 0, hungUntil = 0;
  bool keepLate = false;
  std::vector<Ms> blocked;  // until when its reports do not get to this controller
  std::optional<Ms> reclaimAt;
  unsigned target = 0;
  std::size_t largestReport = 0, refusedReports = 0, leasesLost = 0;
  std::uint64_t token() const { return token_; }
  std::size_t taskCount() const { return tasks_.size(); }
  bool holds(const std::string& job, unsigned index) const {
    auto it = tasks_.find({job, index});
    return it != tasks_.end() && it->second.onMachine;
  }
  // Loses all counters and tasks, as after a reboot.
  void reboot() {
    dropTasks("reboot");
    session_ = 1;
    serial_ = 0;
    token_ = 0;
    leaseFrom_ = env_.now();
  }

 private:
  using Key = std::pair<std::string, unsigned>;
  struct Task {
    std::uint64_t attempt = 0;
    std::string state, cause;
    bool onMachine = false, saved = false;
    std::uint64_t run = 0;
    Ms startedAt = 0;
  };
  void later(Ms delay, std::function<void()> f) {
    env_.after(delay, [f = std::move(f), alive = std::weak_ptr<bool>(alive_)] {
      if (alive.lock()) f();
    });
  }
  void unlessHung(std::function<void()> f) {
    if (env_.now() < hungUntil)
      later(hungUntil - env_.now() + 1, [this, f = std::move(f)] { unlessHung(f); });
    else
      f();
  }
  void schedule(Ms delay) {
    later(delay, [this, timer = ++timer_] {
      if (timer == timer_) unlessHung([this] { report(); });
    });
  }
  void soon() {
    if (!reporting_) schedule(std::max<Ms>(0, lastReport_ + 500 - env_.now()));
  }
  std::string body() {
    Json pieces = Json::array();
    for (const auto& [key, task] : tasks_) {
      Json piece{{"piece", key.first + "/" + std::to_string(key.second)}, {"try", task.attempt}, {"status", task.state}};
      if (task.state == "ended") piece["exit_cause"] = task.cause;
      if (task.state == "ended" && task.saved) piece["saved"] = true;
      pieces.push_back(piece);
    }
    Json report{{"host", machine_.id},     {"addr", address()},      {"flavour", machine_.type}, {"site", machine_.zone},
                {"lendable", machine_.spot}, {"tenure", session_},   {"serial", ++serial_},      {"epoch", token_},
                {"pieces", pieces}};
    report["reclaim_in_s"] = reclaimAt ? Json(static_cast<double>(*reclaimAt - env_.now()) / 1000.0) : Json();
    return report.dump();
  }
  void report() {
    if (reporting_) return;
    reporting_ = true;
    lastReport_ = env_.now();
    auto sent = env_.now();
    auto to = target;
    HttpRequest r{"POST", "/checkin", body(), false};
    auto bytes = r.body.size();
    largestReport = std::max(largestReport, bytes);
    auto answered = [this, sent, bytes, to, session = session_, alive = std::weak_ptr<bool>(alive_)](const HttpResult& result) {
      if (!alive.lock()) return;
      int status = result.outcome == HttpResult::Outcome::Answered ? result.response.status : 0;
      if (status != 200 && status != 421) ++refusedReports;
      if (status != lastStatus_)
        env_.note(machine_.id + " reports " + std::to_string(bytes) + " bytes to " + names_[to] + ", answer " +
                  std::to_string(status));
      lastStatus_ = status;
      unlessHung([this, sent, session, result] {
        reporting_ = false;
        handleAnswer(sent, session, result);
      });
    };
    bool cut = env_.now() < cutUntil || env_.now() < blocked[to];
    if (!cut) {
      env_.client.call(controllers_[to], std::move(r), Duration{4000}, answered);
      return;
    }
    if (keepLate) {
      Ms end = std::max(env_.now() < cutUntil ? cutUntil : 0, env_.now() < blocked[to] ? blocked[to] : 0);
      env_.after(end - env_.now() + env_.pick(200), [this, r, to] {
        env_.client.call(controllers_[to], r, Duration{4000}, [](const HttpResult&) {});
      });
    }
    later(4000, [answered] { answered({}); });
  }
  void handleAnswer(Ms sent, std::uint64_t session, const HttpResult& result) {
    auto next = [this](Ms delay) {
      target = (target + 1) % controllers_.size();
      schedule(delay);
    };
    if (result.outcome != HttpResult::Outcome::Answered || env_.now() - sent > 4000) return next(1000);
    auto doc = Json::parse(result.response.body, nullptr, false);
    if (result.response.status == 421) {
      auto steward = doc.is_object() ? doc.value("steward", std::string()) : std::string();
      for (unsigned i = 0; i < names_.size(); ++i)
        if (names_[i] == steward && i != target) {
          target = i;
          return schedule(static_cast<Ms>(env_.uniform(0, 500)));
        }
      return next(1000);
    }
    if (result.response.status != 200) return next(1000);
    schedule(static_cast<Ms>(timing_.reportS * 1000 * env_.uniform(0.75, 1.25)));
    auto token = doc.value("epoch", std::uint64_t{0});
    if (session != session_ || token < token_) return;
    bool higher = token > token_;
    token_ = token;
    leaseFrom_ = sent;
    execute(doc["orders"]);
    if (higher && env_.now() - lastHigher_ > static_cast<Ms>(timing_.leaseS * 500)) {
      lastHigher_ = env_.now();
      soon();
    }
  }
  void receive(HttpRequest r, Responder done) {
    if (!alive_) return;
    if (env_.now() < cutUntil) {
      if (keepLate)
        later(cutUntil - env_.now() + env_.pick(200), [this, r] { unlessHung([this, r] { handle(r, [](const HttpResponse&) {}); }); });
      return;
    }
    unlessHung([this, r = std::move(r), done = std::move(done)] { handle(r, done); });
  }
  void handle(const HttpRequest& r, const Responder& done) {
    if (r.target == "/show") return done({200, body(), false, 0});
    auto doc = Json::parse(r.body);
    if (!doc.contains("epoch") || !doc.contains("tenure")) return done(reply(400, Json::object()));
    auto token = doc["epoch"].get<std::uint64_t>();
    if (token < token_ || doc["tenure"].get<std::uint64_t>() != session_) return done({409, body(), false, 0});
    bool higher = token > token_;
    token_ = token;
    execute(doc["orders"]);
    done({200, body(), false, 0});
    if (higher && env_.now() - lastHigher_ > static_cast<Ms>(timing_.leaseS * 500)) {
      lastHigher_ = env_.now();
      soon();
    }
  }
  void execute(const Json& orders) {
    for (const auto& order : orders) {
      auto name = order["piece"].get<std::string>();
      auto slash = name.rfind('/');
      Key key{name.substr(0, slash), static_cast<unsigned>(std::stoul(name.substr(slash + 1)))};
      auto attempt = order["try"].get<std::uint64_t>();
      auto it = tasks_.find(key);
      bool same = it != tasks_.end() && it->second.attempt == attempt;
      auto verb = order["verb"].get<std::string>();
      if (verb == "start" && !same) start(key, attempt);
      if (verb == "kill" && same && it->second.state != "ended") kill(key, order.value("grace_s", 0.0));
      if (verb == "forget" && same && it->second.state == "ended") tasks_.erase(it);
    }
  }
  void start(const Key& key, std::uint64_t attempt) {
    auto held = tasks_.find(key);
    if (held != tasks_.end() && held->second.state != "ended") {
      env_.note("busy " + key.first + "/" + std::to_string(key.second) + " on " + machine_.id);
      return;  // another attempt is here; the report cannot show both
    }
    auto job = checker_.jobs.find(key.first);
    Task task{attempt, "fetching", "", false, false, ++lastRun_, 0};
    double used = 0, usedRam = 0;
    for (const auto& [other, t] : tasks_) {
      if (t.state == "ended") continue;
      used += checker_.jobs.at(other.first).cores;
      usedRam += checker_.jobs.at(other.first).ramGb;
    }
    if (job == checker_.jobs.end())
      task.state = "ended", task.cause = "unknown";
    else if (used + job->second.cores > machine_.cores + 1e-6 || usedRam + job->second.ramGb > machine_.ramGb + 1e-6)
      task.state = "ended", task.cause = "no_room";
    tasks_[key] = task;
    soon();
    if (task.state == "ended") return;
    auto image = job->second.spec["bundle"].get<std::string>();
    Ms fetch = images_.count(image) ? 5 : fetch_;
    later(fetch, [this, key, run = task.run, image] {
      unlessHung([this, key, run, image] {
        images_.insert(image);
        run_(key, run);
      });
    });
  }
  void run_(const Key& key, std::uint64_t run) {
    auto it = tasks_.find(key);
    if (it == tasks_.end() || it->second.run != run || it->second.state != "fetching") return;
    const auto& job = checker_.jobs.at(key.first);
    it->second.state = "running";
    it->second.onMachine = true;
    it->second.startedAt = env_.now();
    checker_.started(machine_.id, machine_.type, machine_.zone, machine_.spot, key.first, key.second, it->second.attempt);
    soon();
    if (job.gang && !job.fails) return join(key, run);
    if (job.service && !job.fails) return;
    Ms time = job.completed.count(key.second) ? 10 : job.fails ? 300 : job.runTime;
    later(time, [this, key, run, fails = job.fails] {
      unlessHung([this, key, run, fails] {
        auto held = tasks_.find(key);
        if (held != tasks_.end() && held->second.run == run && held->second.state == "running")
          end(key, fails ? "error" : "done");
      });
    });
  }
  // A task of a gang waits for the others; all start and complete together.
  void join(const Key& key, std::uint64_t run) {
    auto& task = tasks_.at(key);
    auto& gang = gangs_[{key.first, task.attempt}];
    task.state = "gathering";
    gang.present[key.second] = this;
    const auto& job = checker_.jobs.at(key.first);
    if (job.gangDone) return end(key, "done");
    if (gang.present.size() == job.tasks && !gang.started) {
      gang.started = true;
      env_.note("gang starts " + key.first + " try " + std::to_string(task.attempt));
      for (auto& [index, worker] : gang.present) worker->member(key.first, index, task.attempt, "running");
      env_.after(job.runTime, [this, &gangs = gangs_, &checker = checker_, id = std::pair{key.first, task.attempt}] {
        auto& running = gangs[id];
        if (running.ended) return;
        running.done = true;
        checker.jobs.at(id.first).gangDone = true;
        auto members = running.present;
        for (auto& [index, worker] : members) worker->member(id.first, index, id.second, "done");
      });
      return;
    }
    later(static_cast<Ms>(timing_.gangWaitS * 1000), [this, key, run] {
      auto held = tasks_.find(key);
      if (held != tasks_.end() && held->second.run == run && held->second.state == "gathering") end(key, "alone");
    });
  }
  void member(const std::string& job, unsigned index, std::uint64_t attempt, const std::string& what) {
    later(0, [this, key = Key{job, index}, attempt, what] {
      unlessHung([this, key, attempt, what] {
        auto held = tasks_.find(key);
        if (held == tasks_.end() || held->second.attempt != attempt || held->second.state == "ended") return;
        if (what == "running") {
          held->second.state = "running";
          soon();
        } else {
          end(key, what);
        }
      });
    });
  }
  // A task of a gang is gone: the others notice.
  void leave(const Key& key, std::uint64_t attempt) {
    auto found = gangs_.find({key.first, attempt});
    if (found == gangs_.end()) return;
    auto& gang = found->second;
    gang.present.erase(key.second);
    if (!gang.started || gang.ended || gang.done) return;
    gang.ended = true;
    auto members = gang.present;
    env_.after(static_cast<Ms>(timing_.gangPeerS * 900), [&gangs = gangs_, id = found->first] {
      auto left = gangs[id].present;
      for (auto& [index, worker] : left) worker->member(id.first, index, id.second, "peers");
    });
  }
  void end(const Key& key, const std::string& cause) {
    auto& task = tasks_.at(key);
    if (task.onMachine) leave(key, task.attempt);
    if (task.onMachine) checker_.gone(machine_.id, key.first, key.second, cause);
    task.onMachine = false;
    task.state = "ended";
    task.cause = cause;
    soon();
  }
  void kill(const Key& key, double grace) {
    auto& task = tasks_.at(key);
    const auto& spec = checker_.jobs.at(key.first).spec;
    double every = spec["snapshot_every_s"].get<double>(), save = spec["snapshot_s"].get<double>();
    if (task.state == "flushing" && grace > 0) return;
    if (task.state != "running" || every <= 0 || grace < save) return end(key, "halted");
    task.state = "flushing";
    soon();
    later(static_cast<Ms>(save * 1000), [this, key, run = task.run] {
      unlessHung([this, key, run] {
        auto held = tasks_.find(key);
        if (held == tasks_.end() || held->second.run != run || held->second.state != "flushing") return;
        held->second.saved = true;
        end(key, "halted");
      });
    });
  }
  void dropTasks(const std::string& why) {
    for (auto& [key, task] : tasks_)
      if (task.onMachine) {
        leave(key, task.attempt);
        checker_.gone(machine_.id, key.first, key.second, why);
      }
    tasks_.clear();
  }
  void checkLease() {
    later(50, [this] { checkLease(); });
    if (env_.now() < hungUntil) return;
    if (env_.now() - leaseFrom_ <= static_cast<Ms>(timing_.leaseS * 1000)) return;
    if (!tasks_.empty()) {
      ++leasesLost;
      env_.note("lease over on " + machine_.id + " with " + std::to_string(tasks_.size()) + " tasks");
    }
    dropTasks("lease over");
    ++session_;
    leaseFrom_ = env_.now();
  }

  Env& env_;
  Checker& checker_;
  const Timing& timing_;
  MachineInfo machine_;
  std::vector<Address> controllers_;
  std::vector<std::string> names_;
  Ms fetch_;
  Gangs& gangs_;
  Service service_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
  std::uint64_t session_ = 1, serial_ = 0, token_ = 0, lastRun_ = 0, timer_ = 0;
  Ms leaseFrom_ = 0, lastReport_ = -10000, lastHigher_ = -1000000;
  bool reporting_ = false;
  int lastStatus_ = 200;
};

}  // namespace lab
