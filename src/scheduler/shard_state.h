// A shard's picture: its jobs, its machines and what may be where, with the indices that decisions look
// things up in. No I/O and no clock of its own.
#pragma once

#include <array>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "cluster/cluster_view.h"
#include "net/server.h"
#include "scheduler/command_fence.h"
#include "scheduler/placement_pages.h"
#include "wire/workers.h"

namespace cherryloft {

struct Machine;
struct Pool;
// Machines by their number in the shard state, so that walks come in the same order every time.
using MachineSet = std::map<std::uint32_t, Machine*>;

// Remote: another shard has it, by a delegation (invariant 18).
enum class TaskState : std::uint8_t { Waiting, Placed, Done, Remote };

struct Task {
  TaskState state = TaskState::Waiting;
  bool doneCommitted = false;
  bool writeInFlight = false;  // a write of its state is on its way
  PageNumber page = kNoPage;   // where the latest write of its state is
  Machine* machine = nullptr;  // while placed
};

struct Job {
  JobId id;
  std::shared_ptr<const JobSpec> spec;
  const Team* team = nullptr;
  MachineSet* holders = nullptr;  // machines that are taken to cache its image
  Version version;
  WallTime submitted;
  JobStatus status = JobStatus::Open;  // as committed
  bool cancelRequested = false;
  std::vector<std::function<void(JobStatus)>> cancelWaiters;
  std::vector<Task> tasks;
  std::deque<std::uint32_t> waiting;
  std::map<Zone, unsigned> zones;  // its tasks by zone, as the placement rules count them
  std::uint32_t done = 0, placed = 0, running = 0;
  std::uint32_t committed = 0;   // of those placed, whose attempt is written
  Time since{};                  // when this controller learnt of it
  Time placedLast{};             // when a task of it was placed last
  bool begun = false;            // a task of it was placed once
  bool avoidSpot = false;        // in this turn
  std::optional<Zone> onlyZone;  // of a gang, in this turn: the zone that all its members are tried in
  unsigned lost = 0;             // tasks that were to go on and are gone
  Time notBefore{};
  std::optional<std::uint32_t>
      maxConcurrent;     // of a job of another shard's team: its tasks that may be placed at a time
  Time anyStartUntil{};  // till then it does not wait for room on machines that have its image
  // Invariant 18. Of a job that this shard owns: what other shards have of it, as committed.
  std::vector<Delegation> delegations;
  // Of a job that another shard owns: what this shard has of it. All its other tasks are Remote.
  std::optional<Delegation> delegation;
  std::uint32_t remote = 0;            // tasks in state Remote
  std::optional<Attempt> gangAttempt;  // of a gang parted among shards, for its members here
  bool recalling = false;              // of such a gang: it starts anew once all its tasks are back

  bool open() const { return status == JobStatus::Open && !cancelRequested; }
  bool isGang() const { return spec->kind == JobKind::Gang; }
  // Members of a gang complete together: one that is done proves it of all.
  bool gangDone() const { return isGang() && done > 0; }
  bool finished() const { return done == tasks.size() || (gangDone() && remote == 0); }
  // Every task that this shard is to place is placed, and its attempt written.
  bool allCommitted() const { return waiting.empty() && committed == placed; }
  Resources unfinished() const { return spec->each * static_cast<double>(tasks.size() - done - remote); }
};

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
//     | a heartbeat shows it ended, or lacks it and no start of it can arrive; the worker's incarnation is
//     over; | or the machine's record is gone. One whose start was never sent
//     | is gone at once
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

// The images a machine is taken to cache: the most recently used ones.
class ImageCache {
 public:
  explicit ImageCache(double capacityGb = 0) : capacity_(capacityGb) {}
  // Returns what had to go for it.
  std::vector<ImageId> touch(const ImageId& image, double gb);

 private:
  double capacity_;
  std::list<std::pair<ImageId, double>> recent_;  // latest first
};

// A machine of the shard, as its owner knows it, and the dealings with the worker on it.
//
// What moves it:
//
//   booting       not heard, and no address in its record
//     | a heartbeat that shows our token (invariants 7 and 12)
//     v
//   heard         open() for new work, unless one of the states below says otherwise
//     |   cordoned            no heartbeat of late; the next one ends it
//     |   command in doubt    an unanswered command may still arrive (CommandFence); a heartbeat with a
//     higher |                       token ends it |   reclaimAt           the cloud has announced that it
//     takes the machine |   draining            takes no more work, and leaves when it is empty; may be
//     called off |   decommissioning     takes no more work, for good | silent for its whole lease
//     (aliveUntil)
//     v
//   not heard     its incarnation is over and all its tasks are known gone; the next heartbeat of a new
//                 incarnation makes it heard again
//
//   returnNow     suspected (ShardScheduler::suspected) or faulty: it goes to the cloud whatever is on it,
//   and
//                 is removed with its record
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

// Machines of one kind in one zone, by the cores that are free on them. Only open ones are in it.
struct Pool {
  std::string type;
  Zone zone;
  bool spot = false;
  Resources size;
  double fetchGbPerS = 0;
  std::size_t machines = 0;  // open or not
  std::size_t booting = 0;   // never heard yet, when last counted
  using ByFreeCores = std::map<std::pair<double, std::uint32_t>, Machine*>;
  ByFreeCores byFreeCores;

