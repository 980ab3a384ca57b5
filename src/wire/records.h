// The records that this project keeps in the state service, as JSON values. Their names and layout are shared
// with the versions of the program before and after this one, so they must never change in place: a new
// layout needs a new layout version, or new keys that older versions ignore.
//
// Parsers return nothing for a value that can't be read or has another layout; the caller must not take it
// for an absent one. Under which keys the records stand: `keys` in cluster/cluster_view.h.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/job.h"

namespace cherryloft::wire {

// --- jobs ---

/// A job; one key for each.
struct JobRecord {
  JobStatus status = JobStatus::Open;
  ShardId shard;  // that runs it
  std::uint32_t tasks = 0;
  WallTime submitted;
  std::optional<JobSpec> spec;  // kept unless done
  // Of a job that another shard than its team's runs: how many of its tasks may run or be in doubt at once.
  // The team's own shard counts them as in use (invariant 17). 0 once it is cancelled and nothing of it is
  // left.
  std::optional<std::uint32_t> maxConcurrent{};
  // Tasks that other shards place for the job's shard, and those that they have completed (invariant 18).
  std::vector<Delegation> delegations{};
  std::vector<std::uint32_t> doneRemotely{};  // ascending
};
[[nodiscard]] std::string encodeJobRecord(const JobRecord& record);
/// The record of a cancelled job. If it would be larger than `maxValueBytes`, it keeps of the description
/// only what the job's last tasks take, and of each delegation the range of its tasks; it may still be too
/// large.
[[nodiscard]] std::string encodeCancelledJob(JobRecord record, std::size_t maxValueBytes);
[[nodiscard]] std::optional<JobRecord> parseJobRecord(const JobId& id, const std::string& value);

// --- placements ---

/// One placed task of a job.
struct PlacementEntry {
  std::uint32_t index = 0;  // of the task in the job
  Attempt attempt;
  MachineId machine;
};
/// What a page says of one job.
struct JobPlacements {
  std::vector<std::uint32_t> done;  // indexes of completed tasks, ascending
  std::vector<PlacementEntry> placed;
};
/// A placement page: facts of many jobs in one value, so that a start of a task costs far less than a write
/// (DESIGN.md, section 3).
struct PlacementPageRecord {
  std::map<JobId, JobPlacements> jobs;
};
[[nodiscard]] std::string encodePlacementPage(const PlacementPageRecord& record);
[[nodiscard]] std::optional<PlacementPageRecord> parsePlacementPage(const std::string& value);

/// Upper bounds in bytes of what a job, a completed task and a placed one add to an encoded page, and of a
/// page without jobs.
[[nodiscard]] std::size_t maxBytesOfJob(const JobId& job);
[[nodiscard]] std::size_t maxBytesOfDoneTask(std::uint32_t index);
[[nodiscard]] std::size_t maxBytesOf(const PlacementEntry& entry);
inline constexpr std::size_t kEmptyPageBytes = 24;

// --- machines ---

enum class MachinePhase : std::uint8_t {
  InUse,
  Draining,   // no new tasks are placed on it, as it is to be released
  Returning,  // released by its shard: the leader returns it to the cloud
};
/// A machine, as its group's record tells it.
struct MachineRecord {
  ShardId shard;
  Epoch token;
  MachinePhase phase = MachinePhase::InUse;
  std::string type;
  Zone zone;
  bool spot = false;
  std::string address;  // empty until known
  WallTime since;
};

/// One machine of a group.
struct MachineGroupMember {
  MachineId id;
  MachinePhase phase = MachinePhase::InUse;
  std::string address;  // empty until known
};
/// Machines that came together and are of one kind share a key, as there are thousands.
struct MachineGroupRecord {
  ShardId shard;  // that schedules on them
  Epoch token;    // under which that shard got them
  std::string type;
  Zone zone;
  bool spot = false;
  WallTime since;
  std::vector<MachineGroupMember> members;
};
[[nodiscard]] std::string encodeMachineGroup(const MachineGroupRecord& record);
[[nodiscard]] std::optional<MachineGroupRecord> parseMachineGroup(const std::string& value);
/// How many machines with names and addresses of usual length fit a group of that many bytes; at least one.
[[nodiscard]] std::size_t maxGroupMembers(std::size_t maxValueBytes);

// --- ownership ---

/// The owner of a shard, or the leader.
struct OwnerRecord {
  ControllerId owner;
  Epoch epoch;  // allocated for this ownership
};
[[nodiscard]] std::string encodeOwnerRecord(const OwnerRecord& record);
[[nodiscard]] std::optional<OwnerRecord> parseOwnerRecord(const std::string& value);

/// The latest epoch that was allocated.
[[nodiscard]] std::string encodeEpochCounter(Epoch epoch);
[[nodiscard]] std::optional<Epoch> parseEpochCounter(const std::string& value);

}  // namespace cherryloft::wire
