#include "autoscaler/autoscaler.h"

#include <utility>

#include "autoscaler/shard_fleet.h"

namespace cherryloft {
namespace {

constexpr Duration kTickInterval{500};

}  // namespace

Autoscaler::Autoscaler(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                       const ClusterView& view, std::uint64_t seed, Callbacks callbacks)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      view_(view),
      callbacks_(std::move(callbacks)),
      context_{settings, runtime, std::move(log), store, view, leadership_},
      cloudCallBudget_(settings.cloudRps, runtime.now()),
      catalog_(context_),
      machineTypes_(catalog_.machineTypes()),
      records_(context_, [this](const MachineId& id) { return scaleIn_.wasReturned(id); }),
      scaleIn_(context_,
               [this](const policy::InstanceOffering& offering) { scaleOut_.markAvailable(offering); }),
      scaleOut_(context_, records_, seed),
      adoption_(context_, catalog_, records_, scaleIn_, [this] { return shardDeficits(); }),
      inventory_(context_, catalog_, adoption_, scaleIn_) {}

void Autoscaler::start() { tick(); }

void Autoscaler::handleLeadershipChange(bool isLeader) {
  leadership_.active = isLeader;
  if (!isLeader) return;
  leadership_.since = runtime_.now();
  lastRebalance_ = leadership_.since;
  loads_.clear();
  inventory_.reset();
  scaleIn_.reset();
  scaleOut_.reset();
  adoption_.reset();
  records_.reset();
}

void Autoscaler::handleShardLoad(const mesh::ShardLoad& load) {
  auto& reported = loads_[ShardId{load.shard}];
  if (reported.load.epoch > load.epoch) return;  // sent by a former owner
  reported = {load, runtime_.now()};
}

void Autoscaler::tick() {
  runtime_.after(kTickInterval, [this] { tick(); });
  if (!leadership_.active || !callbacks_.holdsLease()) return;
  cloudCallBudget_.refill(runtime_.now());
  catalog_.loadPersisted();
  catalog_.refresh(cloudCallBudget_);
  inventory_.refresh(cloudCallBudget_);
  scaleIn_.returnMarked(cloudCallBudget_);
  inventory_.reconcileRecords();
  scaleIn_.markRequested();
  if (records_.viewIsCurrent()) adoption_.assignToShards();
  if (!machineTypes_.empty() && runtime_.now() - leadership_.since >= kNewLeaderSettleTime) plan();
}

policy::ShardFleet Autoscaler::fleetOf(ShardId shard) const {
  auto reported = loads_.find(shard);
  const auto* load = reported == loads_.end() ? nullptr : &reported->second.load;
  auto fleet = describeShardFleet(shard, load, view_, machineTypes_, runtime_.wall());
  scaleOut_.addPendingMachines(shard, fleet);
  return fleet;
}

ShardDeficits Autoscaler::shardDeficits() const {
  ShardDeficits deficits;
  for (std::uint32_t number = 0; number < settings_.size(); ++number) {
    ShardId shard{number};
    auto fleet = fleetOf(shard);
    auto& deficit = deficits[shard];
    deficit.missingCores = fleet.onDemandOnly.used + fleet.onDemandOnly.waiting + fleet.spotAllowed.used +
                           fleet.spotAllowed.waiting;
    for (const auto& machine : fleet.machines) {
      deficit.missingCores -= machine.cores;
      ++deficit.machineCountByType[machine.type];
    }
  }
  return deficits;
}

void Autoscaler::startScaleOut(ShardId shard, const policy::ScaleOutRequest& request) {
  cloudCallBudget_.consume();
  scaleOut_.requestMachines(shard, request);
}

}  // namespace cherryloft
