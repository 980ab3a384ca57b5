// The cluster view: this controller's read model of the shared records, updated from the watch caches of the
// state service. It may lag behind the service, but a terminal job status, once seen, is final.
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
  Version version;     // of its record, by which records are compared
  Version endVersion;  // of the commit that ended it, as far as it is known; may be ahead of the record's
  std::shared_ptr<const JobSpec> spec;  // null once the job is done
  // Set for a job that runs in another shard than its team's (invariant 17, wire::JobRecord).
  std::optional<std::uint32_t> maxConcurrent{};
  std::vector<Delegation> delegations{};      // tasks placed by other shards (invariant 18)
  std::vector<std::uint32_t> doneRemotely{};  // delegated tasks that are done, ascending
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

// A plain value without I/O. The Controller owns and updates the only instance; its components read it.
// References to entries are valid only until the next change.
struct ClusterView {
  std::unordered_map<JobId, JobEntry> jobs;
  std::unordered_map<MachineId, MachineEntry> machines;
  std::map<std::string, std::vector<MachineId>> groups;  // machines by the key of their group
  std::unordered_map<ShardId, OwnerEntry> shards;
  std::unordered_map<ControllerId, Version> controllers;  // controllers with a live lease
  std::optional<OwnerEntry> leader;
  Epoch epoch;  // the last one allocated
  Version epochVersion;
  Catalog catalog;
  Version catalogVersion;
  Version groupsVersion;  // of the latest creation of machine groups

  // Whether the controller has a live lease according to the view.
  [[nodiscard]] bool alive(const ControllerId& controller) const { return controllers.count(controller) > 0; }
  // The recorded owner of the shard, live or not; null if there is none.
  [[nodiscard]] const ControllerId* ownerOf(ShardId shard) const {
    auto entry = shards.find(shard);
    return entry == shards.end() ? nullptr : &entry->second.record.owner;
  }

  // Applies one changed key. Unreadable records are logged and leave the view unchanged. Returns the machines
  // whose entries were added, updated or removed.
  std::vector<MachineId> apply(const wire::KeyChange& change, const Log& log);

  // Stop commands for all tasks in the heartbeat whose job is cancelled. Every response that extends a
  // worker's lease carries them, whichever controller sends it and in whichever role (invariant 16).
  [[nodiscard]] std::vector<wire::Command> stopCommandsForCancelled(
      const wire::WorkerHeartbeat& heartbeat) const;

  // Records that a job ended, as reported by its owner before the job's record shows it; endVersion is the
  // version of the commit, 0 if the report did not name it. Everything else about the job comes from its
  // record alone.
  void jobEnded(const JobId& id, JobStatus status, Version endVersion = {});

  // The machine group's record rebuilt from the view, to be modified and rewritten; empty if unknown.
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
