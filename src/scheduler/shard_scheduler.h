// Scheduler: one per owned shard. It alone decides for the shard's teams and machines.
#pragma once

#include <random>
#include <set>

#include "cluster/membership.h"
#include "kvstore/key_value_store.h"
#include "kvstore/transaction_builder.h"
#include "mesh/messages.h"
#include "policy/gang.h"
#include "scheduler/capacity_offers.h"
#include "scheduler/commit_in_flight.h"
#include "scheduler/delegated_tasks.h"
#include "scheduler/eviction_planner.h"
#include "scheduler/failure_attribution.h"
#include "scheduler/job_migration.h"
#include "scheduler/load_reporter.h"
#include "scheduler/machine_record_writer.h"
#include "scheduler/pending_jobs.h"
#include "scheduler/placement_turn.h"
#include "scheduler/shard_recovery.h"
#include "scheduler/shard_state.h"
#include "scheduler/shard_summary.h"
#include "scheduler/start_latencies.h"
#include "scheduler/task_delegation.h"
#include "wire/users.h"

namespace cherryloft {

// How a heartbeat came to us, which decides what it proves about answers and commands on their way.
enum class HeartbeatSource : std::uint8_t {
  WorkerReport,  // the worker's periodic report, which we answer
  DirectAnswer,  // its answer to a direct command or a probe, ours or a peer's
};

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
  // The response to a heartbeat as it goes to the worker.
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
  // Answers a worker's heartbeat, which prolongs its lease, and reconciles the shard state with it. 421: the
  // machine has a later owner; 503: this actor may not answer now, or does not know the machine.
  [[nodiscard]] HeartbeatAnswer handleHeartbeat(const wire::WorkerHeartbeat& heartbeat);
  // What the leader decided about one of the machines (machine_drain.cpp).
  void handleDirective(const mesh::MachineDirective& directive);
  void returnToPreferredOwner(const ControllerId& to);
  // Another shard's owner looks for capacity for its jobs, or offers some for ours (remote_capacity.cpp).
  void handleCapacityRequest(const mesh::CapacityRequest& request);
  void handleCapacityOffer(const mesh::CapacityOffer& offer);
  // The same for some tasks of a job (task_delegation_delegate.cpp, task_delegation_owner.cpp).
  void handleTaskCapacityRequest(const mesh::TaskCapacityRequest& request);
  void handleTaskCapacityOffer(const mesh::TaskCapacityOffer& offer);
  // Nothing if this actor may not answer now.
  std::optional<wire::JobProgress> poll(const JobId& id) const;
  // done is told the committed state; false if this actor can't take the request.
  bool cancel(const JobId& id, std::function<void(JobStatus)> done);
  bool loaded() const { return loaded_; }
  // Every cancellation that touches the shard's machines is committed by this actor, and known: not before it
  // has loaded, nor while it places tasks of another shard's job.
  bool knowsCancellations() const { return loaded_ && delegatedTasks_.none(); }
  ShardId shard() const { return takeover_.shard; }
  // The revision of the shard's latest cancellation.
  Version lastCancelled() const { return lastCancelled_; }
  // What was decided since the last call, for operators.
  std::string summarizeLastMinute() { return summarizeShard(shard(), state_, latencies_); }
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
  void build(const ListResult& placementPages);
  void addKnownJob(const JobId& id, const JobEntry& known);
  void restoreDelegation(const JobId& id, const JobEntry& known, const Delegation& delegation);
  void resumeJob(Job& job);
  void cleanUpCancelled();
  Machine& admit(const MachineId& id, const MachineEntry& known);

