// MachineAdoption: assigns machines without a record to shards. Such machines were provisioned by a leader
// that failed before recording them, or existed before the cluster started.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "autoscaler/cloud_catalog.h"
#include "autoscaler/machine_records.h"
#include "autoscaler/scale_in.h"
#include "wire/workers.h"

namespace cherryloft {

// The capacity that a shard lacks, and the machines that it has.
struct ShardDeficit {
  double missingCores = 0;  // negative: spare cores
  std::map<std::string, long> machineCountByType;
};
using ShardDeficits = std::map<ShardId, ShardDeficit>;

class MachineAdoption {
 public:
  // Computes the current deficit of every shard.
  using ComputeDeficits = std::function<ShardDeficits()>;

  MachineAdoption(const AutoscalerContext& context, const CloudCatalog& catalog, MachineRecords& records,
                  const ScaleIn& scaleIn, ComputeDeficits computeDeficits);
  // Called when a new leadership term begins.
  void reset();
  // Queues a machine without a record that is known to exist. Machines found within a short time are assigned
  // together.
  void adopt(const MachineId& id, wire::MachineRecord record);
  // Handles the heartbeat of a machine without a record.
  void handleHeartbeat(const wire::WorkerHeartbeat& heartbeat);
  // Assigns the queued machines once their batching delay has passed.
  void assignToShards();

 private:
  bool isUnrecorded(const MachineId& id) const;
  void handleProbeResult(const MachineId& id, const HttpResult& result);
  std::vector<MachineId> smallestFirst() const;

  const AutoscalerContext& context_;
  const CloudCatalog& catalog_;
  MachineRecords& records_;
  const ScaleIn& scaleIn_;
  ComputeDeficits computeDeficits_;
  std::map<MachineId, wire::MachineRecord> unassigned_;
  Time assignAt_{};
  std::set<MachineId> probing_;
};

// The shard with the fewest machines of that type; ties go to the one with the most missing cores.
ShardId selectShardForType(const ShardDeficits& deficits, const std::string& type);

}  // namespace cherryloft
