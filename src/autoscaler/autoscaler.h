// Autoscaler: acts on the leader only. Plans the machines of all shards, and has its parts scale out, adopt,
// record and return them. Machines that are to move or go are asked of their owners.
#pragma once

#include "autoscaler/cloud_catalog.h"
#include "autoscaler/machine_adoption.h"
#include "autoscaler/machine_inventory.h"
#include "autoscaler/machine_records.h"
#include "autoscaler/scale_in.h"
#include "autoscaler/scale_out.h"
#include "mesh/messages.h"
#include "policy/autoscaling.h"
#include "wire/workers.h"

namespace cherryloft {

class Autoscaler {
 public:
  struct Callbacks {
    std::function<void(const mesh::MachineDirective&)> sendDirective;  // to the owner of the shard
    // Whether our lease is good this very moment: leadership was judged by a clock read before.
    std::function<bool()> mayAct;
  };
  Autoscaler(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
             const ClusterView& view, std::uint64_t seed, Callbacks out);
  void start();
  void leading(bool yes);
  void load(const mesh::ShardLoad& l);
  // A machine without a record has reported.
  void unrecordedMachineSeen(const wire::WorkerHeartbeat& r) { adoption_.reported(r); }

 private:
  // What a shard's owner reported last, and when it came.
  struct ReportedLoad {
    mesh::ShardLoad load;
    Time at;
  };

  void tick();
  // How many idle machines of a shard may move in one turn.
  enum class MoveScope : std::uint8_t { OnePerShard, AllSpare };
  struct MoveDestination {
    ShardId shard;
    bool takesSpot = false;  // work waits there that spot machines may run
  };

  void plan();
  void planShard(ShardId shard, const policy::ShardFleet& fleet, const policy::CapacityTargets& target,
                 double spareSpotCores);
  void logShard(ShardId shard, const policy::ShardFleet& fleet, const policy::CapacityTargets& target) const;
  void moveToEmptyShards(const std::map<ShardId, policy::ShardFleet>& fleets);
  void scaleOutInTurn(const std::map<ShardId, policy::ShardFleet>& fleets,
                      const std::map<ShardId, policy::CapacityTargets>& targets);
  // The shards, the one that lacks most of what it wants first.
  static std::vector<ShardId> byPressure(const std::map<ShardId, policy::ShardFleet>& fleets,
                                         const std::map<ShardId, policy::CapacityTargets>& targets);
  bool mayAskAgain(const MachineId& machine);
  void returnDrained(ShardId shard);
  void cancelOneDrain(ShardId shard);
  void releaseIdle(ShardId shard, const policy::ShardFleet& fleet, const policy::CapacityTargets& target,
                   double spareSpotCores);
  void drainSome(ShardId shard, const policy::ShardFleet& fleet, const policy::CapacityTargets& target);
  double coresMovingTo(ShardId to);
  void moveIdleMachines(const std::map<ShardId, policy::ShardFleet>& fleets,
                        const std::map<ShardId, policy::CapacityTargets>& targets, MoveScope scope);
  void moveFrom(ShardId from, const MoveDestination& destination, double spareCores, double& missingCores,
                MoveScope scope);
  void startScaleOut(ShardId shard, const policy::ScaleOutRequest& request);
  policy::ShardFleet fleetOf(ShardId shard) const;
  std::set<policy::InstanceOffering> unavailable() const { return scaleOut_.refused(); }
  ShardGaps shardGaps() const;

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  const ClusterView& view_;
  Callbacks callbacks_;
  Leadership leadership_;
  AutoscalerContext context_;
  CallBudget calls_;
  CloudCatalog catalog_;
  const Catalog& prices_;
  MachineRecords records_;
  ScaleIn scaleIn_;
  ScaleOut scaleOut_;
  MachineAdoption adoption_;
  MachineInventory inventory_;
  std::map<ShardId, ReportedLoad> loads_;
  Time lastRebalance_{};
  // A machine that was asked to move and is not recorded there yet.
  struct Moving {
    ShardId to;
    Time at;
    double cores = 0;
  };
  std::map<MachineId, Moving> moving_;
  std::map<ShardId, Time> moveAfterDrainAt_;
  std::map<MachineId, Time> asked_;  // machines whose owner was told to give them up
};

}  // namespace cherryloft
