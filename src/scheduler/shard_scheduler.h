// ShardScheduler: one per owned shard. It makes all scheduling decisions for the shard's teams and machines.
#pragma once

#include <random>
#include <set>

#include "cluster/membership.h"
#include "kvstore/key_value_store.h"
#include "kvstore/transaction_builder.h"
#include "mesh/messages.h"
#include "policy/gang.h"
#include "scheduler/capacity_offers.h"
#include "scheduler/command_audit.h"
#include "scheduler/commit_in_flight.h"
#include "scheduler/delegated_tasks.h"
#include "scheduler/eviction_planner.h"
#include "scheduler/failure_attribution.h"
#include "scheduler/heartbeat_reconciliation.h"
#include "scheduler/job_migration.h"
#include "scheduler/load_reporter.h"
#include "scheduler/machine_record_writer.h"
#include "scheduler/mass_suspicion.h"
#include "scheduler/pending_jobs.h"
#include "scheduler/placement_turn.h"
#include "scheduler/shard_recovery.h"
#include "scheduler/shard_state.h"
#include "scheduler/shard_summary.h"
#include "scheduler/start_latencies.h"
#include "scheduler/task_delegation.h"
#include "scheduler/unplaced_tasks.h"
#include "wire/users.h"

namespace cherryloft {

class ShardScheduler {
 public:
  struct Callbacks {
    std::function<void(const JobId&, JobStatus, Version)> jobEnded;  // committed as done or cancelled
    std::function<void(const mesh::ShardLoad&)> load;                // sends it to the leader
    std::function<void()> dropOwnership;  // the ownership or the shard state are in doubt
    // Probes a machine through peer controllers; calls done with its heartbeat if one of them reaches it.
    std::function<void(const std::string& address, std::function<void(const std::string& body)> done)> probe;
    std::function<void(Version, const ControllerId&, std::function<void(bool)>)> transferOwnership;
    // The latest time at which a peer may have answered this shard's workers on its behalf (invariant 15).
    std::function<Time()> answeredByPeersUntil;
    std::function<void(const mesh::CapacityRequest&)> requestCapacity;  // to the owners of all other shards
    std::function<void(const mesh::CapacityOffer&)> offerCapacity;  // to the owner of the requesting shard
    std::function<void(const mesh::TaskCapacityRequest&)>
        requestTaskCapacity;  // to the owners of all other shards
    std::function<void(const mesh::TaskCapacityOffer&)> offerTaskCapacity;  // to the requesting owner
  };
  // The HTTP response to a worker's heartbeat.
  struct HeartbeatAnswer {
    int status = 503;
    std::string body;
  };
  using HeartbeatDone = std::function<void(HeartbeatAnswer)>;

  ShardScheduler(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                 const ClusterView& view, ShardTakeover takeover, LeaseValidity leaseValidity,
                 std::uint64_t seed, Callbacks callbacks);
  ShardScheduler(const ShardScheduler&) = delete;
  ShardScheduler& operator=(const ShardScheduler&) = delete;

  void start();
  void leaseValidity(const LeaseValidity& validity);
  void jobChanged(const JobId& id);
  void machineChanged(const MachineId& id);
  // Answers a worker's heartbeat, which renews its lease, and reconciles the shard state with it. 421: the
  // machine has a later owner; 503: this scheduler may not answer now, or does not know the machine.
  [[nodiscard]] HeartbeatAnswer handleHeartbeat(const wire::WorkerHeartbeat& heartbeat);
  // A decision of the leader about one of the machines (machine_drain.cpp).
  void handleDirective(const mesh::MachineDirective& directive);
  void returnToPreferredOwner(const ControllerId& to);
  // Another shard's owner requests capacity for its jobs, or offers capacity for ours (remote_capacity.cpp).
  void handleCapacityRequest(const mesh::CapacityRequest& request);
  void handleCapacityOffer(const mesh::CapacityOffer& offer);
  // The same for individual tasks of a job (task_delegation_delegate.cpp, task_delegation_owner.cpp).
  void handleTaskCapacityRequest(const mesh::TaskCapacityRequest& request);
  void handleTaskCapacityOffer(const mesh::TaskCapacityOffer& offer);
  // Nothing if this scheduler may not answer now.
  std::optional<wire::JobProgress> poll(const JobId& id) const;
  // Calls done with the committed state. Returns false if this scheduler cannot accept the request.
  bool cancel(const JobId& id, std::function<void(JobStatus)> done);
  bool loaded() const { return loaded_; }
  // Whether this scheduler itself commits, and so knows, every cancellation that affects the shard's
  // machines: not before it has loaded, nor while it places tasks of another shard's job.
  bool knowsCancellations() const { return loaded_ && delegatedTasks_.none(); }
  ShardId shard() const { return takeover_.shard; }
  // The version of the shard's latest cancellation.
  Version lastCancellationVersion() const { return lastCancellationVersion_; }
  // Log lines for operators on the current state and the activity since the last call.
  std::vector<std::string> summarizeLastMinute();
  const ShardCounters& counts() const { return latencies_.counts; }

