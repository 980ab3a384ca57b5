// ShardState: a shard's jobs, its machines and what may run where, with the indices that decisions look
// things up in. No I/O and no clock of its own: the caller says what time it is.
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
#include "wire/workers.h"

namespace cherryloft {

// What a worker runs or is told to run: a task may be attempted several times.
struct TaskAttempt {
  TaskId task;
  Attempt attempt;
  friend auto operator<=>(const TaskAttempt&, const TaskAttempt&) = default;
  friend bool operator==(const TaskAttempt&, const TaskAttempt&) = default;
};

// A task that may be on a machine (invariant 1: from its commit on; counted even before).
//
// What moves it (invariants 2, 3 and 8 say when a placement may be dropped):
//
//   placed        wanted; its attempt is not written yet
//     | the commit of its attempt succeeds, or it is read from the store: restored
//     v
//   committed     awaitsStart(), unless restored: a former owner may have sent its start
//     | a command with its start goes out: startSent
//     v
//   starting      repeated in answers to heartbeats until it is shown
//     | a heartbeat of the worker's present incarnation lists it: shown
//     v
//   shown         in the phase that the worker says, until a heartbeat says that it ended
//     | preemption, drain, cancellation, a broken gang: no longer wanted (from any state above)
//     v
//   stopping      awaitsStop() if it is shown; else it waits until no start can arrive any more
//     | a heartbeat shows it ended, or lacks it and no start of it can arrive; the worker's incarnation
//     | is over; or the machine's record is gone. One whose start was never sent is gone at once
//     v
//   known gone    the placement is removed; the task waits again, unless it is done
struct Placement {
  Job* job = nullptr;
  Attempt attempt;
  bool committed = false;       // its attempt is written
  bool wanted = true;           // false: it is to be stopped
  bool skipCheckpoint = false;  // it is to be stopped at once, as others wait for its room
  bool restored = false;        // read from the store: a former owner may have sent its start
  bool startSent = false;       // a command of ours carried its start
  bool shown = false;           // a heartbeat of the worker's present incarnation listed it
  wire::TaskPhase phase = wire::TaskPhase::Fetching;  // as last shown
  SequenceNumber startSentWith;                       // the last heartbeat whose answer carried its start
  Time placedAt{};
  Time runningSince{};
  Time stopSent{};  // when its first stop, or its last direct one, went out

  // What we want and what the worker shows differ.
  [[nodiscard]] bool pending() const { return !wanted || !shown; }
  // Its start is ours to send, and the worker does not show it yet.
  [[nodiscard]] bool awaitsStart() const { return committed && wanted && !shown && !restored; }
  // The worker is to be told to stop it.
  [[nodiscard]] bool awaitsStop() const { return !wanted && shown; }
};

// A machine of the shard, as its owner knows it, and the dealings with the worker on it.
//
// What moves it:
//
// clang-format off
//   booting       not heard, and no address in its record
//     | a heartbeat that shows our token (invariants 7 and 12)
//     v
//   heard         open() for new work, unless one of these holds:
//     |             cordoned          no heartbeat of late; the next one ends it
//     |             command in doubt  an unanswered command may still arrive (CommandFence);
//     |                               a heartbeat with a higher token ends it
//     |             reclaimAt         the cloud has announced that it takes the machine
//     |             draining          leaves when it is empty; may be called off
//     |             decommissioning   takes no more work, for good
//     | silent for its whole lease (aliveUntil)
//     v
//   not heard     its incarnation is over and all its tasks are known gone; the next heartbeat of a
//                 new incarnation makes it heard again
//
//   returnNow     suspected (ShardScheduler::suspected) or faulty: it goes to the cloud whatever is
//                 on it, and is removed with its record
// clang-format on
struct Machine {
  MachineId id;
  std::uint32_t no = 0;  // in the shard state; gives walks their order
  MachineEntry known;    // its record
  Pool* pool = nullptr;
  Resources size, used;
  double fetchGbPerS = 0;
  double replicaCores = 0;  // of services
  std::map<TaskId, Placement> placements;
  ImageCache images;

  // --- hearing the worker ---
  bool heard = false;     // a heartbeat with our token came (invariant 7), and its lease is not over since
  bool cordoned = false;  // not heard of late: it gets no new work
  Time lastHeard{};
  Time aliveUntil{};  // beyond this its worker has ended its incarnation (invariant 2)
  CommandFence fence;
  std::vector<wire::ReportedTask> reported;  // the tasks in the last accepted heartbeat
  std::string address;                       // as it says itself
  std::optional<Time> reclaimAt;             // when the cloud takes it, as announced

