// Test doubles of the cloud and of its machines with their workers.
#pragma once

#include <deque>
#include <memory>
#include <nlohmann/json.hpp>

#include "world/checker.h"
#include "world/gang_rendezvous.h"
#include "world/net.h"

namespace world {

// How the tasks of a job behave; known to the simulation only.
struct JobBehavior {
  cherryloft::JobSpec spec;
  Ms runTime = 10'000;
  bool fails = false;
};
using JobBehaviors = std::map<std::string, JobBehavior>;

class Worker {
 public:
  Worker(Clock& clock, Network& net, Checker& checker, GangRendezvous& gangs, const JobBehaviors& behaviors,
         const cherryloft::Settings& settings, Machine machine, std::string address, double fetchGbPerS,
         cherryloft::Resources size, unsigned controllers);
  ~Worker() { terminate(); }
  void terminate();
  bool alive() const { return alive_ != nullptr; }
  void hangUntil(Ms until) { hungUntil_ = until; }
  void announceReclaim(Ms reclaimAt) { reclaimAt_ = reclaimAt; }
  // Starts a task without a command, to test that the checker detects it.
  void injectTask(const std::string& job, std::uint32_t index);
  // A direct command with its token and incarnation starts the task, to test that the checker detects it.
  void injectDirectStart(const std::string& job, std::uint32_t index);
  // From now on every task on this worker fails shortly after its start.
  void failAllTasks() { faulty_ = true; }
  // Its tasks are gone, as if the agent had restarted, while its counters and its token go on.
  void loseTasks() { dropTasks(); }
  // Its running tasks of that job fail now.
  void failTasksOf(const std::string& job);
  // From now on the worker ignores kills and the end of its lease, to test that the checker detects it.
  void ignoreKills() { ignoresKills_ = true; }
  const Machine& machine() const { return machine_; }
  MachineState state() const;
  bool isHung() const { return clock_.now() < hungUntil_; }
  // Its member of a gang starts to run, or ends.
  void memberStarted(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  void endMember(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                 const std::string& cause);

 private:
  using Json = nlohmann::json;
  struct HeldTask {
    std::uint64_t attempt = 0;
    std::string state, cause;
    bool onMachine = false;
    Ms commandSentAt = 0;   // when the command to start it was sent
    std::uint64_t run = 0;  // distinguishes timers of earlier tasks
  };
  using TaskKey = std::pair<std::string, std::uint32_t>;

  template <class F>
  void later(Ms d, F f) {
    clock_.after(d, [f = std::move(f), alive = std::weak_ptr<bool>(alive_)] {
      if (alive.lock()) f();
    });
  }
  void runUnlessHung(std::function<void()> f);
  void scheduleReport(Ms d);
  void report();
  void handleReportResponse(Ms sentAt, std::uint64_t incarnation, const HttpResult& r, Ms commandSentAt);
  void handle(HttpRequest r, Reply reply, Ms commandSentAt);
  // How commands reached the worker.
  enum class CommandRoute : std::uint8_t { Direct, HeartbeatAnswer };
  void execute(const Json& commands, CommandRoute route, Ms commandSentAt);
  void start(const TaskKey& k, std::uint64_t attempt, CommandRoute route, Ms commandSentAt);
  void imageFetched(const TaskKey& k, std::uint64_t run);
  void kill(const TaskKey& k, double gracePeriodS);
  void end(const TaskKey& k, const std::string& cause);
  HeldTask* findMember(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  void notifyGangOfExit(const TaskKey& k, const HeldTask& held);
  void checkLease();
  void dropTasks();
  void reportSoon();
  Json reportBody();

  Clock& clock_;
  Network& net_;
  Checker& checker_;
  GangRendezvous& gangs_;
  const JobBehaviors& behaviors_;
  const cherryloft::Settings& settings_;
  Machine machine_;
  std::string address_;
  double fetchGbPerS_;
  cherryloft::Resources size_;
  unsigned controllers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t session_ = 1, serial_ = 0, token_ = 0, lastTimerRun_ = 0;
  Ms leaseFrom_, lastReport_ = -10'000, hungUntil_ = 0;
  std::optional<Ms> reclaimAt_;
  unsigned target_ = 0;
  bool reporting_ = false, ignoresKills_ = false, faulty_ = false;
  std::uint64_t timer_ = 0;
  std::map<TaskKey, HeldTask> tasks_;
  std::set<std::string> images_;
};

struct CloudType {
  std::string name;
  cherryloft::Resources size;
  double price = 1, spotPrice = 0.4;
  Ms boot = 5000;
  double cacheGb = 50, fetchGbPerS = 1;
  unsigned capacity = 4, spotCapacity = 2;  // per zone
};

class Cloud {
 public:
  Cloud(Clock& clock, Network& net, Checker& checker, const JobBehaviors& behaviors,
        const cherryloft::Settings& settings, std::vector<CloudType> types, unsigned controllers);
  void addRunning(const std::string& type, const std::string& zone);
  void outage(Ms until) { outageUntil_ = until; }
  void failBoots(Ms until) { bootsFailUntil_ = until; }
  void denyCapacity(Ms until) { capacityDeniedUntil_ = until; }
  void failMachine(const std::string& machine);
  void reclaim(const std::string& machine, Ms notice);
  // All running tasks of the job fail now.
  void failTasksOf(const std::string& job);
  // Its worker terminates with all tasks, and a new worker boots after the delay.
  void reboot(const std::string& machine, Ms after);
  std::string zoneOf(const std::string& machine) const;
  std::vector<std::string> allUp() const;
  std::vector<MachineState> machineStates() const;
  std::vector<std::string> inZone(const std::string& zone) const;
  Worker* worker(const std::string& machine);
  // The n-th machine that is up, ordered by id; null if there are fewer.
  Worker* nthUp(unsigned n);
  const GangCounts& gangs() const { return gangs_.counts(); }
  std::size_t machineCount() const;
  std::size_t totalRented() const { return rented_; }
  // The largest number of requests within one second.
  std::size_t peakRequestRate() const { return requestRate_.peak(); }

 private:
  struct RentedMachine {
    Machine machine;
    Ms since = 0, upAt = -1, failedAt = -1, goneAt = -1;
    std::unique_ptr<Worker> worker;
  };
  void handle(HttpRequest r, Reply reply);
  HttpResponse rent(const std::string& body);
  HttpResponse returnMachines(const std::string& body);
  HttpResponse list(const HttpRequest& r);
  RentedMachine& create(const std::string& type, const std::string& zone, bool spot);
  void bootCompleted(const std::string& id);
  std::string addressOf(const std::string& id) const;

  Clock& clock_;
  Network& net_;
  Checker& checker_;
  const JobBehaviors& behaviors_;
  const cherryloft::Settings& settings_;
  std::vector<CloudType> types_;
  unsigned controllers_;
  GangRendezvous gangs_;
  std::map<std::string, RentedMachine> machines_;
  std::map<std::string, HttpResponse> rentResponses_;
  unsigned count_ = 0;
  std::size_t rented_ = 0;
  PeakRate requestRate_;
  Ms outageUntil_ = 0, bootsFailUntil_ = 0, capacityDeniedUntil_ = 0;
};

}  // namespace world