  // The fullest machine that has so many cores free; those after it have more.
  ByFreeCores::const_iterator withFreeCores(double cores) const {
    return byFreeCores.lower_bound({cores - kResourceSlack, 0});
  }
  // Whether a machine has room for such a task and allows it, with at most so many looked at.
  template <class Allows>
  bool hasCapacity(const Resources& each, unsigned mostLooked, Allows allows) const {
    auto at = withFreeCores(each.cores);
    for (unsigned looked = 0; at != byFreeCores.end() && looked < mostLooked; ++at, ++looked)
      if (each.fitsIn(at->second->free()) && allows(*at->second)) return true;
    return false;
  }
};

// A page as it is to be written: what is still true of it, and as many new facts as it has room for.
struct PageUpdate {
  PageNumber number = 0;
  wire::PageRecord record;
  std::vector<TaskId> members;
};

class ShardState {
 public:
  explicit ShardState(const Settings& settings) : settings_(settings), pages_(settings.valueBytes) {}

  // The shard's own job, or what a delegation gives to it of another shard's.
  Job& addJob(const JobId& id, const JobEntry& known, const Delegation* delegation = nullptr);
  void removeJob(const JobId& id);
  Job* job(const JobId& id);
  std::map<JobId, Job>& jobs() { return jobs_; }
  const std::map<JobId, Job>& jobs() const { return jobs_; }
  // A team's jobs that are not over, in order of submission.
  using TeamJobs = std::map<std::pair<WallTime, JobId>, Job*>;
  const std::map<TeamId, TeamJobs>& teams() const { return byTeam_; }

  Machine& addMachine(const MachineId& id, const MachineEntry& known, const MachineType* type, Time now);
  void removeMachine(const MachineId& id);
  Machine* machine(const MachineId& id);
  std::map<MachineId, Machine>& machines() { return machines_; }
  const std::map<MachineId, Machine>& machines() const { return machines_; }

  Placement& place(Job& job, std::uint32_t index, Machine& machine, Attempt attempt, Time now);
  // The task is known gone; it waits again unless its job is over.
  void markGone(Machine& machine, const TaskId& task, Time now);
  void taskDone(Machine& machine, const TaskId& task, Time now);
  // A waiting task goes to another shard: it counts toward the team's limit and the zones' rules as if placed
  // there, until it is back.
  void makeRemote(Job& job, std::uint32_t index, const std::optional<Zone>& zone);
  void remoteBack(Job& job, std::uint32_t index, const std::optional<Zone>& zone, bool done);
  // The placement's attempt is written.
  static void commit(Placement& p);
  // All tasks that wait are done though no machine that is left can tell.
  static void doneWaiting(Job& job);
  void setPhase(Placement& p, wire::TaskPhase phase, Time now);
  void cached(Machine& machine, const ImageId& image, double gb);
  // To be told after anything that Host::open() depends on has changed.
  // Its type was not in the catalog when it came.
  void learnType(Machine& h, const MachineType& type);
  void reindex(Machine& machine);
  const std::list<Pool>& pools() const { return pools_; }
  std::list<Pool>& pools() { return pools_; }
  const std::vector<Machine*>& openMachines() const { return open_; }

  Resources teamUse(const TeamId& team) const;
  // What tasks of the team take on another shard's machines, or may take.
  void countRemoteUsage(const TeamId& team, const Resources& sum) { use_[team] += sum; }
  void uncountRemoteUsage(const TeamId& team, const Resources& sum) { use_[team] -= sum; }
  // Whether one more task keeps its team within the limit.
  bool withinLimit(const Job& job) const;
  bool aboveGuarantee(const Team& team) const;
  // Some work is there that such a claimant may stop.
  bool mayPreempt(PriorityClass claimant, bool guaranteed) const;

  // A page that is not taken yet, and is from then on. It takes from fresh the tasks whose state it will
  // hold; nothing if there are none.
  std::optional<PageUpdate> composePage(std::deque<TaskId>& unwritten, std::set<PageNumber>& taken);
  void restored(const TaskId& task, PageNumber page);
  PlacementPages& pages() { return pages_; }

 private:
  void takeOwn(Job& job, const JobEntry& known);
  void takeDelegated(Job& job, const Delegation& delegation);
  void release(Machine& machine, std::map<TaskId, Placement>::iterator it, Time now);
  void forgetFact(Task& t);
  bool stands(const TaskId& id, PageNumber page);

  const Settings& settings_;
  PlacementPages pages_;
  std::map<JobId, Job> jobs_;
  std::map<TeamId, TeamJobs> byTeam_;
  std::map<MachineId, Machine> machines_;
  std::list<Pool> pools_;
  std::vector<Machine*> open_;
  std::unordered_map<ImageId, MachineSet> holders_;
  std::unordered_map<TeamId, Resources> use_;
  std::array<double, 4> usedByPriority_{};
  std::uint32_t machineCount_ = 0;
};

}  // namespace cherryloft
