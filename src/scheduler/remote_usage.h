// Ledger of what tasks of this shard's teams take, or may take, on the machines of other shards.
//
// A team's quota is enforced by the shard that the team belongs to (invariant 17): it counts a job that
// migrated to another shard with all tasks that may be placed there at a time, and the delegated tasks of a
// job that was cancelled (invariant 18). Each entry is part of the team's use in ShardState for as long as it
// is in the ledger.
//
// No I/O and no clock of its own. Owned by one ShardScheduler and used on its thread only; it refers to that
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
  // cancelPeriod: within this time after its cancellation is committed nothing of a job is on any machine.
  RemoteUsage(ShardState& state, Duration cancelPeriod) : state_(state), cancelPeriod_(cancelPeriod) {}

  // Counts a job whose migration is planned: so many of its tasks may be placed elsewhere at a time. The
  // entry stays until dropReservation(), or commit() and then releaseEnded().
  void reserve(const JobId& job, const JobSpec& spec, std::uint32_t tasks);
  // The migration was not written. Nothing happens if the job is not in the ledger.
  void dropReservation(const JobId& job);
  // The job's record names the other shard. Nothing happens if the job is not in the ledger.
  void commit(const JobId& job);

  // Counts a job of which other shards have tasks according to its committed record.
  void countCommitted(const JobId& job, const JobSpec& spec, std::uint32_t tasks);
  // The same for tasks that ShardState counts already, as delegated ones of a job that it is about to drop.
  void trackAlreadyCounted(const JobId& job, const JobSpec& spec, std::uint32_t tasks);

  [[nodiscard]] bool counts(const JobId& job) const { return entries_.count(job) > 0; }

  // Releases the committed entries of jobs of which nothing can be left elsewhere, as the view shows them: a
  // job that is done or back in ownShard, or a cancelled one whose other owner has written that nothing is
  // left of it, or whose cancellation was first seen here longer ago than the cancel period and a margin.
  // Returns how many were released.
  std::size_t releaseEnded(const ClusterView& view, ShardId ownShard, Time now);

 private:
  enum class Stage : std::uint8_t { Reserved, Committed };
  struct Entry {
    TeamId team;
    Resources sum;  // of the tasks that may be elsewhere at a time
    Stage stage = Stage::Reserved;
    std::optional<Time> cancelSeenAt;
  };

  [[nodiscard]] bool over(Entry& entry, const JobEntry& job, ShardId ownShard, Time now) const;

  ShardState& state_;
  Duration cancelPeriod_;
  std::map<JobId, Entry> entries_;
};

}  // namespace cherryloft
