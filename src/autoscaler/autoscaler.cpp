#include "autoscaler/autoscaler.h"

#include <utility>

#include "autoscaler/shard_fleet.h"

namespace cherryloft {
namespace {

constexpr Duration kTick{500};

}  // namespace

Autoscaler::Autoscaler(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                       const ClusterView& view, std::uint64_t seed, Callbacks out)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      view_(view),
      callbacks_(std::move(out)),
      context_{settings, runtime, std::move(log), store, view, leadership_},
      calls_(settings.cloudRps, runtime.now()),
      catalog_(context_),
      prices_(catalog_.prices()),
      records_(context_, [this](const MachineId& id) { return scaleIn_.returned(id); }),
      scaleIn_(context_,
               [this](const policy::InstanceOffering& offer) { scaleOut_.offeringAvailable(offer); }),
      scaleOut_(context_, records_, seed),
      adoption_(context_, catalog_, records_, scaleIn_, [this] { return shardGaps(); }),
      inventory_(context_, catalog_, adoption_, scaleIn_) {}

void Autoscaler::start() { tick(); }

void Autoscaler::leading(bool yes) {
  leadership_.active = yes;
  if (!yes) return;
  leadership_.since = runtime_.now();
  lastRebalance_ = leadership_.since;
  loads_.clear();
  inventory_.restart();
  scaleIn_.restart();
  scaleOut_.restart();
  adoption_.restart();
  records_.restart();
}

void Autoscaler::load(const mesh::ShardLoad& load) {
  auto& reported = loads_[ShardId{load.shard}];
  if (reported.load.epoch > load.epoch) return;  // of a former owner
  reported = {load, runtime_.now()};
}

void Autoscaler::tick() {
  runtime_.after(kTick, [this] { tick(); });
  if (!leadership_.active || !callbacks_.mayAct()) return;
  calls_.refill(runtime_.now());
  catalog_.useKept();
  catalog_.refresh(calls_);
  inventory_.refresh(calls_);
  scaleIn_.returnMarked(calls_);
  inventory_.reviewRecords();
  scaleIn_.markRequested();
  if (records_.current()) adoption_.assignToShards();
  if (!prices_.empty() && runtime_.now() - leadership_.since >= kSettle) plan();
}

policy::ShardFleet Autoscaler::fleetOf(ShardId shard) const {
  auto reported = loads_.find(shard);
  const auto* load = reported == loads_.end() ? nullptr : &reported->second.load;
  auto fleet = describeShardFleet(shard, load, view_, prices_, runtime_.wall());
  scaleOut_.addOrdered(shard, fleet);
  return fleet;
}

ShardGaps Autoscaler::shardGaps() const {
  ShardGaps gaps;
  for (std::uint32_t number = 0; number < settings_.size(); ++number) {
    ShardId shard{number};
    auto fleet = fleetOf(shard);
    auto& gap = gaps[shard];
    gap.cores = fleet.onDemandOnly.used + fleet.onDemandOnly.waiting + fleet.spotAllowed.used +
                fleet.spotAllowed.waiting;
    for (const auto& machine : fleet.machines) {
      gap.cores -= machine.cores;
      ++gap.machinesOfType[machine.type];
    }
  }
  return gaps;
}

void Autoscaler::startScaleOut(ShardId shard, const policy::ScaleOutRequest& request) {
  calls_.take();
  scaleOut_.start(shard, request);
}

}  // namespace cherryloft
