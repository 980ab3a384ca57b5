// Stand-ins of the cloud and of its machines with their workers.
#pragma once

#include <deque>
#include <memory>
#include <nlohmann/json.hpp>

#include "world/checker.h"
#include "world/gang_board.h"
#include "world/net.h"

namespace world {

// How a task behaves, by the world's own knowledge of the job.
struct JobBehavior {
  cherryloft::JobSpec spec;
  Ms run = 10'000;
  bool fails = false;
};
using JobBehaviors = std::map<std::string, JobBehavior>;

class Worker {
 public:
  Worker(Clock& clock, Net& net, Checker& checker, GangBoard& gangs, const JobBehaviors& natures,
         const cherryloft::Settings& settings, Machine machine, std::string address, double fetchGbPerS,
         cherryloft::Resources size, unsigned controllers);
  ~Worker() { die(); }
  void die();
  bool alive() const { return alive_ != nullptr; }
  void hang(Ms until) { hungUntil_ = until; }
  void notice(Ms takenAt) { takenAt_ = takenAt; }
  // Runs a task on nobody's order, to prove that the checker sees it.
  void plant(const std::string& job, std::uint32_t index);
  // From now on every task fails here soon after it began.
  void breakDown() { faulty_ = true; }
  // From now on it obeys no kill and no lease, to prove the same.
  void plantStubborn() { stubborn_ = true; }
  const Machine& machine() const { return machine_; }
  Room room() const;
  bool hangs() const { return clock_.now() < hungUntil_; }
  // Its member of a gang begins to run, or ends.
  void memberRuns(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  void endMember(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                 const std::string& cause);

 private:
  using Json = nlohmann::json;
  struct Held {
    std::uint64_t attempt = 0;
    std::string state, cause;
    bool onMachine = false;
    Ms givenAt = 0;         // when the command to start it was sent
    std::uint64_t run = 0;  // distinguishes timers of earlier tasks
  };
  using Key = std::pair<std::string, std::uint32_t>;

  template <class F>
  void later(Ms d, F f) {
    clock_.after(d, [f = std::move(f), alive = std::weak_ptr<bool>(alive_)] {
      if (alive.lock()) f();
    });
  }
  void awake(std::function<void()> f);
  void schedule(Ms d);
  void report();
  void answered(Ms sentAt, std::uint64_t incarnation, const HttpResult& r, Ms givenAt);
  void handle(HttpRequest r, Reply reply, Ms givenAt);
  void execute(const Json& commands, Ms givenAt);
  void start(const Key& k, std::uint64_t attempt, Ms givenAt);
  void fetched(const Key& k, std::uint64_t run);
  void kill(const Key& k, double graceS);
  void end(const Key& k, const std::string& cause);
  Held* member(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  void leaveGang(const Key& k, const Held& held);
  void checkLease();
  void dropTasks();
  void changed();
  Json body();

  Clock& clock_;
  Net& net_;
  Checker& checker_;
  GangBoard& gangs_;
  const JobBehaviors& natures_;
  const cherryloft::Settings& settings_;
  Machine machine_;
  std::string address_;
  double fetch_;
  cherryloft::Resources size_;
  unsigned controllers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t session_ = 1, serial_ = 0, token_ = 0, runs_ = 0;
  Ms leaseFrom_, lastReport_ = -10'000, hungUntil_ = 0;
  std::optional<Ms> takenAt_;
  unsigned target_ = 0;
  bool reporting_ = false, stubborn_ = false, faulty_ = false;
  std::uint64_t timer_ = 0;
  std::map<Key, Held> tasks_;
  std::set<std::string> images_;
};

struct CloudType {
  std::string name;
  cherryloft::Resources size;
  double price = 1, spotPrice = 0.4;
  Ms boot = 5000;
  double cacheGb = 50, fetchGbPerS = 1;
  unsigned capacity = 4, spotCapacity = 2;  // in each zone
};

class Cloud {
 public:
  Cloud(Clock& clock, Net& net, Checker& checker, const JobBehaviors& natures,
        const cherryloft::Settings& settings, std::vector<CloudType> types, unsigned controllers);
  void addRunning(const std::string& type, const std::string& zone);
  void outage(Ms until) { outageUntil_ = until; }
  void noBoot(Ms until) { noBootUntil_ = until; }
  void noCapacity(Ms until) { noCapacityUntil_ = until; }
  void die(const std::string& machine);
  void reclaim(const std::string& machine, Ms notice);
  // Its worker ends with all it has, and another one begins from the start.
  void reboot(const std::string& machine, Ms after);
  std::string zoneOf(const std::string& machine) const;
  std::vector<std::string> allUp() const;
  std::vector<Room> rooms() const;
  std::vector<std::string> inZone(const std::string& zone) const;
  Worker* worker(const std::string& machine);
  // The n-th machine that is up, in order of names; null if there are fewer.
  Worker* nth(unsigned n);
  const GangCounts& gangs() const { return gangs_.counts(); }
  std::size_t held() const;
  std::size_t rented() const { return rented_; }
  // The most requests within one second.
  std::size_t busiestSecond() const { return calls_.busiest(); }

 private:
  struct Rented {
    Machine machine;
    Ms since = 0, upAt = -1, failedAt = -1, goneAt = -1;
    std::unique_ptr<Worker> worker;
  };
  void handle(HttpRequest r, Reply reply);
  HttpResponse rent(const std::string& body);
  HttpResponse giveBack(const std::string& body);
  HttpResponse list(const HttpRequest& r);
  Rented& create(const std::string& type, const std::string& zone, bool spot);
  void up(const std::string& id);
  std::string addressOf(const std::string& id) const;

  Clock& clock_;
  Net& net_;
  Checker& checker_;
  const JobBehaviors& natures_;
  const cherryloft::Settings& settings_;
  std::vector<CloudType> types_;
  unsigned controllers_;
  GangBoard gangs_;
  std::map<std::string, Rented> machines_;
  std::map<std::string, HttpResponse> claims_;
  unsigned count_ = 0;
  std::size_t rented_ = 0;
  Busiest calls_;
  Ms outageUntil_ = 0, noBootUntil_ = 0, noCapacityUntil_ = 0;
};

}  // namespace world
