// In-memory state of a job and its tasks, as kept by the owner of a shard.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cluster/cluster_view.h"
#include "scheduler/placement_pages.h"

namespace cherryloft {

struct Machine;
// Machines by their number in the shard state, which makes the iteration order deterministic.
using MachineSet = std::map<std::uint32_t, Machine*>;

enum class TaskState : std::uint8_t {
  Waiting,
  Placed,  // on a machine of this shard, or assigned to one with the commit pending (invariant 1)
  Done,
  Remote,  // delegated to another shard (invariant 18)
};

struct Task {
  TaskState state = TaskState::Waiting;
  bool doneCommitted = false;  // its completion is stored
  bool writeInFlight = false;  // a write of its state has not been acknowledged
  PageNumber page = kNoPage;   // holds the latest write of its state
  Machine* machine = nullptr;  // set while Placed
};

// An open job, or a cancelled one whose tasks may still be on machines.
struct Job {
  JobId id;
  std::shared_ptr<const JobSpec> spec;
  const Team* team = nullptr;
  MachineSet* imageHolders = nullptr;  // machines estimated to have its image cached
  Version version;
  WallTime submitted;
  JobStatus status = JobStatus::Open;  // as committed
  bool cancelRequested = false;
  std::vector<std::function<void(JobStatus)>> cancelCallbacks;
  std::vector<Task> tasks;
  std::deque<std::uint32_t> waiting;  // indices of the tasks to place, in order
  std::map<Zone, unsigned> zones;     // tasks per zone, for the placement constraints
  std::uint32_t done = 0;
  std::uint32_t placed = 0;
  std::uint32_t running = 0;                   // placed tasks that a heartbeat reported as running
  std::uint32_t committed = 0;                 // placed tasks whose attempt is committed
  Time since{};                                // when this controller first saw the job
  Time lastPlacedAt{};                         // when one of its tasks was last placed
  bool started = false;                        // at least one of its tasks has been placed
  bool avoidSpot = false;                      // during the current placement turn
  std::optional<Zone> requiredZone;            // of a gang: the only zone tried in this placement turn
  unsigned lost = 0;                           // reported tasks that were lost on spot machines
  Time notBefore{};                            // backoff: no task is placed before this time
  std::optional<std::uint32_t> maxConcurrent;  // limit on placed tasks, for a job of another shard's team
  Time ignoreImageAffinityUntil{};             // until then it does not wait for machines with its image
  // Invariant 18. For a job that this shard owns: its committed delegations to other shards.
  std::vector<Delegation> delegations;
  // For a job that another shard owns: the tasks delegated to this shard. All its other tasks are Remote.
  std::optional<Delegation> delegation;
  std::uint32_t remote = 0;            // tasks in state Remote
  std::optional<Attempt> gangAttempt;  // of a gang split across shards: the attempt of the local members
  bool recalling = false;              // of such a gang: it restarts once all its tasks are returned

  bool open() const { return status == JobStatus::Open && !cancelRequested; }
  bool isGang() const { return spec->kind == JobKind::Gang; }
  // Gang members complete together, so one completed member implies that all are done.
  bool gangDone() const { return isGang() && done > 0; }
  bool finished() const { return done == tasks.size() || (gangDone() && remote == 0); }
  // All tasks that this shard has to place are placed, and their attempts are committed.
  bool allCommitted() const { return waiting.empty() && committed == placed; }
  Resources unfinished() const { return spec->each * static_cast<double>(tasks.size() - done - remote); }
};

}  // namespace cherryloft