 private:
  // Wraps f so that it is called only while this scheduler exists.
  template <class F>
  auto guarded(F f) {
    return [f = std::move(f), alive = std::weak_ptr<bool>(alive_)](auto&&... args) {
      if (alive.lock()) f(std::forward<decltype(args)>(args)...);
    };
  }
  bool owns() const { return leaseValidity_.owns(runtime_.now()); }
  Duration leaseLeft() const { return leaseValidity_.ownsUntil - runtime_.now(); }

  // Loading (invariant 7).
  void finishLoading(const ListResult& placementPages);
  void addKnownJob(const JobId& id, const JobEntry& entry);
  void noteCancellation(const JobEntry& entry);
  void resumeJob(Job& job);
  void cleanUpCancelled();
  Machine& addOwnedMachine(const MachineId& id, const MachineEntry& entry);

  // Heartbeats (heartbeats.cpp).
  HeartbeatAnswer answerWhileLoading(const wire::WorkerHeartbeat& heartbeat) const;
  // Reconciles the shard state with a worker's heartbeat, and requests a round if that frees capacity. May
  // remove placements, and send commands to this and other machines.
  ReconcileResult reconcile(Machine& machine, const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source);
  void reconcileUnverified(Machine& machine, const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source);
  MachineChange acceptHeartbeat(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                HeartbeatSource source);
  void reconcileReportedTasks(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  void reconcileMissingTasks(Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                             HeartbeatSource source);
  void countMissedStart(Machine& machine, bool missed);
  void markTokenUnacknowledged(Machine& machine);
  void requireAcknowledgement(Machine& machine, TokenRaiseReason reason);
  void handleWorkerRestart(Machine& machine, const wire::WorkerHeartbeat& answer);
  void beginIncarnation(Machine& machine);
  void handleReclaimNotice(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  // The task is known to be gone from the machine: removes its placement and updates its job.
  void handleTaskLost(Machine& machine, const TaskId& task);
  void handleTasksLost(Machine& machine, const std::vector<TaskId>& tasks);
  // Upper bound of the time until a worker kills its tasks if it gets no answer after the one sent now.
  Duration maxLeaseAfterAnswer() const;
  // Requests the stop of the task; its placement is removed immediately if no start was ever sent.
  void stop(Machine& machine, const TaskId& task, Placement& placement);

  // Failed tasks (task_failures.cpp).
  void handleTaskExit(Machine& machine, const wire::ReportedTask& reported);
  void handleTaskSuccess(Machine& machine, const TaskId& task);
  void handleTaskFailure(Machine& machine, const wire::ReportedTask& reported);
  const Machine* findMachineRunningJob(const Job& job, Time now) const;
  void quarantineFaultyMachines(const JobId& job);
  void reviewFailures(Time now);

  // Commands (commands.cpp).
  // A command sent in its own request rather than in a heartbeat response.
  struct DirectCommand {
    Incarnation incarnation;
    HeartbeatPosition latestHeartbeat;  // received from the machine when it was sent
    bool isProbe = false;               // carries no commands
  };
  // Commands for the response to a heartbeat: starts and stops, repeated until a heartbeat confirms them, and
  // commands for tasks that the shard state does not know.
  std::vector<wire::Command> commandsInAnswer(Machine& machine, const wire::WorkerHeartbeat& heartbeat);
  // Commands for a direct request: stops at intervals, and a wake-up if a start is due. Marks them as sent.
  std::vector<wire::Command> takeDirectCommands(Machine& machine);
  wire::Command stopCommandFor(const TaskId& task, const Placement& placement, Time now) const;
  bool mayCheckpoint(const Placement& placement, Time now) const;
  // How long a stopped task may take to write its checkpoint. A gang member that has finished its checkpoint
  // waits for the others.
  Duration maxCheckpointTime(const Job& job) const;
  // Sends the machine its pending commands, or a probe if a heartbeat is needed. At most one request is in
  // flight per machine, and none is sent during the backoff after a failure.
  void sendCommands(Machine& machine);
  void sendCommandsToAll(const std::set<MachineId>& machines);
  bool probeDue(const Machine& machine) const;
  std::size_t maxDirectCommandsInFlight() const;
  void queueForDirectCommand(Machine& machine);
  void sendQueuedCommands();
  void handleDirectCommandResult(const MachineId& id, const DirectCommand& sent, const HttpResult& result);
  void applyDirectCommandResult(Machine& machine, const DirectCommand& sent, const HttpResult& result);
  void handleCommandAnswered(Machine& machine, const DirectCommand& sent,
                             const wire::WorkerHeartbeat& heartbeat);
  void handleCommandUnanswered(Machine& machine, const HttpResult& result);
  void placeUnsentTasksElsewhere(Machine& machine);
  void probeThroughPeers(const Machine& machine);
  void handlePeerProbe(const MachineId& id, const HeartbeatPosition& latest, const std::string& body);

  // Failure detection (liveness.cpp).
  // Consecutive unanswered probes after which a silent machine is suspected.
  static constexpr unsigned kUnansweredProbesToSuspect = 2;
  // Time after which a heartbeat is due: the report interval plus a quarter of tolerance.
  Duration heartbeatDueAfter() const;
  // Time since the last heartbeat, and since the last one that did not answer a direct command; both exclude
  // the time before this process resumed from a stall.
  Duration timeSinceHeartbeat(const Machine& machine) const;
  Duration timeSinceReport(const Machine& machine) const;
  bool heartbeatOverdue(const Machine& machine) const;
  void checkLiveness(Machine& machine, Time now);
  void expireLease(Machine& machine);
  // It is silent despite probes, or its heartbeats do not show that it receives our answers (invariant 11).
  bool suspected(const Machine& machine, Time now) const;
  bool tokenUnacknowledgedTooLong(const Machine& machine, Time now) const;
  // Returns suspected machines to the cloud, whose confirmation frees their tasks. If much of the shard or of
  // a zone is overdue, the machines are probably not at fault, and only the expiry of their leases counts.
  void returnSuspectedMachines(Time now);
  SuspicionCounts countSuspects(Time now);

  // Periodic maintenance.
  void tick();
  bool detectStall(Time now);
  bool renewEpochIfExhausted();
  void decommission(Machine& machine, std::int32_t moveTarget);
  void advanceDrain(Machine& machine);
  std::optional<std::vector<TaskId>> movableReplicas(const Machine& machine) const;
  // Effect of a plan to move replicas: the remaining free resources by machine number, and the number of
  // tasks per job that it moves into a zone.
  struct ReplicaMoves {
    std::map<std::uint32_t, Resources> freeAfterwards;
    std::map<std::pair<const Job*, Zone>, unsigned> intoZone;
  };
  const Machine* targetForReplica(const Job& job, const Machine& from, ReplicaMoves& moves) const;
  void dropMachine(const MachineId& id);

  // Placement rounds (placement_rounds.cpp).
  // Requests a round over all machines with capacity, or adds the reporting one to those to be considered.
  void requestPlacementRound(bool allMachines, const MachineId* reportedMachine = nullptr);
  void runPlacementRound();
  void placePendingJobs();
  // Returns the jobs that found no capacity; jobs that were not tried stay in the list.
  std::vector<PendingJob> runTurns(std::vector<PendingJob>& pending);
  // Places at most `maxTasks` tasks and returns how many were placed.
  unsigned placeTasks(Job& job, unsigned maxTasks);
  void placeNextTask(Job& job, Machine& machine, Attempt attempt);
  // A job that failed on every machine tried gets one task at a time, and no preemption.
  void placeProbeTask(Job& job);
  // Reopens draining machines when capacity is short. Returns false if there were none.
  bool cancelDrains();
  // Gangs (gangs.cpp, invariant 19).
  // The capacity for the gang in each zone that it may use.
  std::vector<policy::GangZoneCapacity> gangZoneCapacities(const Job& job) const;
  // The attempt that all members share; nothing if the job is not a gang.
  std::optional<Attempt> attemptForGang(const Job& job);
  // Places all members or none. Returns false if there is no capacity, true also if it must not be tried yet.
  bool placeGang(Job& job);
  bool placeAllMembers(Job& job);
  // The other members cannot continue without the lost one: stops them, and the gang restarts.
  void handleGangMemberLost(Job& job);
  enum class GangCheckpoint : std::uint8_t { Allowed, Skipped };
  // Stops all members at the same time: a checkpoint succeeds only if they are all told within a short time.
  void stopGang(Job& job, GangCheckpoint checkpoint);
  // Members complete together: once one is known to be done, members that are gone count as done, too.
  void completeGangIfDone(Job& job);
  // A former owner committed only some members, or lost one: stops the members found, and the gang restarts.
  void restoreGang(Job& job);
  // Preemption (preemption.cpp).
  struct PreemptionRound {
    CapacityForecast forecast;
    std::set<MachineId> machinesToCommand;
    unsigned plans = 0;  // tasks and gangs with planned evictions
  };
  // Stops tasks in favor of the jobs that found no capacity, in the order of those jobs.
  void preempt(const std::vector<PendingJob>& blocked);
  void preemptForTasks(const PendingJob& pending, PreemptionRound& round);
  void preemptForGang(const PendingJob& pending, PreemptionRound& round);
  void applyEviction(const PlannedEviction& eviction, const PendingJob& pending, PreemptionRound& round);
  // How long the job still waits for other tasks to end before it may preempt.
  Duration timeUntilPreemption(const PendingJob& pending) const;
  void schedulePreemption(Duration wait);
  // Use of other shards' capacity, and offers to them (invariant 17).
  // Purpose of a capacity request: migration of whole jobs, or delegation of tasks.
  enum class RemotePlacement : std::uint8_t { Migration, Delegation };
  void reviewMigrations(Time now);
  bool planMigration(const Job& job);
  bool isMigrationPlanned(const JobId& id) const;
  bool hasWaitedLong(const Job& job, Time now) const;
  bool isUnschedulable(const Job& job) const;
  std::vector<Job*> oldestUnschedulableJobs(RemotePlacement purpose, Time now);
  bool mayOfferCapacity(Time lastOffer) const;
  const JobEntry* findOpenJob(ShardId shard, const JobId& id) const;
  // How many tasks of this job fit in each zone.
  std::map<Zone, std::uint32_t> capacityByZone(const Job& job) const;
  std::uint32_t capacityForJob(const Job& job) const;
  std::optional<std::uint32_t> maxConcurrentRemoteTasks(const Job& job) const;
  std::uint32_t tasksWithinQuota(const Job& job) const;
  // Delegation of tasks (invariant 18), for jobs of this shard ...
  void reviewDelegations(Time now);
  mesh::TaskCapacityNeed taskCapacityNeed(const Job& job) const;
  bool planDelegations(Job& job, Time now);
  void resumeDelegations(Job& job);
  void handleOwnedJobChange(Job& job, const JobEntry& entry);
  // ... and for jobs of other shards.
  void handleDelegatedJobChange(const JobId& id, const JobEntry& entry);
  Job& acceptDelegation(const JobId& id, const JobEntry& entry, const Delegation& delegation);
  void handleDelegationRecall(Job& job);
  void cancelDelegatedTasks(Job& job);
  void handleCommittedReturn(const DelegationReturn& written);
  bool mayHaveUnseenCancellations(Time now) const;
  // Commits.
  void commit();
  std::optional<Time> commitDelayedUntil() const;
  void scheduleCommit(Time time);
  void buildCommit();
  void transferOwnershipIfRequested();
  void handleOwnershipTransferResult(bool transferred);
  void committed(const TransactionResult& result);
  void queueJobEndIfFinished(const Job& job);
  void addJobEnds(TransactionBuilder& transaction);
  void addPages(TransactionBuilder& transaction);
  void addPageDeletion(TransactionBuilder& transaction);
  void applyCommit(Version revision);
  void migrationCommitted(const JobId& id);
  void takeUpLaterRecord(const JobId& id);
  void completionCommitted(const TaskId& id);
  void placementCommitted(const PlacementWrite& write, std::set<MachineId>& machinesToCommand);
  void jobEndCommitted(const JobEndWrite& write, Version revision, std::set<MachineId>& machinesToCommand);
  std::size_t maxRecordsPerCommit() const;
  void stopTasks(const Job& job, std::set<MachineId>& machines);
  void removeJobIfEnded(Job& job);
  void runCancelCallbacks(Job& job, JobStatus status);

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
  Version lastCancellationVersion_;
  std::uint64_t attempts_ = 0;
  std::optional<ControllerId> transferringTo_;
  bool ownershipTransferSent_ = false;

  bool roundScheduled_ = false;
  RoundScope roundScope_;  // scope of the next round

  Time lastRound_{};
  Time lastPreemption_{};
  std::optional<Time> preemptionDue_;  // when the next round may preempt
  std::deque<TaskId> unwrittenTasks_;  // tasks whose placement or completion has to be written
  std::set<JobId> jobsToEnd_;          // jobs to write as done or cancelled
  bool committing_ = false;
  Time commitNotBefore_{}, lastCommit_{};
  bool commitScheduled_ = false;
  bool placementsUnwritten_ = false;  // some of unwrittenTasks_ are placements
  std::optional<CommitInFlight> commitInFlight_;

  std::size_t probesInFlight_ = 0;            // direct requests that carry no commands
  std::size_t directCommandsInFlight_ = 0;    // probes included
  std::deque<MachineId> directCommandQueue_;  // machines that wait until fewer are in flight
  MassSuspicion massSuspicion_;
  Time lastTickAt_{};
  Time lastStallEnd_{};  // end of this process's last stall

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
  CommandAudit commandAudit_{log_, takeover_.shard, latencies_.counts};
  UnplacedTasks unplacedTasks_{state_};
  LoadReporter loadReporter_;
  MachineRecordWriter machineRecordWriter_;
};

}  // namespace cherryloft
