// The controllers as processes, the stand-ins around them, and users.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "cloud.h"
#include "proxy.h"
#include "state.h"

namespace lab {

struct Deployment {
  unsigned size = 3;
  Timing timing;
  std::vector<std::string> zones{"a", "b"};
  std::vector<Cloud::Type> types{{"m", 8, 6, 1500}};
  std::vector<double> limits{24, 24, 24};  // cores at most, of each team; the guarantee is half of it
  double rps = 200, writeRps = 80, valueKb = 4, listLagS = 2;
  unsigned txnOps = 12;
  unsigned atStart = 0;  // machines of the first type that run at the start
};

inline std::string teamName(unsigned i) { return "team-" + std::to_string(i); }

class Cluster {
 public:
  struct Controller {
    std::string name, settingsFile;
    Address front, mesh;
    pid_t pid = -1;
    bool stopped = false;
    bool wanted = false;  // should run: an end by itself is noted
  };
  Cluster(Env& env, const Deployment& d, std::vector<std::string> run, std::string folder, std::string logLevel)
      : env_(env), d_(d), run_(std::move(run)), folder_(std::move(folder)), logLevel_(std::move(logLevel)),
        checker(env, d.timing.cancelS), state(env, d.size, d.txnOps, static_cast<std::size_t>(d.valueKb * 1024)),
        cloud(env, checker, d_.timing, d.zones, d.types, d.listLagS) {
    for (unsigned i = 0; i < d.size; ++i) {
      controllers.push_back({"loftnode-" + std::to_string(i), folder_ + "/" + std::to_string(i) + ".json",
                             freeAddress(), freeAddress()});
      cloud.fronts.push_back(controllers[i].front);
      cloud.names.push_back(controllers[i].name);
    }
    for (unsigned i = 0; i < d.size; ++i)
      for (unsigned j = 0; j < d.size; ++j)
        if (i != j) links[{i, j}] = std::make_unique<Proxy>(env, controllers[j].mesh);
    for (unsigned i = 0; i < d.limits.size(); ++i) checker.limits[teamName(i)] = d.limits[i];
    for (unsigned i = 0; i < d.size; ++i) writeSettings(i);
    for (unsigned i = 0; i < d.atStart; ++i)
      cloud.up(cloud.create(d.types[0].name, d.zones[i % d.zones.size()], false));
    reap();
  }
  ~Cluster() {
    for (unsigned i = 0; i < controllers.size(); ++i) stopProcess(i);
  }

