// What this controller knows of the shared records: a read model that follows the state service.
// Terminal states in it are final; all else may lag.
#pragma once

#include <memory>
#include <optional>
#include <unordered_map>

#include "config/settings.h"
#include "log/log.h"
#include "wire/store.h"

namespace cherryloft {

struct KnownJob {
  JobStatus status = JobStatus::Open;
  ShareNo share;
  std::uint32_t tasks = 0;
  std::uint32_t chunk = 0;
  WallTime submitted;
  Stamp stamp;
  std::shared_ptr<const JobSpec> spec;  // while open
};

struct KnownHost {
  wire::HostRecord record;
  Stamp stamp;
};

struct KnownOwner {
  wire::OwnerRecord record;
  Stamp stamp;
};

struct Directory {
  std::unordered_map<JobId, KnownJob> jobs;
  std::unordered_map<HostId, KnownHost> hosts;
  std::unordered_map<ShareNo, KnownOwner> shares;
  std::unordered_map<NodeId, Stamp> nodes;  // controllers whose hold lives
  std::optional<KnownOwner> leader;
  Epoch epoch;  // the last one drawn
  Stamp epochStamp;
  Catalog catalog;
  Stamp catalogStamp;

  bool alive(const NodeId& n) const { return nodes.count(n) > 0; }
  const NodeId* ownerOf(ShareNo k) const {
    auto it = shares.find(k);
    return it == shares.end() ? nullptr : &it->second.record.owner;
  }

  // Takes in one change; unreadable records are logged and left out.
  void apply(const wire::KeyChange& c, const Log& log);
};

namespace keys {
inline const std::string kJobs = "job/", kHosts = "host/", kShares = "share/", kNodes = "node/";
inline const std::string kLeader = "share/leader", kEpoch = "share/epoch", kCatalog = "share/catalog";
inline std::string job(const JobId& id) { return kJobs + id.value; }
inline std::string host(const HostId& id) { return kHosts + id.value; }
inline std::string share(ShareNo k) { return kShares + std::to_string(k.value); }
inline std::string node(const NodeId& n) { return kNodes + n.value; }
inline std::string runs(ShareNo k) { return "run/" + std::to_string(k.value) + "/"; }
inline std::string run(ShareNo k, const JobId& id, std::uint32_t chunk) {
  return runs(k) + id.value + "/" + std::to_string(chunk);
}
}  // namespace keys

}  // namespace cherryloft
