// ShardState: a shard's jobs, machines and placements, with the indices used by scheduling decisions. It does
// no I/O and has no clock: the caller passes the time.
#pragma once

#include <array>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <unordered_map>

#include "cluster/cluster_view.h"
#include "net/server.h"
#include "scheduler/command_fence.h"
#include "scheduler/image_cache.h"
#include "scheduler/job.h"
#include "scheduler/machine_pool.h"
#include "scheduler/placement_pages.h"
#include "scheduler/task_attempt.h"
#include "wire/workers.h"

namespace cherryloft {

// A task that may be on a machine (invariant 1: from its commit on; it counts toward limits even before).
//
// State transitions (invariants 2, 3 and 8 define when a placement may be removed):
//
//   placed        desired; its attempt is not committed yet
//     | the commit of its attempt succeeds, or the attempt is loaded from the store (restored)
//     v
//   committed     awaitsStart(), unless restored: a former owner may have sent the start command
//     | a heartbeat response carries the start command: startSent
//     v
//   starting      the start is repeated in heartbeat responses until the task is observed
//     | a heartbeat of the worker's current incarnation lists the task: observed
//     v
//   observed      in the phase that the worker reports, until a heartbeat reports its end
//     | preemption, drain, cancellation, loss of a gang member: no longer desired (from any state above)
//     v
//   stopping      awaitsStop() if observed; otherwise waits until no start command can arrive any more
//     | a heartbeat reports its end, or omits it when no start can arrive any more; the worker's incarnation
//     | ends; or the machine's record is deleted. If no start was sent, it is gone immediately
//     v
//   known gone    the placement is removed; the task waits again, unless it is done
struct Placement {
  Job* job = nullptr;
  Attempt attempt;
  bool committed = false;       // its attempt is stored
  bool desired = true;          // false: the task is to be stopped
  bool skipCheckpoint = false;  // stop without a checkpoint, as other tasks wait for its capacity
  bool restored = false;        // loaded from the store: a former owner may have sent its start
  bool startSent = false;       // this owner sent a start command
  bool observed = false;        // listed by a heartbeat of the worker's current incarnation
  wire::TaskPhase phase = wire::TaskPhase::Fetching;  // as last reported
  SequenceNumber startSentWith;                       // the last heartbeat whose response had its start
  Time placedAt{};
  Time runningSince{};
  Time stopSent{};  // when its first or its latest direct stop command was sent

  // The desired and the observed state differ.
  [[nodiscard]] bool pending() const { return !desired || !observed; }
  // This owner has to send its start, and the worker does not report it yet.
  [[nodiscard]] bool awaitsStart() const { return committed && desired && !observed && !restored; }
  // The worker has to be told to stop it.
  [[nodiscard]] bool awaitsStop() const { return !desired && observed; }
};

// A machine of the shard as its owner sees it, with the state of the communication with its worker.
//
// State transitions:
//
// clang-format off
//   booting         not registered, and no address in its record
//     | a heartbeat that carries this owner's token (invariants 7 and 12)
//     v
//   registered      open() for new work, unless one of these holds:
//     |               cordoned          no recent report; lifted by the next one
//     |               unacknowledged    it may not hear its owner (CommandFence); resolved by a heartbeat
//     |                                 with a higher token
//     |               reclaimAt         the cloud has announced that it reclaims the machine
//     |               draining          leaves once it is empty; can be cancelled
//     |               decommissioning   takes no more work, irrevocably
//     | no heartbeat until its lease has expired (leaseExpiresAt)
//     v
//   not registered  its incarnation has ended and all its tasks are known gone; the next heartbeat of
//                   a new incarnation registers it again
//
//   returnNow       suspected (ShardScheduler::suspected) or faulty: returned to the cloud regardless of
//                   its tasks, and removed once its record is deleted
// clang-format on
struct Machine {
  MachineId id;
  std::uint32_t no = 0;  // number in the shard state, for a deterministic order
  MachineEntry known;    // its entry in the cluster view
  MachinePool* pool = nullptr;
  Resources size, used;
  double fetchGbPerS = 0;
  double replicaCores = 0;  // cores used by service replicas
  std::map<TaskId, Placement> placements;
  ImageCache images;

  // --- heartbeats from the worker ---
  bool registered = false;  // has sent our token (invariant 7), and its lease has not expired since
  bool cordoned = false;    // no recent report, whose answer could start tasks: gets no new work
  Time lastHeartbeatAt{};
  HeartbeatPosition lastReport;  // position of the last heartbeat that did not answer a direct command
  Time lastReportAt{};           // when it arrived
  Time leaseExpiresAt{};         // latest possible end of its worker's incarnation (invariant 2)
  CommandFence fence;
  std::vector<wire::ReportedTask> reported;  // the tasks in the last accepted heartbeat
  std::string address;                       // as reported by the worker
  std::optional<Time> reclaimAt;             // announced time of its reclaim by the cloud

