// Scheduler: one per owned share. It alone decides for the share's teams and machines.
#pragma once

#include <random>
#include <set>

#include "actors/books.h"
#include "actors/membership.h"
#include "actors/store.h"
#include "mesh/messages.h"
#include "policy/order.h"
#include "policy/preempt.h"
#include "wire/users.h"

namespace cherryloft {

class Scheduler {
 public:
  struct Outlet {
    std::function<void(const JobId&, JobStatus, Stamp)> ended;  // committed as done or aborted
    std::function<void(const mesh::ShareLoad&)> load;           // to the leader
    std::function<void()> abandon;                              // our ownership or our books are in doubt
    std::function<void(Stamp, const NodeId&, std::function<void(bool)>)> give;
  };
  struct CheckInAnswer {
    int status = 503;
    std::string body;
  };
  using CheckInDone = std::function<void(CheckInAnswer)>;

  Scheduler(const Settings& settings, Io& io, Log log, StateStore& store, const Directory& dir, Taken taken,
            Standing standing, std::uint64_t seed, Outlet out);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  void start();
  void standing(const Standing& s);
  void jobChanged(const JobId& id);
  void hostChanged(const HostId& id);
  CheckInAnswer checkIn(const wire::Report& r);
  void wish(const mesh::HostWish& w);
  void handBack(const NodeId& to);
  // Nothing if this actor may not answer now.
  std::optional<wire::JobView> poll(const JobId& id) const;
  // done is told the committed state; false if this actor can't take the request.
  bool withdraw(const JobId& id, std::function<void(JobStatus)> done);
  bool loaded() const { return loaded_; }
  ShareNo share() const { return taken_.share; }

 private:
  // Calls f only while this actor lives.
  template <class F>
  auto guarded(F f) {
    return [this, f = std::move(f), alive = std::weak_ptr<bool>(alive_)](auto&&... args) {
      if (alive.lock()) f(std::forward<decltype(args)>(args)...);
    };
  }
  bool owns() const { return standing_.owns(io_.now()); }

  // Loading (invariant 7).
  void load();
  void build(const ListResult& runs);
  void restore(Job& job, std::uint32_t chunk, const wire::RunRecord& run);
  Host& admit(const HostId& id, const KnownHost& known);

  // Machines.
  void apply(Host& h, const wire::Report& r, bool checkIn);
  void newTenure(Host& h);
  void lose(Host& h, const TaskId& task);
  void ended(Host& h, const wire::ReportedTask& t);
  void absent(Host& h, const wire::Report& r, bool checkIn);
  std::vector<wire::Order> orders(Host& h, const wire::Report* checkIn);
  void strayOrders(Host& h, std::vector<wire::Order>& out);
  void direct(Host& h);
  void directed(const HostId& id, Token used, const HttpResult& r);
  void sendAll(bool evenEmpty);
  void noticed(Host& h, const wire::Report& r);
  bool usable(const Host& h) const;
  void tick();
  void watchSilence(Host& h, Time now);
  void settleLeaving(Host& h);
  void settleEmptying(Host& h);
  std::optional<std::vector<TaskId>> movableReplicas(const Host& h) const;
  void writeHost(Host& h, wire::HostRecord record, bool newToken);
  void stop(Host& h, const TaskId& id, Placement& p);
  void dropHost(const HostId& id);
  void sendLoad();
  void stuckZones(const Job& job, mesh::Demand& d) const;
  bool zoneAllows(const Job& job, const Zone& zone, const std::map<Zone, unsigned>& zones) const;

  // Rounds.
  void wake(bool everywhere, const HostId* at = nullptr);
  void round();
  void place();
  struct Ranked {
    Job* job;
    policy::Candidate c;
  };
  std::vector<Ranked> candidates();
  unsigned placeSome(Job& job, unsigned most);
  bool placeGang(Job& job);
  bool keepEmptying();
  bool anyRoom(const Job& job) const;
  bool tooSlow(const Job& job, const Host& h) const;
  bool holderCouldMakeRoom(const Job& job, const std::map<Zone, unsigned>& zones) const;
  std::pair<std::vector<policy::Victim>, std::vector<TaskId>> victims(const Job& job, bool guaranteed,
                                                                      const Host& h) const;
  void gangBroken(Job& job);
  bool allowed(const Job& job, const Host& h, const std::map<Zone, unsigned>& zones) const;
  Host* choose(Job& job, std::set<HostId>& refused);
  void makeRoom(const std::vector<Ranked>& blocked);
  void commit();
  void committed(const TxnResult& r);
  void addTerminal(wire::Transaction& t, std::size_t& weight);
  void addRuns(wire::Transaction& t, std::size_t& weight);
  void cleanUp(Job& job);
  bool fits(const wire::Transaction& t, std::size_t weight, const wire::Write& w) const;
  void answerWithdrawers(Job& job, JobStatus s);

  const Settings& settings_;
  Io& io_;
  Log log_;
  StateStore& store_;
  const Directory& dir_;
  Taken taken_;
  Standing standing_;
  std::mt19937_64 rng_;
  Outlet out_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  Books books_;
  bool loaded_ = false;
  Time loadStarted_{};
  std::uint64_t attempts_ = 0;
  std::optional<NodeId> givingTo_;
  bool gaveUpShare_ = false;

  bool roundSet_ = false;
  bool drawEverywhere_ = false;
  std::set<HostId> drawAt_;

  std::set<std::pair<JobId, std::uint32_t>> dirty_;  // run/ keys to write
  std::set<JobId> ending_;                           // jobs to write as done or aborted
  std::map<std::string, Stamp> drops_;               // run/ keys that are of no more use
  bool committing_ = false;
  Time commitNotBefore_{};
  struct InFlight {
    wire::Transaction txn;
    std::vector<std::pair<JobId, std::uint32_t>> runs;
    std::vector<std::tuple<HostId, TaskId, Attempt>> placed;
    std::vector<std::pair<JobId, std::uint32_t>> done;  // tasks
    std::vector<std::pair<JobId, JobStatus>> ended;
    std::vector<std::string> dropped;
  };
  std::optional<InFlight> flight_;

  // Work that came of late, for the leader's sizing: when, cores, whether it may use spot machines.
  struct Arrival {
    Time at;
    double cores;
    bool lendable;
  };
  std::deque<Arrival> arrivals_;
};

}  // namespace cherryloft
