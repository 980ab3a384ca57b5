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
#include "scheduler/image_cache.h"
#include "scheduler/job.h"
#include "scheduler/machine_pool.h"
#include "scheduler/placement_pages.h"
#include "wire/workers.h"

namespace cherryloft {

// A task that may be on a machine (invariant 1: from its commit on; counted even before).
struct Placement {
  Job* job = nullptr;
  Attempt attempt;
  bool committed = false;
  bool wanted = true;           // false: it is to be stopped
  bool skipCheckpoint = false;  // it is to be stopped at once, as others wait for its room
  bool restored = false;        // read from the store: a former owner may have sent its start
  bool sent = false;            // we sent its start
  bool shown = false;           // a report of this incarnation showed it
  wire::TaskPhase phase = wire::TaskPhase::Fetching;
  SequenceNumber startSentWith;  // the last heartbeat whose answer carried its start
  Time placedAt{};
  Time runningSince{};
  Time stopSent{};

  bool pending() const { return !wanted || !shown; }
};

struct Machine {
  MachineId id;
  std::uint32_t no = 0;
  MachineEntry known;
  Pool* pool = nullptr;
  Resources size, used;
  double fetchGbPerS = 0;
  double replicaCores = 0;  // of services
  std::map<TaskId, Placement> placements;
  ImageCache images;

  bool heard = false;     // a report with our token came (invariant 7)
  bool cordoned = false;  // not heard of late: it gets no new work
  Incarnation incarnation, expiredIncarnation;
  SequenceNumber sequence;
  Time lastHeard{};
  Time aliveUntil{};            // beyond this its worker has ended its incarnation (invariant 2)
  FencingToken lowestOwnToken;  // the lowest token that is ours
  std::uint64_t tokenGeneration = 0;
  FencingToken highestTokenSeen;  // highest token the worker reported
  std::optional<FencingToken>
      commandInDoubt;               // direct commands up to this token may still arrive (invariant 3)
  Incarnation expectedIncarnation;  // the incarnation that commands name while no report is trusted
  bool commandInFlight = false, sendAgain = false;
  unsigned unansweredProbes = 0;  // direct commands in a row without an answer
  Time sendNotBefore{};
  unsigned missedStarts =
      0;  // heartbeats in a row that lack what an answer to one before should have started
  std::optional<Time> tokenUnacknowledgedSince;  // reports come, but none that shows our token (invariant 11)
  std::vector<wire::ReportedTask> reported;
  std::optional<Time> reclaimAt;

  bool draining = false;         // takes no more work, and goes when it is empty unless room gets short
  bool decommissioning = false;  // takes no more work: to be given up
  std::optional<std::int32_t> moveTarget;  // shard, or -1 for the cloud
  bool returnNow = false;                  // to the cloud whatever is on it
  std::string address;                     // as it says itself
  Time idleSince{};
  bool attention = true;  // has commands to be sent, or is to be asked

  // Where the index has it.
  std::optional<double> indexedFree;
  std::size_t openAt = 0;

  FencingToken token() const { return FencingToken{lowestOwnToken.value + tokenGeneration}; }
  bool noCommandInDoubt() const { return !commandInDoubt || highestTokenSeen > *commandInDoubt; }
  bool spot() const { return known.record.spot; }
  const Zone& zone() const { return known.record.zone; }
  Resources free() const { return size - used; }
  double fetchS(const JobSpec& job) const { return fetchGbPerS > 0 ? job.imageGb / fetchGbPerS : 0; }
  // It takes new work.
  bool open() const {
    return heard && !cordoned && !decommissioning && !draining && !reclaimAt &&
           known.record.phase == wire::MachinePhase::InUse && noCommandInDoubt() && size.cores > 0;
  }
  // Room that stopping tasks will leave.
  Resources capacityBeingFreed() const;
};

// A page as it is to be written: what is still true of it, and as many new facts as it has room for.
struct PageUpdate {
  PageNumber number = 0;
  wire::PageRecord record;
  std::vector<TaskId> members;  // whose state the record tells
};

// Owns all jobs and machines of the shard; pointers and references to them, and to pools, are valid until
// they are removed. The indices follow each change made by a member function. What changes the fields of a
// machine directly calls reindex() afterwards.
class ShardState {
 public:
  // The settings must outlive the state.
  explicit ShardState(const Settings& settings) : settings_(settings), pages_(settings.valueBytes) {}

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