  // --- commands to the worker ---
  bool directCommandDue = true;         // a direct command or a probe has to be sent
  bool queuedForDirectCommand = false;  // it waits until fewer are in flight
  bool commandInFlight = false;         // a direct command was neither answered nor timed out
  bool followUpCommandDue = false;      // another one has to follow the one in flight
  Time nextCommandNotBefore{};          // earliest time of the next direct command
  unsigned unansweredProbes = 0;        // consecutive direct commands without an answer
  // Consecutive heartbeats without a task that the response to an earlier one should have started.
  unsigned missedStarts = 0;
  std::optional<Time> tokenUnacknowledgedSince;  // heartbeats arrive without our token (invariant 11)
  Time heartbeatExpectedUntil{};  // by then the worker reports a change: it needs no wake-up before

  // --- drain and removal ---
  bool draining = false;                   // no new work; leaves once empty unless capacity becomes short
  bool decommissioning = false;            // no new work; to be given up
  std::optional<std::int32_t> moveTarget;  // destination shard, or -1 for the cloud
  bool returnNow = false;                  // to the cloud, regardless of its tasks
  Time idleSince{};

  // Position in the indices of ShardState.
  std::optional<double> indexedFreeCores;
  std::size_t openIndex = 0;

  [[nodiscard]] FencingToken token() const { return fence.token(); }
  [[nodiscard]] bool acknowledged() const { return fence.acknowledged(); }
  bool spot() const { return known.record.spot; }
  const Zone& zone() const { return known.record.zone; }
  Resources free() const { return size - used; }
  double imageFetchSeconds(const JobSpec& job) const {
    return fetchGbPerS > 0 ? job.imageGb / fetchGbPerS : 0;
  }
  // Whether it accepts new tasks.
  bool open() const {
    return registered && !cordoned && !decommissioning && !draining && !reclaimAt &&
           known.record.phase == wire::MachinePhase::InUse && acknowledged() && size.cores > 0;
  }
  // The placement of exactly this attempt; null if it is not placed here.
  [[nodiscard]] Placement* placementOf(const wire::ReportedTask& reported);
  // Whether any task still has to be started or stopped.
  [[nodiscard]] bool anyPending() const;
  // A copy of the tasks whose placement satisfies the predicate, as callers may remove placements meanwhile.
  template <class Predicate>
  [[nodiscard]] std::vector<TaskId> tasksWhere(Predicate predicate) const {
    std::vector<TaskId> tasks;
    for (const auto& [task, placement] : placements)
      if (predicate(placement)) tasks.push_back(task);
    return tasks;
  }
  // Resources that will be freed by stopping tasks.
  Resources capacityBeingFreed() const;
};

// New content of a page: its entries that are still current, and as many new ones as fit.
struct PageUpdate {
  PageNumber number = 0;
  wire::PlacementPageRecord record;
  std::vector<TaskId> members;  // tasks whose state the record holds
};

// Owns all jobs and machines of the shard; pointers and references to them, and to pools, stay valid until
// their removal. Member functions keep the indices up to date; code that changes fields of a machine directly
// must call reindex() afterwards.
class ShardState {
 public:
  // The settings must outlive the state.
  explicit ShardState(const Settings& settings) : settings_(settings), pages_(settings.maxValueBytes) {}

  // --- jobs ---

  // Adds the shard's own job, or the delegated tasks of another shard's job (invariant 18).
  Job& addJob(const JobId& id, const JobEntry& entry, const Delegation* delegation = nullptr);
  // None of the job's tasks may be on a machine any more.
  void removeJob(const JobId& id);
  // Null if there is none.
  Job* job(const JobId& id);
  std::map<JobId, Job>& jobs() { return jobs_; }
  const std::map<JobId, Job>& jobs() const { return jobs_; }
  // A team's jobs that have not been removed, in order of submission.
  using TeamJobs = std::map<std::pair<WallTime, JobId>, Job*>;
  const std::map<TeamId, TeamJobs>& teams() const { return jobsByTeam_; }

  // --- machines ---

