// Autoscaler: runs on the leader only. Plans the capacity of all shards; its components request, adopt,
// record and return machines. To move or release a machine it sends a directive to the owner of the machine's
// shard.
#pragma once

#include "autoscaler/cloud_catalog.h"
#include "autoscaler/machine_adoption.h"
#include "autoscaler/machine_inventory.h"
#include "autoscaler/machine_records.h"
#include "autoscaler/scale_in.h"
#include "autoscaler/scale_out.h"
#include "mesh/messages.h"
#include "policy/autoscaling.h"
#include "policy/waiting_tasks.h"
#include "wire/workers.h"

namespace cherryloft {

class Autoscaler {
 public:
  struct Callbacks {
    std::function<void(const mesh::MachineDirective&)> sendDirective;  // to the shard's owner
    // Whether our lease is valid at this moment. The leadership flag alone is not enough: it was set from an
    // earlier clock reading.
    std::function<bool()> holdsLease;
  };
  Autoscaler(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
             const ClusterView& view, std::uint64_t seed, Callbacks callbacks);
  void start();
  void handleLeadershipChange(bool isLeader);
  void handleShardLoad(const mesh::ShardLoad& load);
  // A machine without a record sent a heartbeat.
  void handleUnrecordedMachine(const wire::WorkerHeartbeat& heartbeat) {
    adoption_.handleHeartbeat(heartbeat);
  }

 private:
  // The latest load report of a shard's owner, and when it was received.
  struct ReportedLoad {
    mesh::ShardLoad load;
    Time at;
  };

  void tick();
  // How many idle machines a shard may give away in one planning run.
  enum class MoveScope : std::uint8_t { OnePerShard, AllSpare };
  struct MoveDestination {
    ShardId shard;
    const policy::ShardFleet& fleet;
    bool acceptsSpot = false;  // it has waiting work that may run on spot machines
  };

  void plan();
  void planShard(ShardId shard, const policy::ShardFleet& fleet, const policy::CapacityTargets& target,
                 double spareSpotCores);
  std::optional<policy::ScaleOutRequest> nextRequest(ShardId shard, const policy::ShardFleet& fleet,
                                                     const policy::CapacityTargets& target,
                                                     const policy::InstanceOfferings& unavailable);
  void logNothingToRequest(ShardId shard, const policy::ShardFleet& fleet,
                           const std::vector<policy::TaskShortage>& shortages,
                           const policy::InstanceOfferings& unavailable);
  void logShardCapacity(ShardId shard, const policy::ShardFleet& fleet,
                        const policy::CapacityTargets& target) const;
  void moveToEmptyShards(const std::map<ShardId, policy::ShardFleet>& fleets);
  void scaleOutInTurn(const std::map<ShardId, policy::ShardFleet>& fleets,
                      const std::map<ShardId, policy::CapacityTargets>& targets);
  // All shards, those furthest below their targets first.
  static std::vector<ShardId> shardsByPressure(const std::map<ShardId, policy::ShardFleet>& fleets,
                                               const std::map<ShardId, policy::CapacityTargets>& targets);
  bool shouldSendDirective(const MachineId& machine);
  void returnDrainedMachines(ShardId shard);
  void cancelOneDrain(ShardId shard);
  void cancelDrain(ShardId shard, const MachineId& machine);
  void releaseIdleMachines(ShardId shard, const policy::ShardFleet& fleet,
                           const policy::CapacityTargets& target, double spareSpotCores);
  void drainMachines(ShardId shard, const policy::ShardFleet& fleet, const policy::CapacityTargets& target);
  double coresMovingTo(ShardId to);
  void moveIdleMachines(const std::map<ShardId, policy::ShardFleet>& fleets,
                        const std::map<ShardId, policy::CapacityTargets>& targets, MoveScope scope);
  void addMachinesOnTheMove(std::map<ShardId, policy::ShardFleet>& fleets) const;
  void moveFrom(ShardId from, const MoveDestination& destination, const policy::ShardFleet& fleet,
                double spareCores, double& missingCores, MoveScope scope);
  void startScaleOut(ShardId shard, const policy::ScaleOutRequest& request);
  policy::ShardFleet fleetOf(ShardId shard) const;
  policy::InstanceOfferings unavailableOfferings() const { return scaleOut_.unavailableOfferings(); }
  ShardDeficits shardDeficits() const;

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  const ClusterView& view_;
  Callbacks callbacks_;
  Leadership leadership_;
  AutoscalerContext context_;
  CloudCallBudget cloudCallBudget_;
  CloudCatalog catalog_;
  const Catalog& machineTypes_;
  MachineRecords records_;
  ScaleIn scaleIn_;
  ScaleOut scaleOut_;
  MachineAdoption adoption_;
  MachineInventory inventory_;
  std::map<ShardId, ReportedLoad> loads_;
  Time lastRebalance_{};
  // A machine whose move to another shard was requested but is not yet recorded.
  struct PendingMove {
    ShardId to;
    Time at;
    double cores = 0;
  };
  std::map<MachineId, PendingMove> pendingMoves_;
  std::map<ShardId, Time> lastMoveAfterDrainAt_;
  // Limits how often a condition that lasts is logged.
  class LogInterval {
   public:
    // Whether the condition should be logged now; true counts as logged.
    bool due(Time now);

   private:
    std::optional<Time> loggedAt_;
  };
  std::map<ShardId, LogInterval> nothingToRequestLog_;
  std::map<MachineId, Time> lastDirectiveAt_;  // last directive to give the machine up
};

}  // namespace cherryloft