  // Heartbeats (heartbeats.cpp).
  enum class ReconcileResult : std::uint8_t {
    Accepted,  // newer than what was known, and of the present
    Ignored,   // late, a copy, or not proven to be of the present
  };
  // What an accepted heartbeat changed about the machine itself.
  struct MachineChange {
    bool firstHeartbeat = false;  // of a machine that was not heard before, or not since its lease ran out
    bool cordonLifted = false;
    bool newIncarnation = false;
    [[nodiscard]] bool any() const { return firstHeartbeat || cordonLifted || newIncarnation; }
  };
  HeartbeatAnswer answerWhileLoading(const wire::WorkerHeartbeat& heartbeat) const;
  // Brings the shard state in line with what a worker shows; asks for a round where that frees capacity. May
  // remove placements, and send commands to this and other machines.
  ReconcileResult reconcile(Machine& machine, const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source);
  void reconcileUnproven(Machine& machine, const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source);
  MachineChange acceptHeartbeat(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                HeartbeatSource source);
  void reconcileReportedTasks(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  void reconcileMissingTasks(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                             HeartbeatSource source);
  void countMissedStart(Machine& machine, bool missed);
  void noteTokenUnacknowledged(Machine& machine);
  void handleWorkerRestart(Machine& machine, const wire::WorkerHeartbeat& answer);
  void beginIncarnation(Machine& machine);
  void handleReclaimNotice(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  // The task is known gone from the machine: drops its placement, and all that follows from that for its job.
  void taskLost(Machine& machine, const TaskId& task);
  void tasksLost(Machine& machine, const std::vector<TaskId>& tasks);
  // Until when at the latest a worker kills its tasks that gets no answer after one given now.
  Duration leaseAfterAnswer() const;
  // The task is to end; its placement is dropped at once if no start of it was ever sent.
  void stop(Machine& machine, const TaskId& task, Placement& placement);

  // Failed tasks (task_failures.cpp).
  void taskEnded(Machine& machine, const wire::ReportedTask& reported);
  void taskSucceeded(Machine& machine, const TaskId& task);
  void taskFailed(Machine& machine, const wire::ReportedTask& reported);
  const Machine* machineWhereJobWorks(const Job& job, Time now) const;
  void quarantineFaulty(const JobId& job);
  void reviewFailures(Time now);

  // Commands (commands.cpp).
  // A command in a call of its own, as it went out.
  struct DirectCommand {
    FencingToken token;
    Incarnation incarnation;
    HeartbeatPosition latestHeartbeat;  // that the machine had sent by then
    bool isProbe = false;               // without commands: it asks for a heartbeat
  };
  // What the worker is told in the answer to a heartbeat: starts and stops, each time until they show, and
  // what to do with tasks that the shard state does not know.
  std::vector<wire::Command> commandsInAnswer(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  // What goes in a direct command: starts that were not sent yet, and stops now and then. They count as sent.
  std::vector<wire::Command> takeDirectCommands(Machine& machine);
  // Entries of the last heartbeat that the shard state does not place on the machine: ends them, and lets the
  // worker forget them once they have ended.
  void addCommandsForUnknownTasks(Machine& machine, std::vector<wire::Command>& commands);
  bool doneIsUncommitted(const TaskId& id);
  wire::Command stopCommandFor(const TaskId& task, const Placement& placement, Time now) const;
  bool mayCheckpoint(const Placement& placement, Time now) const;
  // How long a task that was stopped may take to save. A member of a gang that has saved waits for the
  // others.
  Duration maxCheckpointTime(const Job& job) const;
  // Appends what concerns attempts that the list does not name yet.
  static void addCommands(std::vector<wire::Command>& list, std::vector<wire::Command> more);
  // Sends the machine what it is to do, or a probe if it is to be heard; one such call at a time, and none
  // during the pause after one that failed.
  void sendCommands(Machine& machine);
  // Machines that are gone from the shard state by now are left out.
  void sendCommandsToAll(const std::set<MachineId>& machines);
  bool probeDue(const Machine& machine) const;
  std::size_t maxDirectCommandsInFlight() const;
  void handleDirectAnswer(const MachineId& id, const DirectCommand& sent, const HttpResult& result);
  void handleCommandAnswered(Machine& machine, const DirectCommand& sent,
                             const wire::WorkerHeartbeat& heartbeat);
  void handleCommandUnanswered(Machine& machine, const DirectCommand& sent, const HttpResult& result);
  void probeThroughPeers(const Machine& machine);
  void handlePeerProbe(const MachineId& id, const HeartbeatPosition& latestWhenAsked,
                       const std::string& body);

  // Failure detection (liveness.cpp).
  // Probes in a row without an answer that make a silent machine suspected.
  static constexpr unsigned kUnansweredProbesToSuspect = 2;
  // Of the machines that were ever up: how many of them are late or suspected.
  struct SuspectCount {
    std::size_t overdue = 0;
    std::size_t machines = 0;
    // So many of them that the fault is likely not theirs.
    [[nodiscard]] bool moreThan(double fraction) const;
  };
  struct SuspicionSurvey {
    SuspectCount shard;
    std::map<Zone, SuspectCount> zones;
    std::vector<Machine*> suspected;
  };
  // After this long without a heartbeat the next should have been here, a quarter of an interval included.
  Duration reportDue() const;
  // How long it has had the chance to be heard and was not: our own standstill does not count.
  Duration timeSinceHeartbeat(const Machine& machine) const;
  bool heartbeatOverdue(const Machine& machine) const;
  void checkLiveness(Machine& machine, Time now);
  void expireLease(Machine& machine);
  // It is silent though it was probed, or heard without a sign that it hears us (invariant 11).
  bool suspected(const Machine& machine, Time now) const;
  bool tokenUnacknowledgedTooLong(const Machine& machine, Time now) const;
  // Returns suspected machines to the cloud, whose confirmation that they are gone frees their tasks at once.
  // Where much of the shard or of a zone is suspected the fault is likely not theirs, and leases decide.
  void returnSuspected(Time now);
  SuspicionSurvey surveySuspects(Time now);
  void noteMassSuspicion(const SuspicionSurvey& survey, Time now);
  bool recentlyNoted(std::optional<Time> noted, Time now) const;

  // Upkeep.
  void tick();
  bool stoodStill(Time now);
  void decommission(Machine& machine, std::int32_t moveTarget);
  void progressDrain(Machine& machine);
  std::optional<std::vector<TaskId>> movableReplicas(const Machine& machine) const;
  // What a plan to move replicas leaves free on machines, by their number, and how many of a job it moves
  // into a zone.
  struct ReplicaMoves {
    std::map<std::uint32_t, Resources> freeAfterwards;
    std::map<std::pair<const Job*, Zone>, unsigned> intoZone;
  };
  const Machine* targetForReplica(const Job& job, const Machine& from, ReplicaMoves& moves) const;
  void dropMachine(const MachineId& id);

  // Placement rounds (placement_rounds.cpp).
  // Has the next round consider all machines with capacity, or beside others the one that reported.
  void requestRound(bool allMachines, const MachineId* reportedMachine = nullptr);
  void runRound();
  void placePendingJobs();
  // Returns the jobs that found no capacity; those that had no turn stay in the list.
  std::vector<PendingJob> runTurns(std::vector<PendingJob>& pending);
  // Returns how many tasks were placed, `most` at most.
  unsigned placeTasks(Job& job, unsigned most);
  void placeNextTask(Job& job, Machine& machine, Attempt attempt);
  // A job that failed wherever it was tried gets one task at a time, and nothing is preempted for it.
  void placeProbeTask(Job& job);
  // Draining machines take work again, as capacity is short. False if there were none.
  bool cancelDrains();
  // Gangs (gangs.cpp, invariant 19).
  // What each zone that the gang may be in has for it.
  std::vector<policy::GangZone> gangZones(const Job& job) const;
  // The attempt that all members share; nothing if the job is no gang.
  std::optional<Attempt> attemptForGang(const Job& job);
  // Places all members or none. False: it found no capacity; true also if it must not be tried yet.
  bool placeGang(Job& job);
  bool placeAllMembers(Job& job);
  // The other members can't go on without it: they are stopped, and the gang starts anew.
  void handleGangMemberLost(Job& job);
  enum class GangCheckpoint : std::uint8_t { Allowed, Skipped };
  // One decision stops all members: a save succeeds only if each is told soon after the first.
  void stopGang(Job& job, GangCheckpoint checkpoint);
  // Members complete together: once one is known done, so are those known gone.
  void completeGangIfDone(Job& job);
  // A former owner wrote some members only, or lost one: what there is ends, and the gang starts as a whole.
  void restoreGang(Job& job);
  // Preemption (preemption.cpp).
  struct PreemptionRound {
    CapacityForecast forecast;
    std::set<MachineId> machinesToCommand;
    unsigned plans = 0;  // tasks and gangs that evictions were planned for
  };
  // Stops tasks for those that found no capacity, in their order.
  void preempt(const std::vector<PendingJob>& blocked);
  void preemptForTasks(const PendingJob& pending, PreemptionRound& round);
  void preemptForGang(const PendingJob& pending, PreemptionRound& round);
  void carryOut(const PlannedEviction& eviction, const PendingJob& pending, PreemptionRound& round);
  // How long the job still waits for others to end by themselves.
  Duration timeUntilPreemption(const PendingJob& pending) const;
  void schedulePreemption(Duration wait);
  // Capacity of other shards, and for them (invariant 17).
  // What capacity of other shards is looked for: to migrate whole jobs, or to delegate tasks.
  enum class RemotePlacement : std::uint8_t { Migration, Delegation };
  void reviewMigrations(Time now);
  bool planMigration(const Job& job);
  bool migrationPlanned(const JobId& id) const;
  bool waitsLong(const Job& job, Time now) const;
  bool unplaceable(const Job& job) const;
  std::vector<Job*> oldestUnplaceable(RemotePlacement purpose, Time now);
  bool mayOfferCapacity(Time lastOffer) const;
  const JobEntry* openJobOf(ShardId shard, const JobId& id) const;
  // How many tasks of a job with this description find room in each zone.
  std::map<Zone, std::uint32_t> capacityByZone(const Job& job) const;
  std::uint32_t capacityFor(const Job& job) const;
  std::optional<std::uint32_t> maxRemoteTasks(const Job& job) const;
  std::uint32_t tasksWithinLimit(const Job& job) const;
  // Delegation of tasks to other shards (invariant 18): of this shard's jobs, ...
  void reviewDelegations(Time now);
  mesh::TaskCapacityNeed taskCapacityNeed(const Job& job) const;
  bool planDelegations(Job& job, Time now);
  void planRecall(Job& job) { taskDelegation_.planRecall(job); }
  void resumeDelegations(Job& job);
  void ownedJobChanged(Job& job, const JobEntry& entry);
  // ... and of other shards' jobs.
  void delegatedJobChanged(const JobId& id, const JobEntry& entry);
  Job& acceptDelegation(const JobId& id, const JobEntry& entry, const Delegation& delegation);
  void recallDelegated(Job& job);
  void cancelDelegated(Job& job);
  void returnCommitted(const DelegationReturn& written, Version version);
  bool mayNotKnowCancellations(Time now) const;
  // Commits.
  void commit();
  std::optional<Time> commitDelayedUntil() const;
  void commitAt(Time due);
  void composeCommit();
  void transferOwnershipIfAsked();
  void ownershipTransferEnded(bool transferred);
  void committed(const TransactionResult& result);
  void endIfFinished(const Job& job);
  void addFinishedJobs(TransactionBuilder& transaction);
  void addPages(TransactionBuilder& transaction);
  void addPageDrop(TransactionBuilder& transaction);
  void takeEffect(Version revision);
  void migrationCommitted(const JobId& id);
  void completionCommitted(const TaskId& id);
  void placementCommitted(const PlacementWrite& written, std::set<MachineId>& machines);
  void jobEndCommitted(const JobEnd& end, Version revision, std::set<MachineId>& machines);
  std::size_t roundWidth() const;
  void stopTasks(const Job& job, std::set<MachineId>& machines);
  void cleanUp(Job& job);
  void answerCancelWaiters(Job& job, JobStatus status);

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
  ShardRecovery recovery_;
  FailureAttribution failures_;
  PlacementConstraints constraints_{settings_, state_, failures_, runtime_};
  Time failuresReviewed_{};
  bool loaded_ = false;
  Version lastCancelled_;
  std::uint64_t attempts_ = 0;
  std::optional<ControllerId> transferringTo_;
  bool ownershipTransferSent_ = false;

  bool roundScheduled_ = false;
  RoundScope roundScope_;  // of the next round

  Time lastRound_{};
  Time lastPreemption_{};
  std::optional<Time> preemptionDue_;  // when a round is to preempt next
  std::deque<TaskId> unwrittenTasks_;  // tasks whose placement or completion is to be written
  std::set<JobId> ending_;             // jobs to write as done or cancelled
  bool committing_ = false;
  Time commitNotBefore_{}, lastCommit_{};
  bool commitScheduled_ = false;
  bool placementsUnwritten_ = false;  // some of unwrittenTasks_ are placements
  std::optional<CommitInFlight> commitInFlight_;

  std::size_t probesInFlight_ = 0;          // direct commands without commands in them
  std::size_t directCommandsInFlight_ = 0;  // probes included
  // When so many machines were last suspected that the fault was likely not theirs: of the shard, of a zone.
  std::optional<Time> massSuspicionAt_;
  std::map<Zone, Time> massSuspicionInZoneAt_;
  Time ticked_{};
  Time resumed_{};  // the end of our own last standstill

  JobCapacityOffers jobOffers_;
  JobMigration jobMigration_;
  Time migrationsReviewed_{};
  Time capacityOfferedAt_{};

  TaskCapacityOffers taskOffers_;
  TaskDelegation taskDelegation_;
  DelegatedTasks delegatedTasks_;
  Time delegationsReviewed_{};
  Time taskCapacityOfferedAt_{};

  StartLatencies latencies_;
  LoadReporter loadReporter_;
  MachineRecordWriter machineRecordWriter_;
};

}  // namespace cherryloft
