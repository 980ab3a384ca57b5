// The records that controllers store in the state service, as JSON values. Older and newer versions of the
// program read the same records, so their field names and layout must not change: a different layout needs a
// new layout version, or new fields that older versions ignore.
//
// Parsers return nullopt for a malformed value or an unknown layout; callers must not treat it as an absent
// record. For the records' keys see cluster/keys.h.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/job.h"

namespace cherryloft::wire {

// --- jobs ---

/// A job; each has a key of its own.
struct JobRecord {
  JobStatus status = JobStatus::Open;
  ShardId shard;  // that schedules the job
  std::uint32_t tasks = 0;
  WallTime submitted;
  std::optional<JobSpec> spec;  // absent once the job is done
  // For a job migrated to a shard other than its team's: the greatest number of its tasks that may run, or
  // may still be running, at the same time. The team's own shard counts them as in use (invariant 17). 0 once
  // the job is cancelled and none of its tasks is left.
  std::optional<std::uint32_t> maxConcurrent{};
  // Tasks delegated to other shards, and the tasks that those have completed (invariant 18).
  std::vector<Delegation> delegations{};
  std::vector<std::uint32_t> doneRemotely{};  // ascending
};
[[nodiscard]] std::string encodeJobRecord(const JobRecord& record);
/// The record of a cancelled job. If it would exceed `maxValueBytes`, class, image and machine types are
/// dropped from its description, then the tasks of each delegation are widened to the range from its first to
/// its last. The result may still be too large.
[[nodiscard]] std::string encodeCancelledJob(JobRecord record, std::size_t maxValueBytes);
[[nodiscard]] std::optional<JobRecord> parseJobRecord(const JobId& id, const std::string& value);

// --- placements ---

/// One placed task of a job.
struct PlacementEntry {
  std::uint32_t index = 0;  // of the task within the job
  Attempt attempt;
  MachineId machine;
};
/// The part of a page about one job.
struct JobPlacements {
  std::vector<std::uint32_t> done;  // indexes of completed tasks, ascending
  std::vector<PlacementEntry> placed;
};
/// A placement page: placements and completed tasks of many jobs in one value, so that starting a task costs
/// far less than one write (DESIGN.md, section 3).
struct PlacementPageRecord {
  std::map<JobId, JobPlacements> jobs;
};
[[nodiscard]] std::string encodePlacementPage(const PlacementPageRecord& record);
[[nodiscard]] std::optional<PlacementPageRecord> parsePlacementPage(const std::string& value);

/// Upper bounds of the bytes that a job, a completed task and a placed task add to an encoded page, and of
/// the size of an empty page.
[[nodiscard]] std::size_t maxBytesOfJob(const JobId& job);
[[nodiscard]] std::size_t maxBytesOfDoneTask(std::uint32_t index);
[[nodiscard]] std::size_t maxBytesOf(const PlacementEntry& entry);
inline constexpr std::size_t kEmptyPageBytes = 24;

// --- machines ---

enum class MachinePhase : std::uint8_t {
  InUse,
  Draining,   // to be released: no new tasks are placed on it
  Returning,  // released by its shard; the leader returns it to the cloud
};
/// A machine, assembled from its group's record.
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
/// Machines that were provisioned together and have the same type, zone and shard share one key, as there are
/// thousands of machines.
struct MachineGroupRecord {
  ShardId shard;  // that schedules tasks on them
  Epoch token;    // epoch in which the shard acquired them
  std::string type;
  Zone zone;
  bool spot = false;
  WallTime since;
  std::vector<MachineGroupMember> members;
};
[[nodiscard]] std::string encodeMachineGroup(const MachineGroupRecord& record);
[[nodiscard]] std::optional<MachineGroupRecord> parseMachineGroup(const std::string& value);
/// How many machines with names and addresses of typical length fit a group of that many bytes; at least one.
[[nodiscard]] std::size_t maxGroupMembers(std::size_t maxValueBytes);

// --- ownership ---

/// The owner of a shard, or the leader of the cluster.
struct OwnerRecord {
  ControllerId owner;
  Epoch epoch;  // allocated when the owner acquired it
};
[[nodiscard]] std::string encodeOwnerRecord(const OwnerRecord& record);
[[nodiscard]] std::optional<OwnerRecord> parseOwnerRecord(const std::string& value);

/// The counter from which epochs are allocated; its value is the latest one.
[[nodiscard]] std::string encodeEpochCounter(Epoch epoch);
[[nodiscard]] std::optional<Epoch> parseEpochCounter(const std::string& value);

}  // namespace cherryloft::wire
