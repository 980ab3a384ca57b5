// Scheduler: one per owned shard. It alone decides for the shard's teams and machines.
#pragma once

#include <random>
#include <set>

#include "cluster/machine_group_rewrite.h"
#include "cluster/membership.h"
#include "kvstore/key_value_store.h"
#include "kvstore/transaction_builder.h"
#include "mesh/messages.h"
#include "policy/coupling.h"
#include "policy/gang.h"
#include "policy/order.h"
#include "policy/preempt.h"
#include "scheduler/failure_attribution.h"
#include "scheduler/shard_state.h"
#include "scheduler/start_latencies.h"
#include "wire/users.h"

namespace cherryloft {

class ShardScheduler {
 public:
  struct Callbacks {
    std::function<void(const JobId&, JobStatus, Version)> jobEnded;  // committed as done or cancelled
    std::function<void(const mesh::ShardLoad&)> load;                // to the leader
    std::function<void()> dropOwnership;  // our ownership or our shard state are in doubt
    // Through siblings; done is told a machine's report if one of them reaches it.
    std::function<void(const std::string& address, std::function<void(const std::string& body)> done)> probe;
    std::function<void(Version, const ControllerId&, std::function<void(bool)>)> transferOwnership;
    // The latest moment at which a sibling may have answered our workers in our name (invariant 15).
    std::function<Time()> answeredElsewhere;
    std::function<void(const mesh::CapacityRequest&)> requestCapacity;  // to the owners of all other shards
    std::function<void(const mesh::CapacityOffer&)> offerCapacity;  // to the owner of the shard that asked
    std::function<void(const mesh::TaskCapacityRequest&)>
        requestTaskCapacity;  // to the owners of all other shards
    std::function<void(const mesh::TaskCapacityOffer&)> offerTaskCapacity;  // to the owner that asked
  };
  struct HeartbeatAnswer {
    int status = 503;
    std::string body;
  };
  using HeartbeatDone = std::function<void(HeartbeatAnswer)>;

  ShardScheduler(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                 const ClusterView& view, ShardTakeover takeover, LeaseValidity leaseValidity,
                 std::uint64_t seed, Callbacks out);
  ShardScheduler(const ShardScheduler&) = delete;
  ShardScheduler& operator=(const ShardScheduler&) = delete;

  void start();
  void leaseValidity(const LeaseValidity& s);
  void jobChanged(const JobId& id);
  void machineChanged(const MachineId& id);
  HeartbeatAnswer handleHeartbeat(const wire::WorkerHeartbeat& r);
  void handleDirective(const mesh::MachineDirective& w);
  void returnToPreferredOwner(const ControllerId& to);
  // Another shard's owner looks for room for its jobs, or offers room for ours (scheduler_transfers.cpp).
  void handleCapacityRequest(const mesh::CapacityRequest& wanted);
  void handleCapacityOffer(const mesh::CapacityOffer& offer);
  // The same for some tasks of a job (scheduler_delegation.cpp).
  void handleTaskCapacityRequest(const mesh::TaskCapacityRequest& wanted);
  void handleTaskCapacityOffer(const mesh::TaskCapacityOffer& offer);
  // Nothing if this actor may not answer now.
  std::optional<wire::JobView> poll(const JobId& id) const;
  // done is told the committed state; false if this actor can't take the request.
  bool cancel(const JobId& id, std::function<void(JobStatus)> done);
  bool loaded() const { return loaded_; }
  // Every cancellation that touches the shard's machines is committed by this actor, and known: not before it
  // has loaded, nor while it places tasks of another shard's job.
  bool knowsCancellations() const { return loaded_ && delegatedHere_.empty(); }
  ShardId shard() const { return takeover_.shard; }
  // The revision of the shard's latest cancellation.
  Version lastCancelled() const { return lastCancelled_; }
  // What was decided since the last call, for operators.
  std::string summarizeLastMinute();
  const ShardCounters& counts() const { return latencies_.counts; }

