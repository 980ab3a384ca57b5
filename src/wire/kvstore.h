// The state service's side of the protocol, and the records that this project keeps there.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/job.h"

namespace cherryloft::wire {

struct KeyChange {
  std::string key;
  std::optional<std::string> value;  // JSON text; nothing: the key is gone
  Version version;
};

struct Write {
  std::string key;
  std::optional<std::string> value;  // nothing: drop the key
  std::optional<std::uint64_t> lease;
};
struct Transaction {
  std::map<std::string, Version> conditions;
  std::vector<Write> operations;
};

std::string encodeTransaction(const Transaction& t);
std::size_t weightOf(const Write& w);  // bytes it adds to a transaction, about
inline constexpr std::size_t kMostWeight =
    std::size_t{48} * 1024;  // of a transaction, whose body may have 64 KiB

struct KeyPage {
  std::vector<KeyChange> entries;
  bool truncated = false;
  Version revision;
};
std::optional<KeyPage> parseEntries(const std::string& body);
std::optional<KeyPage> parseNews(const std::string& body);
std::optional<KeyChange> parseKey(const std::string& body);
std::optional<Version> parseRevision(const std::string& body);
std::vector<std::string> parseFailed(const std::string& body);
std::optional<std::uint64_t> parseLeaseId(const std::string& body);

// --- records ---

struct JobRecord {
  JobStatus status = JobStatus::Open;
  ShardId shard;
  std::uint32_t tasks = 0;
  WallTime submitted;
  std::optional<JobSpec> spec;  // kept unless done
  // Of a job that another shard than its team's runs: so many of its tasks may be somewhere at once. The
  // team's own shard counts them as in use (invariant 17). 0 once it is cancelled and nothing of it is left.
  std::optional<std::uint32_t> maxConcurrent{};
  // Tasks that other shards place for the job's shard, and those that they have completed (invariant 18).
  std::vector<Delegation> delegations{};
  std::vector<std::uint32_t> doneRemotely{};  // ascending
};
std::string encodeJobRecord(const JobRecord& r);
// The record of an cancelled job. If it would be larger than a value, it keeps of the description what the
// job's last tasks take, and of each delegation the range of its tasks.
std::string encodeWithin(JobRecord cancelled, std::size_t valueBytes);
std::optional<JobRecord> parseJobRecord(const JobId& id, const std::string& value);

struct PlacementEntry {
  std::uint32_t index = 0;
  Attempt attempt;
  MachineId machine;
};
// What a page says of one job.
struct JobPlacements {
  std::vector<std::uint32_t> done;  // ascending
  std::vector<PlacementEntry> placed;
};
// Facts of many jobs in one value, so that a start costs far less than a change (DESIGN.md, section 3).
struct PageRecord {
  std::map<JobId, JobPlacements> jobs;
};
std::string encodePage(const PageRecord& r);
// Nothing for what can't be read and for another layout, which is told by its layout version.
std::optional<PageRecord> parsePage(const std::string& value);
// Upper bounds of what they add to an encoded page.
std::size_t weightOfJob(const JobId& job);
std::size_t weightOfDone(std::uint32_t index);
std::size_t weightOf(const PlacementEntry& e);
inline constexpr std::size_t kPageFrame = 24;  // of a page without jobs

enum class MachinePhase : std::uint8_t { InUse, Draining, Returning };
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

// Machines that came together and are of one kind shard a key, as a fleet has thousands.
struct GroupMember {
  MachineId id;
  MachinePhase phase = MachinePhase::InUse;
  std::string address;  // empty until known
};
struct GroupRecord {
  ShardId shard;
  Epoch token;
  std::string type;
  Zone zone;
  bool spot = false;
  WallTime since;
  std::vector<GroupMember> members;
};
std::string encodeGroup(const GroupRecord& r);
std::optional<GroupRecord> parseGroup(const std::string& value);
// How many machines fit a group whose names and addresses are that long.
std::size_t membersIn(std::size_t valueBytes);

struct OwnerRecord {
  ControllerId owner;
  Epoch epoch;
};
std::string encodeOwnerRecord(const OwnerRecord& r);
std::optional<OwnerRecord> parseOwnerRecord(const std::string& value);

std::string encodeCounter(Epoch e);
std::optional<Epoch> parseCounter(const std::string& value);

}  // namespace cherryloft::wire
