// What this controller knows of the shared records: a read model that follows the state service.
// Terminal states in it are final; all else may lag.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

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
  Version version;
  std::shared_ptr<const JobSpec> spec;  // while open
  std::optional<std::uint32_t>
      maxConcurrent{};  // of a job in another shard than its team's (wire::JobRecord)
  std::vector<Delegation> delegations{};
  std::vector<std::uint32_t> doneRemotely{};
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

struct ClusterView {
  std::unordered_map<JobId, JobEntry> jobs;
  std::unordered_map<MachineId, MachineEntry> machines;
  std::map<std::string, std::vector<MachineId>> groups;  // host/ keys and the machines in each
  std::unordered_map<ShardId, OwnerEntry> shards;
  std::unordered_map<ControllerId, Version> controllers;  // controllers whose lease lives
  std::optional<OwnerEntry> leader;
  Epoch epoch;  // the last one drawn
  Version epochVersion;
  Catalog catalog;
  Version catalogVersion;
  Version groupsVersion;  // of the latest creation of machine groups

  bool alive(const ControllerId& n) const { return controllers.count(n) > 0; }
  const ControllerId* ownerOf(ShardId k) const {
    auto it = shards.find(k);
    return it == shards.end() ? nullptr : &it->second.record.owner;
  }

  // Takes in one change; unreadable records are logged and left out. Names the machines it touched.
  std::vector<MachineId> apply(const wire::KeyChange& c, const Log& log);
  // What ends the tasks that a report shows of jobs that are called off. Any answer that prolongs a worker's
  // lease carries it, whoever gives that answer and in whatever role (invariant 16).
  std::vector<wire::Command> stopCommandsForCancelled(const wire::WorkerHeartbeat& r) const;
  // The word that the owner gives to users: the job is over. Its record comes later.
  void jobEnded(const JobId& id, JobStatus status);
  // The word of the owner of the job's shard that it is over: committed under that version, and final.
  void jobEnded(const JobId& id, JobStatus status, Version version);
  // A machine group as it is known, to be written anew with a change.
  wire::GroupRecord group(const std::string& key) const;
  // The version of its record; 0 if there is none.
  Version groupVersion(const std::string& key) const;

 private:
  std::vector<MachineId> applyGroup(const wire::KeyChange& c, const Log& log);
};

namespace keys {
inline const std::string kJobs = "job/", kMachines = "host/", kShards = "share/", kControllers = "node/";
inline const std::string kLeader = "share/leader", kEpoch = "share/epoch", kCatalog = "share/catalog";
inline const std::string kGroups = "share/groups";  // written with every creation of machine groups
inline std::string job(const JobId& id) { return kJobs + id.value; }
// A group is named after its first machine and the epoch under which it was formed, and so once for ever.
inline std::string group(const MachineId& first, Epoch e) {
  return kMachines + first.value + "." + std::to_string(e.value);
}
inline std::string shard(ShardId k) { return kShards + std::to_string(k.value); }
inline std::string controller(const ControllerId& n) { return kControllers + n.value; }
inline std::string placementPages(ShardId k) { return "run/" + std::to_string(k.value) + "/"; }
inline std::string page(ShardId k, std::uint32_t n) { return placementPages(k) + std::to_string(n); }
}  // namespace keys

}  // namespace cherryloft