  // --- processes ---
  void startProcess(unsigned i) {
    auto& c = controllers[i];
    if (c.pid > 0) return;
    std::vector<std::string> words = run_;
    words.push_back(c.settingsFile);
    std::vector<char*> argv;
    for (auto& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    auto logFile = folder_ + "/" + c.name + ".log";
    auto parent = ::getpid();
    ::setenv("LOG_LEVEL", logLevel_.c_str(), 1);
    c.pid = ::fork();
    if (c.pid == 0) {
      // Ends with this process, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(127);
      int in = ::open("/dev/null", O_RDWR);
      int out = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(in, 0);
      ::dup2(in, 1);
      ::dup2(out, 2);
      ::close_range(3, ~0U, 0);
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    if (c.pid < 0) {
      env_.note("cannot start " + c.name);
      return;
    }
    c.wanted = true;
    c.stopped = false;
    env_.note(c.name + " starts");
  }
  void stopProcess(unsigned i) {
    auto& c = controllers[i];
    c.wanted = false;
    if (c.pid <= 0) return;
    ::kill(c.pid, SIGKILL);
    ::waitpid(c.pid, nullptr, 0);
    c.pid = -1;
    env_.note(c.name + " is killed");
  }
  void restart(unsigned i, Ms after) {
    stopProcess(i);
    env_.after(after, [this, i] { startProcess(i); });
  }
  void pause(unsigned i, Ms length) {
    auto& c = controllers[i];
    if (c.pid <= 0 || c.stopped) return;
    ::kill(c.pid, SIGSTOP);
    c.stopped = true;
    env_.note(c.name + " stands still");
    env_.after(length, [this, i, pid = c.pid] {
      auto& paused = controllers[i];
      if (paused.pid != pid) return;
      ::kill(pid, SIGCONT);
      paused.stopped = false;
      env_.note(paused.name + " goes on");
    });
  }
  // Cuts both directions between two controllers.
  void cutLink(unsigned i, unsigned j, Proxy::Mode mode, Ms length) {
    for (auto key : {std::pair{i, j}, std::pair{j, i}}) cutDirection(key.first, key.second, mode, length);
  }
  void cutDirection(unsigned from, unsigned to, Proxy::Mode mode, Ms length) {
    links.at({from, to})->set(mode);
    env_.after(length, [this, from, to] { links.at({from, to})->set(Proxy::Mode::Pass); });
  }
  int owner(unsigned shard) const { return ownerOf("share/" + std::to_string(shard)); }
  int leader() const { return ownerOf("share/leader"); }

  // --- users ---
  using Told = std::function<void(int status, const Json& body)>;
  static Json spec(const std::string& id, unsigned team, unsigned tasks, double cores) {
    return {{"name_id", id}, {"jobclass", "work"}, {"owner", teamName(team)}, {"shape", "sweep"}, {"rank", "normal"},
            {"pieces", tasks}, {"cores", cores}, {"gpus", 0.0}, {"ram_gb", 1.0}, {"bundle", "img-1"}, {"image_gb", 1.0},
            {"flavours", nullptr}, {"site", nullptr}, {"one_zone", false}, {"spread", false}, {"lendable", false},
            {"expect_s", 10.0}, {"snapshot_every_s", 0.0}, {"snapshot_s", 0.0}, {"due_s", nullptr}};
  }
  JobInfo& addJob(const Json& spec, Ms runTime) {
    auto& job = checker.jobs[spec["name_id"].get<std::string>()];
    job.spec = spec;
    job.id = spec["name_id"].get<std::string>();
    job.team = spec["owner"].get<std::string>();
    job.tasks = spec["pieces"].get<unsigned>();
    job.cores = spec["cores"].get<double>();
    job.ramGb = spec["ram_gb"].get<double>();
    job.runTime = runTime;
    job.service = spec["shape"] == "service";
    job.gang = spec["shape"] == "ensemble";
    return job;
  }
  void ask(unsigned node, const HttpRequest& request, Ms wait, Told told) {
    env_.client.call(controllers[node].front, request, Duration{wait}, [told = std::move(told)](const HttpResult& r) {
      if (r.outcome != HttpResult::Outcome::Answered) return told(0, Json());
      told(r.response.status, Json::parse(r.response.body, nullptr, false));
    });
  }
  // A node that the load balancer would choose: one that is believed to be healthy.
  unsigned anyNode() {
    std::vector<unsigned> healthy;
    for (unsigned i = 0; i < controllers.size(); ++i)
      if (healthy_[i]) healthy.push_back(i);
    if (healthy.empty()) return env_.pick(static_cast<unsigned>(controllers.size()));
    return healthy[env_.pick(static_cast<unsigned>(healthy.size()))];
  }
  void probeHealth() {
    healthy_.assign(controllers.size(), false);
    misses_.assign(controllers.size(), 0);
    for (unsigned i = 0; i < controllers.size(); ++i) probe(i);
  }
  bool healthy(unsigned i) const { return healthy_[i]; }
  // Submits until it is accepted, as users do.
  void submit(const std::string& id, int node = -1, std::function<void()> accepted = {}) {
    auto& job = checker.jobs.at(id);
    if (job.firstAttempt < 0) job.firstAttempt = env_.now();
    unsigned to = node >= 0 ? static_cast<unsigned>(node) : anyNode();
    ask(to, {"POST", "/v1/jobs", job.spec.dump(), false}, 5000,
        [this, id, node, accepted, to](int status, const Json& body) {
          auto& info = checker.jobs.at(id);
          checker.told(id, status, body, "submission");
          env_.note("submit " + id + " at " + std::to_string(to) + ": " + std::to_string(status));
          if (status == 200 || status == 201) {
            bool first = !info.accepted;
            info.accepted = true;
            if (first && accepted) accepted();
            return;
          }
          if (status == 400 || status == 422) return;
          if (env_.now() - info.firstAttempt < 60000)
            env_.after(1000 + env_.pick(500), [this, id, node, accepted] { submit(id, node, accepted); });
        });
  }
  // Polls every `every` until the job is done or cancelled, and goes on rarely after that.
  void poll(const std::string& id, Ms every, int node = -1) {
    unsigned to = node >= 0 ? static_cast<unsigned>(node) : anyNode();
    auto& asked = checker.jobs.at(id);
    bool wasOver = asked.toldDone >= 0 || asked.toldCancelled >= 0;
    ask(to, {"GET", "/v1/jobs/" + id, "", false}, 2000, [this, id, every, node, to, wasOver](int status, const Json& body) {
      auto& job = checker.jobs.at(id);
      auto over = [&] { return job.toldDone >= 0 || job.toldCancelled >= 0; };
      // Of two questions under way at once, the earlier may be answered with the older state.
      bool overlaps = !wasOver && over();
      if (!overlaps) {
        bool news = !over();
        checker.told(id, status, body, "poll");
        if (notePolls || (news && over()))
          env_.note("poll " + id + " at " + std::to_string(to) + ": " + std::to_string(status) + " " +
                    (body.is_object() ? body.dump() : ""));
      }
      ++polls[status];
      env_.after(over() ? every * 6 : every + env_.pick(200), [this, id, every, node] { poll(id, every, node); });
    });
  }
  void cancel(const std::string& id, int node = -1) {
    auto& job = checker.jobs.at(id);
    if (job.askedToCancel < 0) job.askedToCancel = env_.now();
    unsigned to = node >= 0 ? static_cast<unsigned>(node) : anyNode();
    ask(to, {"POST", "/v1/jobs/" + id + "/withdraw", "", false}, 5000, [this, id, node, to](int status, const Json& body) {
      checker.told(id, status, body, "cancellation");
      env_.note("cancel " + id + " at " + std::to_string(to) + ": " + std::to_string(status) + " " + (body.is_object() ? body.dump() : ""));
      if (status == 200) return;
      env_.after(1000 + env_.pick(500), [this, id, node] { cancel(id, node); });
    });
  }

 private:
  int ownerOf(const std::string& key) const {
    auto value = state.value(key);
    if (!value.is_object()) return -1;
    for (unsigned i = 0; i < controllers.size(); ++i)
      if (controllers[i].name == value.value("own", std::string())) return static_cast<int>(i);
    return -1;
  }
  void probe(unsigned i) {
    ask(i, {"GET", "/up", "", false}, 1000, [this, i](int status, const Json&) {
      misses_[i] = status == 200 ? 0 : misses_[i] + 1;
      if (status == 200) healthy_[i] = true;
      if (misses_[i] >= 2) healthy_[i] = false;
      env_.after(1000, [this, i] { probe(i); });
    });
  }
  void reap() {
    env_.after(100, [this] { reap(); });
    for (auto& c : controllers) {
      int status = 0;
      if (c.pid <= 0 || ::waitpid(c.pid, &status, WNOHANG) != c.pid) continue;
      c.pid = -1;
      if (c.wanted) checker.fail("ended_by_itself", c.name + " ended with wait status " + std::to_string(status));
      c.wanted = false;
    }
  }
  void writeSettings(unsigned i) {
    Json siblings = Json::array(), teams = Json::array();
    for (unsigned j = 0; j < d_.size; ++j)
      if (j != i)
        siblings.push_back({{"node", controllers[j].name}, {"location", d_.zones[j % d_.zones.size()]},
                            {"address", links.at({i, j})->address.text()}});
    for (unsigned t = 0; t < d_.limits.size(); ++t)
      teams.push_back({{"name", teamName(t)}, {"cpus", d_.limits[t] / 2}, {"cpus_max", d_.limits[t]}, {"gpus", 0.0}, {"gpus_max", 0.0}});
    Json settings{
        {"node", controllers[i].name}, {"location", d_.zones[i % d_.zones.size()]}, {"front", controllers[i].front.text()},
        {"mesh_addr", controllers[i].mesh.text()}, {"siblings", siblings},
        {"endpoints", {{"cloud", cloud.service.address.text()}, {"state", state.links[i]->service.address.text()}}},
        {"deployment",
         {{"size", d_.size}, {"zones", d_.zones}, {"teams", teams}, {"objectives", Json::array()},
          {"workers", {{"report_s", d_.timing.reportS}, {"lease_s", d_.timing.leaseS}, {"gang_wait_s", d_.timing.gangWaitS},
                       {"gang_peer_s", d_.timing.gangPeerS}, {"cancel_s", d_.timing.cancelS}}},
          {"state", {{"rps", d_.rps}, {"write_rps", d_.writeRps}, {"value_kb", d_.valueKb}, {"txn_ops", d_.txnOps}}},
          {"cloud", {{"rps", 6.0}, {"list_lag_s", d_.listLagS}}},
          {"machine_limits", {{"cores", 1.0}, {"ram_mb", 200.0}, {"fd_limit", 1000}}},
          {"clock_error_ms", 250.0}}}};
    std::ofstream(controllers[i].settingsFile) << settings.dump(2);
  }

  Env& env_;
  Deployment d_;
  std::vector<std::string> run_;
  std::string folder_, logLevel_;
  std::vector<bool> healthy_ = std::vector<bool>(8, true);
  std::vector<int> misses_ = std::vector<int>(8, 0);

 public:
  Checker checker;
  State state;
  Cloud cloud;
  std::vector<Controller> controllers;
  std::map<std::pair<unsigned, unsigned>, std::unique_ptr<Proxy>> links;
  std::map<int, std::uint64_t> polls;
  bool notePolls = false;
};

}  // namespace lab