 private:
  // Calls f only while this actor lives.
  template <class F>
  auto guarded(F f) {
    return [f = std::move(f), alive = std::weak_ptr<bool>(alive_)](auto&&... args) {
      if (alive.lock()) f(std::forward<decltype(args)>(args)...);
    };
  }
  bool owns() const { return leaseValidity_.owns(runtime_.now()); }

  // Loading (invariant 7).
  void load();
  void viewed(const std::string& prefix, std::function<void()> next);
  void loadRuns();
  void build(const ListResult& placementPages);
  struct Restored {
    wire::PlacementEntry entry;
    PageNumber page = kNoPage;
  };
  void restoreDone(const wire::PageRecord& page, PageNumber n, std::map<TaskId, Restored>& placed);
  void restorePlaced(const TaskId& task, const Restored& r);
  void restoreDelegation(const JobId& id, const JobEntry& known, const Delegation& delegation);
  Machine& admit(const MachineId& id, const MachineEntry& known);

  // Machines.
  // False if the report is not newer than what is known, or is not proven to be of the present.
  bool reconcile(Machine& h, const wire::WorkerHeartbeat& r, bool handleHeartbeat);
  void noteTokenAcknowledged(Machine& h, bool yes);
  static void advanceToken(Machine& h);
  static constexpr unsigned kUnansweredProbesToSuspect =
      2;  // questions without an answer that make a silent one suspected
  Duration reportDue() const;
  Duration timeSinceHeartbeat(const Machine& h) const;
  bool heartbeatOverdue(const Machine& h) const;
  void handleWorkerRestart(Machine& h, const wire::WorkerHeartbeat& r);
  void beginIncarnation(Machine& h);
  void taskLost(Machine& h, const TaskId& task);
  void taskEnded(Machine& h, const wire::ReportedTask& t);
  void quarantineFaulty(const JobId& job);
  void reviewFailures(Time now);
  void reconcileMissingTasks(Machine& h, const wire::WorkerHeartbeat& r, bool handleHeartbeat);
  std::vector<wire::Command> commandsFor(Machine& h, const wire::WorkerHeartbeat* handleHeartbeat);
  static void addCommands(std::vector<wire::Command>& list, std::vector<wire::Command> more);
  Duration maxCheckpointTime(const Job& job) const;
  void stopCommandsForUnknownTasks(Machine& h, std::vector<wire::Command>& out);
  void sendCommands(Machine& h);
  void sendCommandsToAll(const std::set<MachineId>& machines);
  // What a direct command went out with.
  struct Sent {
    FencingToken token;
    Incarnation incarnation;
    std::pair<Incarnation, SequenceNumber> known;  // the latest that the machine had said
    bool ask = false;                              // it carried no commands
  };
  void probeThroughPeers(Machine& h);
  void handleDirectAnswer(const MachineId& id, const Sent& sent, const HttpResult& r);
  void handleReclaimNotice(Machine& h, const wire::WorkerHeartbeat& r);
  Duration leaseAfterAnswer() const;
  void tick();
  bool stoodStill(Time now);
  void checkLiveness(Machine& h, Time now);
  bool suspected(const Machine& h, Time now) const;
  void returnSuspected(Time now);
  bool mayLeave(const Machine& h) const;
  void progressDrain(Machine& h);
  std::optional<std::vector<TaskId>> movableReplicas(const Machine& h) const;
  // What is to change in a machine group's record.
  struct GroupChange {
    std::set<MachineId> back;                                   // to the cloud
    std::map<std::int32_t, std::vector<const Machine*>> moved;  // by the shard that they go to
  };
  std::map<std::string, GroupChange> groupChanges(Time now);
  void settleRecords(Time now);
  bool addGroupChange(TransactionBuilder& transaction, const std::string& key, GroupChange& change,
                      Epoch token);
  MachineGroupRewrite groupWrites(const std::string& key, const GroupChange& change, Epoch token) const;
  void recordsWritten(const TransactionResult& r);
  void stop(Machine& h, const TaskId& id, Placement& p);
  void dropMachine(const MachineId& id);
  void sendLoad();
  std::size_t tasksWantingCapacity(const Job& job, Time now) const;
  void stuckZones(const Job& job, mesh::Demand& d) const;
  // come: tasks of it that are to go there already.
  bool zoneAllows(const Job& job, const Zone& zone, unsigned come = 0) const;

