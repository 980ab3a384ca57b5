#include "world/cloud.h"

namespace world {
namespace {
constexpr Ms kFailsAfter = 500;

std::string taskName(const std::pair<std::string, std::uint32_t>& k) {
  return k.first + "/" + std::to_string(k.second);
}
}  // namespace

Worker::Worker(Clock& clock, Network& net, Checker& checker, GangRendezvous& gangs,
               const JobBehaviors& behaviors, const cherryloft::Settings& settings, Machine machine,
               std::string address, double fetchGbPerS, cherryloft::Resources size, unsigned controllers)
    : clock_(clock),
      net_(net),
      checker_(checker),
      gangs_(gangs),
      behaviors_(behaviors),
      settings_(settings),
      machine_(std::move(machine)),
      address_(std::move(address)),
      fetchGbPerS_(fetchGbPerS),
      size_(size),
      controllers_(controllers),
      leaseFrom_(clock.now()),
      target_(static_cast<unsigned>(clock.rng() % controllers)) {
  net_.serve(machine_.id, [this](const std::string&, HttpRequest r, Reply reply) {
    runUnlessHung(
        [this, r = std::move(r), reply = std::move(reply), at = net_.sentAt()] { handle(r, reply, at); });
  });
  scheduleReport(static_cast<Ms>(clock_.uniform(50, 1000)));
  checkLease();
}

void Worker::terminate() {
  if (!alive_) return;
  alive_.reset();
  net_.stopServing(machine_.id);
  dropTasks();
}

void Worker::dropTasks() {
  for (auto& [k, h] : tasks_) {
    if (h.onMachine) checker_.handleTaskExit(machine_.id, k.first, k.second, false);
    notifyGangOfExit(k, h);
  }
  tasks_.clear();
}

// A machine that hangs defers everything until it resumes.
void Worker::runUnlessHung(std::function<void()> f) {
  if (clock_.now() < hungUntil_)
    later(hungUntil_ - clock_.now(), std::move(f));
  else
    f();
}

void Worker::scheduleReport(Ms d) {
  later(d, [this, scheduled = ++timer_] {
    if (scheduled == timer_) runUnlessHung([this] { report(); });
  });
}

void Worker::reportSoon() {
  if (!reporting_) scheduleReport(std::max<Ms>(0, lastReport_ + 500 - clock_.now()));
}

Worker::Json Worker::reportBody() {
  Json list = Json::array();
  for (const auto& [k, h] : tasks_) {
    Json e{{"piece", taskName(k)}, {"try", h.attempt}, {"status", h.state}};
    if (h.state == "ended") e["exit_cause"] = h.cause;
    list.push_back(std::move(e));
  }
  Json j{{"host", machine_.id},   {"addr", address_},          {"flavour", machine_.type},
         {"site", machine_.zone}, {"lendable", machine_.spot}, {"tenure", session_},
         {"serial", ++serial_},   {"epoch", token_},           {"pieces", std::move(list)}};
  if (reclaimAt_) j["reclaim_in_s"] = static_cast<double>(*reclaimAt_ - clock_.now()) / 1000.0;
  return j;
}

void Worker::report() {
  if (reporting_) return;
  reporting_ = true;
  lastReport_ = clock_.now();
  HttpRequest r{"POST", "/checkin", reportBody().dump(), false};
  net_.call(
      machine_.id, "node" + std::to_string(target_), std::move(r), 4000,
      [this, sent = clock_.now(), incarnation = session_, alive = std::weak_ptr<bool>(alive_)](HttpResult h) {
        if (!alive.lock()) return;
        runUnlessHung([this, sent, incarnation, h, given = net_.sentAt()] {
          reporting_ = false;
          handleReportResponse(sent, incarnation, h, given);
        });
      });
}

void Worker::handleReportResponse(Ms sentAt, std::uint64_t incarnation, const HttpResult& r,
                                  Ms commandSentAt) {
  auto next = [this] {
    checker_.reportLost();
    target_ = (target_ + 1) % controllers_;
    scheduleReport(1000);
  };
  if (r.outcome != HttpResult::Outcome::Answered) return next();
  if (r.response.status == 421) {
    auto doc = Json::parse(r.response.body, nullptr, false);
    auto owner = doc.is_object() ? doc.value("steward", std::string()) : "";
    for (unsigned i = 0; i < controllers_; ++i)
      if (owner == settings_.controllers[i].value && i != target_) {
        target_ = i;
        return scheduleReport(static_cast<Ms>(clock_.uniform(0, 500)));
      }
    return next();
  }
  if (r.response.status != 200 || clock_.now() - sentAt > 4000) return next();
  auto doc = Json::parse(r.response.body);
  scheduleReport(static_cast<Ms>(settings_.heartbeatIntervalS * 1000 * clock_.uniform(0.75, 1.25)));
  auto token = doc.value("epoch", std::uint64_t{0});
  if (incarnation != session_ || token < token_) return;  // stale: does not renew the lease
  bool higher = token > token_;
  token_ = token;
  leaseFrom_ = sentAt;
  execute(doc["orders"], CommandRoute::HeartbeatAnswer, commandSentAt);
  if (higher) reportSoon();
}

void Worker::handle(HttpRequest r, Reply reply, Ms commandSentAt) {
  if (r.target == "/show") return reply({200, reportBody().dump(), false, 0});
  auto doc = Json::parse(r.body);
  if (!doc.contains("epoch") || !doc.contains("tenure")) return reply({400, "{}", false, 0});
  auto token = doc["epoch"].get<std::uint64_t>();
  if (cherryloft::epochOf({token}) < cherryloft::epochOf({token_}) && !doc["orders"].empty())
    checker_.commandFenced();
  if (token < token_ || doc["tenure"].get<std::uint64_t>() != session_)
    return reply({409, reportBody().dump(), false, 0});
  bool higher = token > token_;
  token_ = token;
  execute(doc["orders"], CommandRoute::Direct, commandSentAt);
  reply({200, reportBody().dump(), false, 0});
  if (higher) reportSoon();
}

void Worker::execute(const Json& commands, CommandRoute route, Ms commandSentAt) {
  for (const auto& o : commands) {
    auto name = o["piece"].get<std::string>();
    auto slash = name.rfind('/');
    TaskKey k{name.substr(0, slash), static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
    auto attempt = o["try"].get<std::uint64_t>();
    auto it = tasks_.find(k);
    bool same = it != tasks_.end() && it->second.attempt == attempt;
    auto verb = o["verb"].get<std::string>();
    if (verb == "start" && !same) start(k, attempt, route, commandSentAt);
    if (verb == "kill" && same && !ignoresKills_ && it->second.state != "ended")
      kill(k, o.value("grace_s", 0.0));
    if (verb == "forget" && same && it->second.state == "ended") tasks_.erase(it);
  }
}

void Worker::start(const TaskKey& k, std::uint64_t attempt, CommandRoute route, Ms commandSentAt) {
  auto behavior = behaviors_.find(k.first);
  auto it = tasks_.find(k);
  HeldTask h;
  h.attempt = attempt;
  h.commandSentAt = commandSentAt;
  h.run = ++lastTimerRun_;
  if (it != tasks_.end() && it->second.state != "ended") {
    // The task is here with another attempt. The report cannot show a rejected attempt next to it, so the
    // command is ignored.
    return;
  }
  cherryloft::Resources used;
  for (const auto& [other, held] : tasks_)
    if (held.state != "ended") used += behaviors_.at(other.first).spec.each;
  h.state = "fetching";
  if (behavior == behaviors_.end())
    h.state = "ended", h.cause = "unknown";
  else if (!(used + behavior->second.spec.each).fitsIn(size_))
    h.state = "ended", h.cause = "no_room";
  tasks_[k] = h;
  reportSoon();
  if (h.state == "ended") return;
  if (route == CommandRoute::Direct) checker_.startedByDirectCommand(machine_, taskName(k));
  const auto& spec = behavior->second.spec;
  Ms fetch = images_.count(spec.image.value) ? 10 : static_cast<Ms>(1000 * spec.imageGb / fetchGbPerS_) + 10;
  later(fetch, [this, k, run = h.run] { runUnlessHung([this, k, run] { imageFetched(k, run); }); });
}

void Worker::imageFetched(const TaskKey& k, std::uint64_t run) {
  auto it = tasks_.find(k);
  if (it == tasks_.end() || it->second.run != run || it->second.state != "fetching") return;
  const auto& behavior = behaviors_.at(k.first);
  images_.insert(behavior.spec.image.value);
  bool gang = behavior.spec.kind == cherryloft::JobKind::Gang;
  it->second.state = gang ? "gathering" : "running";
  it->second.onMachine = true;
  checker_.taskStarted(machine_, k.first, k.second, it->second.commandSentAt);
  reportSoon();
  if (gang && !behavior.fails && !faulty_)
    return gangs_.memberReady(*this, behavior, k.second, it->second.attempt);
  bool fails = behavior.fails || faulty_;
  if (behavior.spec.kind == cherryloft::JobKind::Service && !fails) return;
  Ms runTime = fails ? kFailsAfter : behavior.runTime;
  later(runTime, [this, k, run, fails] {
    runUnlessHung([this, k, run, fails] {
      auto held = tasks_.find(k);
      bool present = held != tasks_.end() && held->second.run == run;
      if (present && (held->second.state == "running" || held->second.state == "gathering"))
        end(k, fails ? "error" : "done");
    });
  });
}

void Worker::end(const TaskKey& k, const std::string& cause) {
  auto& h = tasks_.at(k);
  if (h.onMachine) checker_.handleTaskExit(machine_.id, k.first, k.second, cause == "done");
  h.onMachine = false;
  h.state = "ended";
  h.cause = cause;
  reportSoon();
}

void Worker::failTasksOf(const std::string& job) {
  std::vector<TaskKey> running;
  for (const auto& [k, held] : tasks_)
    if (k.first == job && held.state == "running") running.push_back(k);
  for (const auto& k : running) {
    notifyGangOfExit(k, tasks_.at(k));
    end(k, "error");
  }
}

// A running task with checkpoints saves its progress if the grace period allows; a second kill without a
// grace period aborts the save.
void Worker::kill(const TaskKey& k, double gracePeriodS) {
  auto& held = tasks_.at(k);
  const auto& spec = behaviors_.at(k.first).spec;
  bool maySave = spec.checkpointIntervalSeconds > 0 && gracePeriodS >= spec.checkpointSeconds;
  if (held.state == "flushing" && gracePeriodS > 0) return;
  if (held.state != "running" || !maySave) {
    notifyGangOfExit(k, held);
    return end(k, "halted");
  }
  held.state = "flushing";
  reportSoon();
  if (spec.kind == cherryloft::JobKind::Gang) return gangs_.memberNotified(k.first, k.second, held.attempt);
  later(static_cast<Ms>(spec.checkpointSeconds * 1000), [this, k, run = held.run] {
    runUnlessHung([this, k, run] {
      auto it = tasks_.find(k);
      if (it != tasks_.end() && it->second.run == run && it->second.state == "flushing") end(k, "halted");
    });
  });
}

Worker::HeldTask* Worker::findMember(const std::string& job, std::uint32_t index, std::uint64_t attempt) {
  auto it = tasks_.find({job, index});
  bool present = it != tasks_.end() && it->second.attempt == attempt && it->second.state != "ended";
  return present ? &it->second : nullptr;
}

void Worker::memberStarted(const std::string& job, std::uint32_t index, std::uint64_t attempt) {
  if (auto* held = findMember(job, index, attempt)) held->state = "running";
  reportSoon();
}

void Worker::endMember(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                       const std::string& cause) {
  later(0, [this, job, index, attempt, cause] {
    runUnlessHung([this, job, index, attempt, cause] {
      if (const auto* held = findMember(job, index, attempt)) {
        notifyGangOfExit({job, index}, *held);
        end({job, index}, cause);
      }
    });
  });
}

// Tasks that are not members of a gang are unknown to the rendezvous.
void Worker::notifyGangOfExit(const TaskKey& k, const HeldTask& held) {
  if (held.onMachine) gangs_.memberLeft(k.first, k.second, held.attempt, *this);
}

void Worker::injectTask(const std::string& job, std::uint32_t index) {
  checker_.taskStarted(machine_, job, index, clock_.now());
}

void Worker::injectDirectStart(const std::string& job, std::uint32_t index) {
  Json command{{"verb", "start"}, {"piece", taskName({job, index})}, {"try", 1}};
  Json body{{"epoch", token_}, {"tenure", session_}, {"orders", Json::array({std::move(command)})}};
  handle(
      {"POST", "/commands", body.dump(), false}, [](const HttpResponse&) {}, clock_.now());
}

MachineState Worker::state() const {
  MachineState r{machine_, size_, clock_.now() >= hungUntil_ && !reclaimAt_, {}};
  for (const auto& [k, held] : tasks_) {
    if (held.state == "ended") continue;
    r.free -= behaviors_.at(k.first).spec.each;
    r.tasks.push_back(k);
  }
  return r;
}

void Worker::checkLease() {
  later(100, [this] { checkLease(); });
  if (clock_.now() < hungUntil_ || ignoresKills_) return;
  if (clock_.now() - leaseFrom_ <= static_cast<Ms>(settings_.workerLeaseS * 1000)) return;
  if (!tasks_.empty()) checker_.leaseExpired();
  dropTasks();
  ++session_;
  leaseFrom_ = clock_.now();
}

}  // namespace world
