// A job and its tasks as the owner of a shard sees them.
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
// Machines by their number in the shard state, so that walks come in the same order every time.
using MachineSet = std::map<std::uint32_t, Machine*>;

enum class TaskState : std::uint8_t {
  Waiting,
  Placed,  // on a machine of this shard, or to be there once the placement is committed (invariant 1)
  Done,
  Remote,  // another shard has it, by a delegation (invariant 18)
};

struct Task {
  TaskState state = TaskState::Waiting;
  bool doneCommitted = false;
  bool writeInFlight = false;  // a write of its state is on its way
  PageNumber page = kNoPage;   // where the latest write of its state is
  Machine* machine = nullptr;  // while placed
};

// An open job, or a cancelled one of which tasks may still be on machines.
struct Job {
  JobId id;
  std::shared_ptr<const JobSpec> spec;
  const Team* team = nullptr;
  MachineSet* imageHolders = nullptr;  // machines that are taken to cache its image
  Version version;
  WallTime submitted;
  JobStatus status = JobStatus::Open;  // as committed
  bool cancelRequested = false;
  std::vector<std::function<void(JobStatus)>> cancelCallbacks;
  std::vector<Task> tasks;
  std::deque<std::uint32_t> waiting;  // indices of tasks to place, next first
  std::map<Zone, unsigned> zones;     // its tasks by zone, as the placement rules count them
  std::uint32_t done = 0;
  std::uint32_t placed = 0;
  std::uint32_t running = 0;         // of those placed, that a heartbeat showed as running
  std::uint32_t committed = 0;       // of those placed, whose attempt is written
  Time since{};                      // when this controller learnt of it
  Time lastPlacedAt{};               // when a task of it was placed last
  bool started = false;              // a task of it was placed once
  bool avoidSpot = false;            // in this turn
  std::optional<Zone> requiredZone;  // of a gang, in this turn: the zone that all its members are tried in
  unsigned lost = 0;                 // tasks that were to go on and are gone
  Time notBefore{};                  // no task of it is placed before
  std::optional<std::uint32_t>
      maxConcurrent;  // of a job of another shard's team: its tasks that may be placed at a time
  Time ignoreImageAffinityUntil{};  // till then it does not wait for room on machines that have its image
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

}  // namespace cherryloft