  // type: null if not in the catalog yet; the machine takes no work until setMachineType() is called.
  Machine& addMachine(const MachineId& id, const MachineEntry& entry, const MachineType* type, Time now);
  void setMachineType(Machine& machine, const MachineType& type);
  // The machine must have no placements any more.
  void removeMachine(const MachineId& id);
  // Null if there is none.
  Machine* machine(const MachineId& id);
  std::map<MachineId, Machine>& machines() { return machines_; }
  const std::map<MachineId, Machine>& machines() const { return machines_; }
  // Updates the indices. Must be called after any change that affects Machine::open() or the free cores.
  void reindex(Machine& machine);
  // Records that a task on the machine used the image.
  void recordImageUse(Machine& machine, const ImageId& image, double sizeGb);
  const std::list<MachinePool>& pools() const { return pools_; }
  std::list<MachinePool>& pools() { return pools_; }
  // Machines open for new work, in no particular order.
  const std::vector<Machine*>& openMachines() const { return openMachines_; }

  // --- placements ---

  // Places a waiting task on the machine. The caller removes its index from job.waiting. The task counts
  // toward all limits from now on (invariant 1).
  Placement& place(Job& job, std::uint32_t index, Machine& machine, Attempt attempt, Time now);
  // The task is known to be gone (invariant 2): queues it again, ahead of tasks that never ran.
  void requeueLostTask(Machine& machine, const TaskId& task, Time now);
  void markTaskDone(Machine& machine, const TaskId& task, Time now);
  // Delegates a waiting task to another shard: until it is returned, it counts toward the team's quota and
  // the zone constraints as if placed there.
  void markRemote(Job& job, std::uint32_t index, const std::optional<Zone>& zone);
  void takeBackRemote(Job& job, std::uint32_t index, const std::optional<Zone>& zone, bool done);
  // The placement's attempt was committed.
  static void commit(Placement& placement);
  // Marks all waiting tasks as done, when no remaining machine can report their completion.
  static void markWaitingDone(Job& job);
  // A heartbeat reported the task in this phase.
  void setPhase(Placement& placement, wire::TaskPhase phase, Time now);

  // --- quotas ---

  // Resources used by the team's tasks, on machines of this and of other shards.
  Resources teamUsage(const TeamId& team) const;
  // Resources that the team's tasks use, or may use, on another shard's machines.
  void addRemoteUsage(const TeamId& team, const Resources& sum) { usageByTeam_[team] += sum; }
  void subtractRemoteUsage(const TeamId& team, const Resources& sum) { usageByTeam_[team] -= sum; }
  // Whether one more task of the job fits the team's quota, or the job's own limit if it has one.
  bool withinLimit(const Job& job) const;
  // Whether the team uses more cores than its guarantee.
  bool aboveGuarantee(const Team& team) const;
  // Whether there is any task that such a claimant may preempt. guaranteed: its team is below its guarantee.
  bool mayPreempt(PriorityClass claimant, bool guaranteed) const;

  // --- placement pages ---

  // Composes the next page to write that is not in `taken`, adds it there, and removes its tasks from
  // `unwritten`. Nothing if no task needs writing, or if the page has no room; `unwritten` keeps the rest.
  std::optional<PageUpdate> composePage(std::deque<TaskId>& unwritten, std::set<PageNumber>& taken);
  // The task's latest state was loaded from that page.
  void attachToPage(const TaskId& task, PageNumber page);
  PlacementPages& pages() { return pages_; }
  const PlacementPages& pages() const { return pages_; }

 private:
  void addOwnTasks(Job& job, const JobEntry& entry);
  void addDelegatedTasks(Job& job, const Delegation& delegation);
  MachinePool& poolFor(const Machine& machine);
  void release(Machine& machine, std::map<TaskId, Placement>::iterator placement, Time now);
  // The state of the task on its page is outdated from now on.
  void detachFromPage(Task& task);
  bool isCurrentOn(const TaskId& id, PageNumber page);
  bool needsWriting(const TaskId& id);
  // Returns false and adds nothing if the record would exceed the size limit of a value.
  bool addToPage(PageUpdate& update, std::size_t& bytes, const TaskId& id);
  void addUnwritten(PageUpdate& update, std::size_t& bytes, std::deque<TaskId>& unwritten);

  const Settings& settings_;
  PlacementPages pages_;
  std::map<JobId, Job> jobs_;
  std::map<TeamId, TeamJobs> jobsByTeam_;
  std::map<MachineId, Machine> machines_;
  std::list<MachinePool> pools_;
  std::vector<Machine*> openMachines_;
  std::unordered_map<ImageId, MachineSet> imageHolders_;  // machines estimated to have the image cached
  std::unordered_map<TeamId, Resources> usageByTeam_;
  std::array<double, 4> usedByPriority_{};  // used cores, by PriorityClass
  std::uint32_t lastMachineNo_ = 0;
};

}  // namespace cherryloft