  // Rounds.
  void requestRound(bool everywhere, const MachineId* at = nullptr);
  void runRound();
  void place();
  struct Ranked {
    Job* job;
    policy::Candidate c;
  };
  std::vector<Ranked> candidates();
  unsigned placeTasks(Job& job, unsigned most);
  void placeProbeTask(Job& job);
  bool cancelOneDrain();
  bool hasCapacity(const Job& job) const;
  bool anyFreeCores(const Job& job) const;
  bool fragile(const Job& job) const;
  bool tooSlow(const Job& job, const Machine& h) const;
  bool holderCouldPreempt(const Job& job) const;
  std::pair<std::vector<policy::Victim>, std::vector<TaskId>> victims(
      const Job& job, bool guaranteed, const Machine& h, const std::set<TaskId>& taken = {}) const;
  bool allowed(const Job& job, const Machine& h) const;
  bool allowedKind(const Job& job, const Machine& h) const;
  bool allowedIn(const Job& job, const Pool& p) const;
  bool better(const Job& job, const Machine& a, const Machine& b) const;
  // What one turn of a job looked up: holders in order, and the estimates for the draw.
  struct PlacementTurn {
    std::vector<Machine*> holders;
    std::set<std::uint32_t> refused;  // by the draw, in this round
    std::optional<policy::SampleEstimate> sample;
    std::optional<std::set<Zone>> holdingZones;
  };
  PlacementTurn beginTurn(const Job& job);
  Machine* choose(Job& job, PlacementTurn& turn);
  Machine* holder(const Job& job, PlacementTurn& turn) const;
  std::vector<Machine*> others(const Job& job, const PlacementTurn& turn);
  policy::SampleEstimate sample(const Job& job);
  // Gangs (scheduler_gangs.cpp).
  std::vector<policy::GangZone> gangZones(const Job& job) const;
  bool placeGang(Job& job);
  bool placeWhole(Job& job);
  void gangBroken(Job& job);
  void stopGang(Job& job, bool skipCheckpoint);
  void settleDoneGang(Job& job);
  void restoreGang(Job& job);
  // Preemption.
  // What machines have free now or soon, less what is spoken for in this round.
  struct CapacityForecast {
    std::map<std::uint32_t, Resources> left;
    Resources& of(const Machine& h);
  };
  struct PlannedEviction {
    Machine* machine = nullptr;
    double lost = 0;  // seconds of work times cores
    std::vector<TaskId> victims;
  };
  std::vector<Machine*> sampleForEviction(const Job& job);
  std::optional<PlannedEviction> cheapestEviction(const Job& job, bool guaranteed,
                                                  const std::vector<Machine*>& sampled,
                                                  CapacityForecast& room,
                                                  const std::set<TaskId>& taken = {}) const;
  std::optional<std::vector<PlannedEviction>> planEvictionsForGang(const Ranked& blocked,
                                                                   const std::vector<Machine*>& sampled,
                                                                   const CapacityForecast& room) const;
  std::optional<std::vector<PlannedEviction>> planEvictionsOn(const Ranked& blocked,
                                                              const std::vector<Machine*>& machines,
                                                              CapacityForecast room) const;
  void preemptForGang(const Ranked& blocked, CapacityForecast& room, std::set<MachineId>& changed);
  bool leavesTimeToSave(const Ranked& claimant, const Machine& h, const JobSpec& victim) const;
  void carryOut(const PlannedEviction& plan, const Ranked& claimant, CapacityForecast& room);
  Duration patienceLeft(const Ranked& blocked) const;
  void preemptAfter(Duration wait);
  void preempt(const std::vector<Ranked>& blocked);
  void preemptFor(const Ranked& blocked, CapacityForecast& room, unsigned& asked,
                  std::set<MachineId>& changed);
  // Transfers of jobs to other shards (invariant 17).
  void reviewMigrations(Time now);
  bool migrationPlanned(const JobId& id) const;
  bool waitsLong(const Job& job, Time now) const;
  bool unplaceable(const Job& job) const;
  std::vector<Job*> oldestUnplaceable(bool untouched, Time now);
  // How many tasks of a job with this description find room in each zone.
  std::map<Zone, std::uint32_t> capacityByZone(const Job& job) const;
  std::uint32_t capacityFor(const Job& job) const;
  std::optional<std::uint32_t> maxRemoteTasks(const Job& job) const;
  std::uint32_t tasksWithinLimit(const Job& job) const;
  void countRemoteUsage(const JobId& id, const JobSpec& spec, std::uint32_t tasks, bool committed);
  void countAllRemoteUsage();
  void countDelegated(const JobId& id, const JobEntry& known);
  void releaseRemoteUsage(Time now);
  void addMigrations(TransactionBuilder& transaction);
  void migrated(const JobId& id);
  struct MigrationCleanup;
  MigrationCleanup cleanupOf(const Job& job) const;
  void addCleanups(TransactionBuilder& transaction);
  // Delegations of tasks to other shards (invariant 18): of this shard's jobs, ...
  struct ReceivedTaskOffer;
  void reviewDelegations(Time now);
  mesh::TaskCapacityNeed taskCapacityNeed(const Job& job) const;
  bool planDelegations(Job& job, Time now);
  void delegate(Job& job, const ReceivedTaskOffer& offer, std::uint32_t most);
  void planRecall(Job& job);
  void resumeDelegations(Job& job);
  void undoPlan(Job& job, const std::vector<Delegation>& planned);
  void addDelegations(TransactionBuilder& transaction);
  struct DelegationWrite;
  bool staysWithinValue(const wire::JobRecord& record) const;
  std::optional<wire::JobRecord> recordWith(const Job& job, const DelegationWrite& change) const;
  void delegationsCommitted(const DelegationWrite& written, Version version);
  void ownedJobChanged(Job& job, const JobEntry& known);
  // ... and of other shards' jobs.
  void delegatedJobChanged(const JobId& id, const JobEntry& known);
  Job& acceptDelegation(const JobId& id, const JobEntry& known, const Delegation& delegation);
  void recallDelegated(Job& job);
  void cancelDelegated(Job& job);
  std::vector<std::uint32_t> returnable(const Job& job, Time now) const;
  bool anyReturnable(Time now) const;
  void addReturns(TransactionBuilder& transaction);
  struct DelegationReturn;
  void returnCommitted(const DelegationReturn& written, Version version);
  void stopTasks(const Job& job, std::set<MachineId>& machines);
  bool mayNotKnowCancellations(Time now) const;
  void commit();
  void commitAt(Time due);
  void committed(const TransactionResult& r);
  wire::JobRecord doneRecord(const Job& job) const;
  wire::JobRecord cancelledRecord(const Job& job) const;
  void endIfFinished(const Job& job);
  void addFinishedJobs(TransactionBuilder& transaction);
  void addPages(TransactionBuilder& transaction);
  void takeEffect(const TransactionResult& r);
  std::size_t roundWidth() const;
  void cleanUp(Job& job);
  void answerCancelWaiters(Job& job, JobStatus s);

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  KeyValueStore& store_;
  const ClusterView& view_;
  ShardTakeover takeover_;
  LeaseValidity leaseValidity_;
  std::mt19937_64 rng_;
  Callbacks callbacks_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  ShardState state_;
  FailureAttribution failures_;
  Time failuresReviewed_{};
  bool loaded_ = false;
  Version lastCancelled_;
  Time loadStarted_{};
  std::uint64_t attempts_ = 0;
  std::optional<ControllerId> transferringTo_;
  bool ownershipTransferSent_ = false;

