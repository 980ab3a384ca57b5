// Tracks the resources that tasks of this shard's teams use, or may use, on machines of other shards.
//
// A team's quota is enforced by the team's home shard (invariant 17). For a job that migrated to another
// shard, all tasks that may run there concurrently count; for a cancelled job, the delegated tasks count
// (invariant 18). Each tracked job counts toward the team's usage in ShardState until it is released.
//
// Performs no I/O and reads no clock. Owned by one ShardScheduler and used only on its thread. Refers to that
// scheduler's ShardState, which must outlive it.
#pragma once

#include <map>
#include <optional>

#include "base/job.h"
#include "base/types.h"
#include "cluster/cluster_view.h"

namespace cherryloft {

class ShardState;

class RemoteUsage {
 public:
  // cancelPeriod: by this time after a job's cancellation was committed, no task of it is on any machine.
  RemoteUsage(ShardState& state, Duration cancelPeriod) : state_(state), cancelPeriod_(cancelPeriod) {}

  // Reserves the usage of a job whose migration is planned; `tasks` is how many of its tasks may run
  // elsewhere concurrently. The reservation lasts until dropReservation(), or until markCommitted() and a
  // later releaseEnded().
  void reserve(const JobId& job, const JobSpec& spec, std::uint32_t tasks);
  // The migration was not written. Does nothing if the job is not tracked.
  void dropReservation(const JobId& job);
  // The migration is committed. Does nothing if the job is not tracked.
  void markCommitted(const JobId& job);

  // Tracks a job of which other shards have tasks according to its committed record.
  void countCommitted(const JobId& job, const JobSpec& spec, std::uint32_t tasks);
  // Like countCommitted(), for a job that ShardState is about to remove and whose delegated tasks it already
  // counts toward the team's usage.
  void trackAlreadyCounted(const JobId& job, const JobSpec& spec, std::uint32_t tasks);

  [[nodiscard]] bool tracks(const JobId& job) const { return entries_.count(job) > 0; }

  // Releases the usage of jobs with a committed migration or delegation that, according to the view, can have
  // no tasks left on other shards. These are jobs that are done or back in ownShard, and cancelled jobs whose
  // other owner has recorded that no task is left, or whose cancellation was first seen here longer ago than
  // the cancel period plus a margin. Returns how many jobs were released.
  std::size_t releaseEnded(const ClusterView& view, ShardId ownShard, Time now);

 private:
  enum class Stage : std::uint8_t { Reserved, Committed };
  struct Entry {
    TeamId team;
    Resources usage;  // total of the tasks that may run elsewhere concurrently
    Stage stage = Stage::Reserved;
    std::optional<Time> cancelSeenAt;
  };

  [[nodiscard]] bool isReleasable(Entry& entry, const JobEntry& job, ShardId ownShard, Time now) const;

  ShardState& state_;
  Duration cancelPeriod_;
  std::map<JobId, Entry> entries_;
};

}  // namespace cherryloft
