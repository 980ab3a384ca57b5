// Fleet: acts on the leader only. Plans the machines of all shards, and has its parts rent, adopt, record and
// return them. Machines that are to move or go are asked of their owners.
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
  struct ReportedLoad {
    mesh::ShardLoad load;
    Time at;
  };

  void tick();
  void plan();
  void planShard(ShardId k, const policy::ShardFleet& f, const policy::CapacityTargets& t, double spareSpot);
  void moveAfterDrain(const std::map<ShardId, policy::ShardFleet>& fleets);
  void rentInTurn(const std::map<ShardId, policy::ShardFleet>& fleets,
                  const std::map<ShardId, policy::CapacityTargets>& targets);
  static std::vector<ShardId> byPressure(const std::map<ShardId, policy::ShardFleet>& fleets,
                                         const std::map<ShardId, policy::CapacityTargets>& targets);
  void drainSome(ShardId k, const policy::ShardFleet& f, const policy::CapacityTargets& t);
  double comingTo(ShardId to);
  void move(const std::map<ShardId, policy::ShardFleet>& fleets,
            const std::map<ShardId, policy::CapacityTargets>& targets, bool beat);
  void startRental(ShardId k, const policy::ScaleOutRequest& directive);
  policy::ShardFleet fleetOf(ShardId k) const;
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
  Time moveAt_{};
  struct Moving {
    ShardId to;
    Time at;
    double cores;
  };
  std::map<MachineId, Moving> moving_;
  std::map<ShardId, Time> moveAfterDrainAt_;
  std::map<MachineId, Time> asked_;  // machines whose owner was told to give them up
};

}  // namespace cherryloft