  bool roundScheduled_ = false;
  bool considerAllMachines_ = false;
  std::set<MachineId> machinesToConsider_;

  Time lastRound_{};
  Time lastPreemption_{};
  std::optional<Time> preemptionDue_;  // when a round is to make room next
  Time loadSent_{};
  std::deque<TaskId> unwrittenTasks_;  // tasks whose placement or completion is to be written
  std::set<JobId> ending_;             // jobs to write as done or cancelled
  bool committing_ = false;
  Time commitNotBefore_{}, lastCommit_{};
  bool commitSet_ = false;
  bool placementsUnwritten_ = false;  // some of fresh_ are placements
  // What a commit changes in the delegations of one of this shard's jobs.
  struct DelegationWrite {
    JobId job;
    std::vector<Delegation> planned;  // tasks that go to other shards
    bool recall = false;              // all that is with other shards is asked back
  };
  // What a commit gives back of another shard's job.
  struct DelegationReturn {
    JobId job;
    std::vector<std::uint32_t> tasks;
    Delegation kept;
  };
  struct CommitInFlight {
    wire::Transaction txn;
    std::vector<PageNumber> pages;
    std::vector<std::tuple<MachineId, TaskId, Attempt>> placed;
    std::vector<TaskId> done;
    std::vector<std::pair<JobId, JobStatus>> endedJobs;
    std::vector<JobId> migrated;
    std::vector<DelegationWrite> delegated;
    std::vector<DelegationReturn> returned;
    std::vector<PageNumber> dropped;
  };
  std::optional<CommitInFlight> commitInFlight_;