  // --- being heard by it ---
  bool contactDue = true;         // it has commands to get, or is to be asked for a heartbeat
  bool commandInFlight = false;   // a direct command has neither an answer nor timed out
  bool sendAgain = false;         // another direct command is to follow that one
  Time sendNotBefore{};           // the next direct command
  unsigned unansweredProbes = 0;  // direct commands in a row without an answer
  // Heartbeats in a row that lack a task that an answer to an earlier one should have started.
  unsigned missedStarts = 0;
  std::optional<Time> tokenUnacknowledgedSince;  // heartbeats come, but none shows our token (invariant 11)

  // --- leaving ---
  bool draining = false;         // takes no more work, and goes when it is empty unless room gets short
  bool decommissioning = false;  // takes no more work: to be given up
  std::optional<std::int32_t> moveTarget;  // shard, or -1 for the cloud
  bool returnNow = false;                  // to the cloud whatever is on it
  Time idleSince{};

  // Where the index has it.
  std::optional<double> indexedFree;
  std::size_t openAt = 0;

  [[nodiscard]] FencingToken token() const { return fence.token(); }
  [[nodiscard]] bool noCommandInDoubt() const { return fence.noCommandInDoubt(); }
  bool spot() const { return known.record.spot; }
  const Zone& zone() const { return known.record.zone; }
  Resources free() const { return size - used; }
  double fetchS(const JobSpec& job) const { return fetchGbPerS > 0 ? job.imageGb / fetchGbPerS : 0; }
  // It takes new work.
  bool open() const {
    return heard && !cordoned && !decommissioning && !draining && !reclaimAt &&
           known.record.phase == wire::MachinePhase::InUse && noCommandInDoubt() && size.cores > 0;
  }
  // The placement of this very attempt; null if the task is not placed here.
  [[nodiscard]] Placement* placementOf(const wire::ReportedTask& reported);
  // Some task is still to be started or stopped.
  [[nodiscard]] bool anyPending() const;
  // A copy of the tasks whose placement satisfies the predicate, as placements may go while they are walked.
  template <class Predicate>
  [[nodiscard]] std::vector<TaskId> tasksWhere(Predicate predicate) const {
    std::vector<TaskId> tasks;
    for (const auto& [task, placement] : placements)
      if (predicate(placement)) tasks.push_back(task);
    return tasks;
  }
  // Room that stopping tasks will leave.
  Resources capacityBeingFreed() const;
};

// A page as it is to be written: what is still true of it, and as many new facts as it has room for.
struct PageUpdate {
  PageNumber number = 0;
  wire::PlacementPageRecord record;
  std::vector<TaskId> members;  // whose state the record tells
};

// Owns all jobs and machines of the shard; pointers and references to them, and to pools, are valid until
// they are removed. The indices follow each change made by a member function. What changes the fields of a
// machine directly calls reindex() afterwards.
class ShardState {
 public:
  // The settings must outlive the state.
  explicit ShardState(const Settings& settings) : settings_(settings), pages_(settings.maxValueBytes) {}

  // --- jobs ---

  // The shard's own job, or what a delegation gives to it of another shard's (invariant 18).
  Job& addJob(const JobId& id, const JobEntry& known, const Delegation* delegation = nullptr);
  // Nothing of the job may be on a machine any more.
  void removeJob(const JobId& id);
  // Null if there is none.
  Job* job(const JobId& id);
  std::map<JobId, Job>& jobs() { return jobs_; }
  const std::map<JobId, Job>& jobs() const { return jobs_; }
  // A team's jobs that are not over, in order of submission.
  using TeamJobs = std::map<std::pair<WallTime, JobId>, Job*>;
  const std::map<TeamId, TeamJobs>& teams() const { return byTeam_; }

  // --- machines ---

