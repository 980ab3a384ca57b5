// The keys of the shared records in the state service. They are part of the wire format and never change.
//
// clang-format off
// | key                    | value (codecs: wire/records.h, wire/cloud.h)                       | written by        |
// | ---------------------- | ------------------------------------------------------------------ | ----------------- |
// | job/<job>              | JobRecord: specification, status, delegations                      | the shard's owner |
// | host/<machine>.<epoch> | MachineGroupRecord: machines of one type and zone in one shard     | leader and owners |
// | share/<number>         | OwnerRecord: the owner of the shard and its epoch                  | the new owner     |
// | share/leader           | OwnerRecord: the leader and its epoch                              | the new leader    |
// | share/epoch            | counter: the last epoch allocated                                  | the allocator     |
// | share/catalog          | Catalog: machine types and their offerings                         | the leader        |
// | share/groups           | counter: written with every creation of machine groups             | the leader        |
// | node/<controller>      | exists while the controller's lease is live                        | that controller   |
// | run/<shard>/<page>     | PlacementPageRecord: placements and done tasks of the shard's jobs | the shard's owner |
// clang-format on
//
// A new job/ key is created by the controller that receives the submission.
#pragma once

#include <string>

#include "base/types.h"

namespace cherryloft::keys {

// Prefixes that every controller watches with a watch cache.
inline const std::string kJobs = "job/";
inline const std::string kMachines = "host/";
inline const std::string kShards = "share/";
inline const std::string kControllers = "node/";

// Single records under kShards.
inline const std::string kLeader = "share/leader";
inline const std::string kEpoch = "share/epoch";
inline const std::string kCatalog = "share/catalog";
inline const std::string kGroups = "share/groups";

// Whether the key starts with the prefix.
[[nodiscard]] inline bool hasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

[[nodiscard]] inline std::string job(const JobId& id) { return kJobs + id.value; }

// A group is named after its first machine and the epoch in which it was created, so names are never reused.
[[nodiscard]] inline std::string group(const MachineId& first, Epoch epoch) {
  return kMachines + first.value + "." + std::to_string(epoch.value);
}

[[nodiscard]] inline std::string shard(ShardId shard) { return kShards + std::to_string(shard.value); }

[[nodiscard]] inline std::string controller(const ControllerId& controller) {
  return kControllers + controller.value;
}

// The prefix of all placement pages of a shard.
[[nodiscard]] inline std::string placementPages(ShardId shard) {
  return "run/" + std::to_string(shard.value) + "/";
}

[[nodiscard]] inline std::string page(ShardId shard, std::uint32_t number) {
  return placementPages(shard) + std::to_string(number);
}

}  // namespace cherryloft::keys
