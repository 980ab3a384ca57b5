// MachineAdoption: deals machines without a record out to shards. They were provisioned by a leader that did
// not live to record them, or were there from the start.
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

// How much a shard lacks.
struct ShardGap {
  double cores = 0;                            // that it is short of
  std::map<std::string, long> machinesOfType;  // that it has
};
using ShardGaps = std::map<ShardId, ShardGap>;

class MachineAdoption {
 public:
  // Tells what each shard lacks now.
  using FindGaps = std::function<ShardGaps()>;

  MachineAdoption(const AutoscalerContext& context, const CloudCatalog& catalog, MachineRecords& records,
                  const ScaleIn& returns, FindGaps findGaps);
  // A new leadership begins.
  void restart();
  // A machine without a record is surely there. Those that turn up together are dealt out together.
  void adopt(const MachineId& id, wire::MachineRecord record);
  // A machine without a record has reported.
  void reported(const wire::WorkerHeartbeat& report);
  // Deals out the machines that have waited for others.
  void assignToShards();

 private:
  bool unknown(const MachineId& id) const;
  void asked(const MachineId& id, const HttpResult& result);
  std::vector<MachineId> smallestFirst() const;

  const AutoscalerContext& context_;
  const CloudCatalog& catalog_;
  MachineRecords& records_;
  const ScaleIn& scaleIn_;
  FindGaps findGaps_;
  std::map<MachineId, wire::MachineRecord> waiting_;
  Time dealAt_{};
  std::set<MachineId> asking_;
};

// The shard with the fewest machines of that type, and among those the one that lacks most.
ShardId shardWithLargestGap(const ShardGaps& gaps, const std::string& type);

}  // namespace cherryloft