  // Without a type (it is not in the catalog yet) the machine takes no work until learnType() is called.
  Machine& addMachine(const MachineId& id, const MachineEntry& known, const MachineType* type, Time now);
  void learnType(Machine& machine, const MachineType& type);
  // Nothing may be on the machine any more.
  void removeMachine(const MachineId& id);
  // Null if there is none.
  Machine* machine(const MachineId& id);
  std::map<MachineId, Machine>& machines() { return machines_; }
  const std::map<MachineId, Machine>& machines() const { return machines_; }
  // Brings the indices up to date: to be called after anything that Machine::open() or its free cores depend
  // on has changed.
  void reindex(Machine& machine);
  // The image, of that size, was used on the machine just now.
  void cached(Machine& machine, const ImageId& image, double sizeGb);
  const std::list<Pool>& pools() const { return pools_; }
  std::list<Pool>& pools() { return pools_; }
  // Machines that take new work, in no particular order.
  const std::vector<Machine*>& openMachines() const { return open_; }

  // --- placements ---

  // Puts a waiting task on the machine. The caller takes its index out of job.waiting. It counts toward all
  // limits from now on (invariant 1).
  Placement& place(Job& job, std::uint32_t index, Machine& machine, Attempt attempt, Time now);
  // The task is known gone (invariant 2): it waits again, before tasks that never ran.
  void markGone(Machine& machine, const TaskId& task, Time now);
  void taskDone(Machine& machine, const TaskId& task, Time now);
  // A waiting task goes to another shard: it counts toward the team's quota and the zones' rules as if placed
  // there, until it is back.
  void makeRemote(Job& job, std::uint32_t index, const std::optional<Zone>& zone);
  void remoteBack(Job& job, std::uint32_t index, const std::optional<Zone>& zone, bool done);
  // The placement's attempt is written.
  static void commit(Placement& placement);
  // All tasks that wait are done though no machine that is left can tell.
  static void doneWaiting(Job& job);
  // A heartbeat showed the task in this phase.
  void setPhase(Placement& placement, wire::TaskPhase phase, Time now);

  // --- quotas ---

  // What the team's tasks take, on this shard's machines and on others'.
  Resources teamUse(const TeamId& team) const;
  // What tasks of the team take on another shard's machines, or may take.
  void countRemoteUsage(const TeamId& team, const Resources& sum) { usageByTeam_[team] += sum; }
  void uncountRemoteUsage(const TeamId& team, const Resources& sum) { usageByTeam_[team] -= sum; }
  // Whether one more task of the job keeps its team within the quota.
  bool withinLimit(const Job& job) const;
  // The team uses more cores than it is guaranteed.
  bool aboveGuarantee(const Team& team) const;
  // Some work is there that such a claimant may preempt. guaranteed: its team is below its guarantee.
  bool mayPreempt(PriorityClass claimant, bool guaranteed) const;

  // --- pages of placements ---

  // Composes the page that is best written next, of those not in taken, and adds it to taken. It takes from
  // unwritten the tasks whose state the page will hold. Nothing if no task needs writing, or if the page
  // turned out to be full; then unwritten still holds what needs writing.
  std::optional<PageUpdate> composePage(std::deque<TaskId>& unwritten, std::set<PageNumber>& taken);
  // The task's latest state is on that page, as loaded from the store.
  void restored(const TaskId& task, PageNumber page);
  PlacementPages& pages() { return pages_; }
  const PlacementPages& pages() const { return pages_; }

 private:
  void addOwnTasks(Job& job, const JobEntry& known);
  void addDelegatedTasks(Job& job, const Delegation& delegation);
  Pool& poolFor(const Machine& machine);
  void release(Machine& machine, std::map<TaskId, Placement>::iterator placement, Time now);
  // The page that holds the task's state holds an outdated one from now on.
  void detachFromPage(Task& task);
  bool isCurrentOn(const TaskId& id, PageNumber page);
  bool needsWriting(const TaskId& id);
  // False, and nothing is added, if the record would be larger than a value may be.
  bool addToPage(PageUpdate& update, std::size_t& bytes, const TaskId& id);
  void addUnwritten(PageUpdate& update, std::size_t& bytes, std::deque<TaskId>& unwritten);

  const Settings& settings_;
  PlacementPages pages_;
  std::map<JobId, Job> jobs_;
  std::map<TeamId, TeamJobs> byTeam_;
  std::map<MachineId, Machine> machines_;
  std::list<Pool> pools_;
  std::vector<Machine*> open_;
  std::unordered_map<ImageId, MachineSet> holders_;  // machines that are taken to cache the image
  std::unordered_map<TeamId, Resources> usageByTeam_;
  std::array<double, 4> usedByPriority_{};  // cores, by PriorityClass
  std::uint32_t machineCount_ = 0;          // ever added, as machines are numbered by it
};

}  // namespace cherryloft
