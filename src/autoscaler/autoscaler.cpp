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
      scaleIn_(context_, [this](const policy::InstanceOffering& offer) { scaleOut_.available(offer); }),
      scaleOut_(context_, records_, seed),
      adoption_(context_, catalog_, records_, scaleIn_, [this] { return shardGaps(); }),
      inventory_(context_, catalog_, adoption_, scaleIn_) {}

void Autoscaler::start() { tick(); }

void Autoscaler::leading(bool yes) {
  leadership_.active = yes;
  if (!yes) return;
  leadership_.since = moveAt_ = runtime_.now();
  loads_.clear();
  inventory_.restart();
  scaleIn_.restart();
  scaleOut_.restart();
  adoption_.restart();
  records_.restart();
}

void Autoscaler::load(const mesh::ShardLoad& l) {
  auto& s = loads_[ShardId{l.shard}];
  if (s.load.epoch > l.epoch) return;
  s = {l, runtime_.now()};
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
  if (records_.current()) adoption_.dealOut();
  if (!prices_.empty() && runtime_.now() - leadership_.since >= kSettle) plan();
}

policy::ShardFleet Autoscaler::fleetOf(ShardId k) const {
  auto state = loads_.find(k);
  const auto* load = state == loads_.end() ? nullptr : &state->second.load;
  auto fleet = describeShardFleet(k, load, view_, prices_, runtime_.wall());
  scaleOut_.addOrdered(k, fleet);
  return fleet;
}

ShardGaps Autoscaler::shardGaps() const {
  ShardGaps gaps;
  for (std::uint32_t k = 0; k < settings_.size(); ++k) {
    auto fleet = fleetOf(ShardId{k});
    auto& gap = gaps[ShardId{k}];
    gap.cores = fleet.onDemandOnly.used + fleet.onDemandOnly.waiting + fleet.spotAllowed.used +
                fleet.spotAllowed.waiting;
    for (const auto& machine : fleet.machines) {
      gap.cores -= machine.cores;
      ++gap.machinesOfType[machine.type];
    }
  }
  return gaps;
}

void Autoscaler::startRental(ShardId k, const policy::ScaleOutRequest& directive) {
  calls_.take();
  scaleOut_.start(k, directive);
}

}  // namespace cherryloft
