#include "cluster/cluster_view.h"

#include <charconv>
#include <set>

#include "wire/cloud.h"

namespace cherryloft {
namespace {

// Keeps a response line under 64 KiB; the next response carries the remaining commands.
constexpr std::size_t kMaxStopCommands = 400;

std::optional<wire::OwnerRecord> ownerIn(const wire::KeyChange& change) {
  return change.value ? wire::parseOwnerRecord(*change.value) : std::nullopt;
}

// Returns nullopt unless the whole name is a number.
std::optional<ShardId> parseShardId(const std::string& name) {
  ShardId shard;
  const char* end = name.data() + name.size();
  auto [parsedTo, error] = std::from_chars(name.data(), end, shard.value);
  if (error != std::errc{} || parsedTo != end) return std::nullopt;
  return shard;
}

}  // namespace

std::vector<MachineId> ClusterView::apply(const wire::KeyChange& change, const Log& log) {
  if (keys::hasPrefix(change.key, keys::kMachines)) return applyGroup(change, log);
  if (keys::hasPrefix(change.key, keys::kJobs))
    applyJob(change, log);
  else if (keys::hasPrefix(change.key, keys::kControllers))
    applyController(change);
  else if (keys::hasPrefix(change.key, keys::kShards))
    applyShardKey(change);
  return {};
}

void ClusterView::applyJob(const wire::KeyChange& change, const Log& log) {
  JobId id{change.key.substr(keys::kJobs.size())};
  auto record = change.value ? wire::parseJobRecord(id, *change.value) : std::nullopt;
  if (!record) {
    log->error("unreadable job record job={}", id.value);
    return;
  }
  auto& job = jobs[id];
  if (job.version > change.version) return;
  job.version = change.version;
  // A terminal status is final. It may have been reported before this record, or one older than it, arrived.
  if (job.status == JobStatus::Open) job.status = record->status;
  if (record->status != JobStatus::Open) job.endVersion = change.version;
  job.maxConcurrent = record->maxConcurrent;
  job.shard = record->shard;
  job.tasks = record->tasks;
  job.submitted = record->submitted;
  job.delegations = std::move(record->delegations);
  job.doneRemotely = std::move(record->doneRemotely);
  bool needsSpec = record->spec && job.status != JobStatus::Done;
  job.spec = needsSpec ? std::make_shared<const JobSpec>(std::move(*record->spec)) : nullptr;
}

// Machines are added, updated and removed with their group. A machine that moved appears in its new group
// from the revision of the move on, whichever of the two changes is seen first.
std::vector<MachineId> ClusterView::applyGroup(const wire::KeyChange& change, const Log& log) {
  auto group = change.value ? wire::parseMachineGroup(*change.value) : wire::MachineGroupRecord{};
  if (!group) {
    // Its machines may run tasks, so their previous entries are kept.
    log->error("unreadable machine group, perhaps of another layout key={}", change.key);
    return {};
  }
  std::vector<MachineId> touched;
  std::set<MachineId> present;
  for (const auto& member : group->members) {
    auto known = machines.find(member.id);
    if (known != machines.end() && known->second.version > change.version) continue;
    present.insert(member.id);
    machines[member.id] = {{group->shard, group->token, member.phase, group->type, group->zone, group->spot,
                            member.address, group->since},
                           change.version,
                           change.key};
    touched.push_back(member.id);
  }
  for (const auto& id : groups[change.key]) {
    auto known = machines.find(id);
    if (present.count(id) > 0 || known == machines.end() || known->second.group != change.key) continue;
    machines.erase(known);
    touched.push_back(id);
  }
  if (present.empty())
    groups.erase(change.key);
  else
    groups[change.key].assign(present.begin(), present.end());
  return touched;
}

void ClusterView::applyController(const wire::KeyChange& change) {
  ControllerId controller{change.key.substr(keys::kControllers.size())};
  if (change.value)
    controllers[controller] = change.version;
  else
    controllers.erase(controller);
}

void ClusterView::applyShardKey(const wire::KeyChange& change) {
  if (change.key == keys::kEpoch)
    applyEpoch(change);
  else if (change.key == keys::kCatalog)
    applyCatalog(change);
  else if (change.key == keys::kGroups)
    groupsVersion = change.version;
  else if (change.key == keys::kLeader)
    applyLeader(change);
  else
    applyShardOwner(change);
}

void ClusterView::applyEpoch(const wire::KeyChange& change) {
  auto counter = change.value ? wire::parseEpochCounter(*change.value) : std::nullopt;
  if (!counter) return;
  epoch = *counter;
  epochVersion = change.version;
}

void ClusterView::applyCatalog(const wire::KeyChange& change) {
  auto parsed = change.value ? wire::parseCatalog(*change.value) : std::nullopt;
  if (!parsed) return;
  catalog = std::move(*parsed);
  catalogVersion = change.version;
}

void ClusterView::applyLeader(const wire::KeyChange& change) {
  leader.reset();
  if (auto owner = ownerIn(change)) leader = OwnerEntry{*owner, change.version};
}

void ClusterView::applyShardOwner(const wire::KeyChange& change) {
  auto shard = parseShardId(change.key.substr(keys::kShards.size()));
  if (!shard) return;
  shards.erase(*shard);
  if (auto owner = ownerIn(change)) shards[*shard] = OwnerEntry{*owner, change.version};
}

wire::MachineGroupRecord ClusterView::group(const std::string& key) const {
  wire::MachineGroupRecord group;
  auto members = groups.find(key);
  if (members == groups.end()) return group;
  for (const auto& id : members->second) {
    auto machine = machines.find(id);
    if (machine == machines.end() || machine->second.group != key) continue;
    const auto& record = machine->second.record;
    group.shard = record.shard;
    group.token = record.token;
    group.type = record.type;
    group.zone = record.zone;
    group.spot = record.spot;
    group.since = record.since;
    group.members.push_back({id, record.phase, record.address});
  }
  return group;
}

Version ClusterView::groupVersion(const std::string& key) const {
  auto members = groups.find(key);
  if (members == groups.end()) return {};
  for (const auto& id : members->second) {
    auto machine = machines.find(id);
    if (machine != machines.end() && machine->second.group == key) return machine->second.version;
  }
  return {};
}

std::vector<wire::Command> ClusterView::stopCommandsForCancelled(
    const wire::WorkerHeartbeat& heartbeat) const {
  std::vector<wire::Command> stops;
  for (const auto& reported : heartbeat.tasks) {
    if (stops.size() >= kMaxStopCommands) break;
    auto job = jobs.find(reported.task.job);
    bool cancelled = job != jobs.end() && job->second.status == JobStatus::Cancelled;
    if (cancelled && reported.phase != wire::TaskPhase::Exited)
      stops.push_back({wire::Command::Verb::Stop, reported.task, reported.attempt, 0});
  }
  return stops;
}

void ClusterView::jobEnded(const JobId& id, JobStatus status, Version endVersion) {
  auto entry = jobs.find(id);
  if (entry == jobs.end() || entry->second.status != JobStatus::Open) return;
  auto& job = entry->second;
  job.status = status;
  job.endVersion = endVersion;
  // A cancelled job keeps its specification, which is needed to stop its remaining tasks.
  if (status == JobStatus::Done) job.spec.reset();
}

}  // namespace cherryloft
