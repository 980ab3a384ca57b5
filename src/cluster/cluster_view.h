// The cluster view: this controller's read model of the shared records, fed by the watch caches of the state
// service. It may lag behind the service, except that a terminal job status, once seen, is final.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/keys.h"
#include "config/settings.h"
#include "log/log.h"
#include "wire/kvstore.h"
#include "wire/records.h"
#include "wire/workers.h"

namespace cherryloft {

struct JobEntry {
  JobStatus status = JobStatus::Open;
  ShardId shard;
  std::uint32_t tasks = 0;
  WallTime submitted;
  Version version;                      // of its record, or of the committed end that was heard of before it
  std::shared_ptr<const JobSpec> spec;  // null once the job is done
  // Of a job that runs in another shard than its team's (invariant 17, wire::JobRecord).
  std::optional<std::uint32_t> maxConcurrent{};
  std::vector<Delegation> delegations{};      // tasks that other shards place (invariant 18)
  std::vector<std::uint32_t> doneRemotely{};  // ascending; those of them that are done
};

struct MachineEntry {
  wire::MachineRecord record;
  Version version;    // of its group's key
  std::string group;  // that key
};

struct OwnerEntry {
  wire::OwnerRecord record;
  Version version;
};

// A plain value without I/O; the Controller owns the only one, changes it, and lends it to its parts for
// reading. Entries stay valid until the next change only.
struct ClusterView {
  std::unordered_map<JobId, JobEntry> jobs;
  std::unordered_map<MachineId, MachineEntry> machines;
  std::map<std::string, std::vector<MachineId>> groups;  // keys of machine groups and the machines in each
  std::unordered_map<ShardId, OwnerEntry> shards;
  std::unordered_map<ControllerId, Version> controllers;  // controllers whose lease lives
  std::optional<OwnerEntry> leader;
  Epoch epoch;  // the last one allocated
  Version epochVersion;
  Catalog catalog;
  Version catalogVersion;
  Version groupsVersion;  // of the latest creation of machine groups

  // Whether the controller's lease lives, as far as the view shows.
  [[nodiscard]] bool alive(const ControllerId& controller) const { return controllers.count(controller) > 0; }
  // The recorded owner of the shard, alive or not; null if there is none.
  [[nodiscard]] const ControllerId* ownerOf(ShardId shard) const {
    auto entry = shards.find(shard);
    return entry == shards.end() ? nullptr : &entry->second.record.owner;
  }

  // Takes in one changed key. Unreadable records are logged and leave the view as it is. Returns the machines
  // whose entry came, changed or went.
  std::vector<MachineId> apply(const wire::KeyChange& change, const Log& log);

  // Stop commands for all tasks in the heartbeat whose job is cancelled. Every answer that extends a worker's
  // lease carries them, whoever gives it and in whatever role (invariant 16).
  [[nodiscard]] std::vector<wire::Command> stopCommandsForCancelled(
      const wire::WorkerHeartbeat& heartbeat) const;

  // Takes in that a job is over, as its owner answered to a user, before the record shows it.
  void jobEnded(const JobId& id, JobStatus status);
  // The same from a message of the shard's owner that names the version of the commit.
  void jobEnded(const JobId& id, JobStatus status, Version version);

  // The machine group as the view shows it, to be rewritten with a change; without members if unknown.
  [[nodiscard]] wire::MachineGroupRecord group(const std::string& key) const;
  // The version of the group's record; 0 if there is none.
  [[nodiscard]] Version groupVersion(const std::string& key) const;

 private:
  void applyJob(const wire::KeyChange& change, const Log& log);
  std::vector<MachineId> applyGroup(const wire::KeyChange& change, const Log& log);
  void applyController(const wire::KeyChange& change);
  void applyShardKey(const wire::KeyChange& change);
  void applyEpoch(const wire::KeyChange& change);
  void applyCatalog(const wire::KeyChange& change);
  void applyLeader(const wire::KeyChange& change);
  void applyShardOwner(const wire::KeyChange& change);
};

}  // namespace cherryloft