  bool recordsBusy_ = false;   // a write of host/ keys is on its way
  bool recordsMoved_ = false;  // the last one was of moves
  Time recordsNotBefore_{};
  MachineGroupSplits groupSplits_;
  Time addressSince_{};         // since when some address is not written
  std::size_t asking_ = 0;      // questions to machines that carry no commands
  std::size_t commanding_ = 0;  // direct commands under way, questions included
  // When so much was last silent that the fault is likely not the machines'.
  std::optional<Time> manySuspectedAt_;
  std::map<Zone, Time> zoneSuspectedAt_;
  Time ticked_{};
  Time resumed_{};  // the end of our own last standstill

  // Room that another shard offers for a job of ours.
  struct ReceivedCapacityOffer {
    ShardId shard;
    std::uint32_t tasks = 0;
    Time at;
  };
  std::map<JobId, ReceivedCapacityOffer> offers_;
  // A job of our teams that another shard runs, or is to run.
  struct RemoteUsage {
    TeamId team;
    Resources sum;           // of the tasks that may be somewhere at once
    bool committed = false;  // its record names the other shard
    std::optional<Time> cancelledSince;
  };
  std::map<JobId, RemoteUsage> remoteUsage_;
  struct PlannedMigration {
    JobId job;
    ShardId to;
    std::uint32_t maxConcurrent = 0;
  };
  std::vector<PlannedMigration> plannedMigrations_;  // to be written with the next commit
  // A cancelled job of another shard's team of which nothing is on any machine; its record is to say so.
  struct MigrationCleanup {
    JobId job;
    Version version;
    std::string value;
  };
  std::vector<MigrationCleanup> migrationCleanups_;
  Time migrationsReviewed_{};
  Time capacityOfferedAt_{};

  struct ReceivedTaskOffer {
    ShardId shard;
    std::optional<Zone> zone;  // nothing: the job may use any of its zones
    std::uint32_t tasks = 0;
    Time at;
  };
  std::map<JobId, std::vector<ReceivedTaskOffer>> taskOffers_;
  std::map<JobId, DelegationWrite> delegationWrites_;  // to be written with the next commit
  std::set<JobId> delegatedHere_;                      // jobs of other shards in the shard state
  // Delegations that were given back in full; the cluster view may show them until it shows that version.
  std::map<JobId, Version> returnedAt_;
  Time delegationsReviewed_{};
  Time taskCapacityOfferedAt_{};

  StartLatencies latencies_;
  ShardCounters summarized_;

  // Work that came of late, for the leader's sizing: when, cores, whether it may use spot machines.
  struct Arrival {
    Time at;
    double cores;
    bool spotAllowed;
  };
  std::deque<Arrival> arrivals_;
  std::deque<Arrival> departures_;  // and work that was done
};

}  // namespace cherryloft
