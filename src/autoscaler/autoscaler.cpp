#include "autoscaler/autoscaler.h"

#include <utility>

#include "autoscaler/shard_fleet.h"

namespace cherryloft {
namespace {

constexpr Duration kTick{500};

}  // namespace

Fleet::Fleet(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
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
      records_(context_, [this](const MachineId& id) { return returns_.returned(id); }),
      returns_(context_, [this](const policy::Offer& offer) { rentals_.available(offer); }),
      rentals_(context_, records_, seed),
      adoption_(context_, catalog_, records_, returns_, [this] { return shardGaps(); }),
      list_(context_, catalog_, adoption_, returns_) {}

void Fleet::start() { tick(); }

void Fleet::leading(bool yes) {
  leadership_.active = yes;
  if (!yes) return;
  leadership_.since = moveAt_ = runtime_.now();
  loads_.clear();
  list_.restart();
  returns_.restart();
  rentals_.restart();
  adoption_.restart();
  records_.restart();
}

void Fleet::load(const mesh::ShardLoad& l) {
  auto& s = loads_[ShardId{l.shard}];
  if (s.load.epoch > l.epoch) return;
  s = {l, runtime_.now()};
}

void Fleet::tick() {
  runtime_.after(kTick, [this] { tick(); });
  if (!leadership_.active || !callbacks_.entitled()) return;
  calls_.refill(runtime_.now());
  catalog_.useKept();
  catalog_.refresh(calls_);
  list_.refresh(calls_);
  returns_.returnMarked(calls_);
  list_.reviewRecords();
  returns_.markRequested();
  if (records_.current()) adoption_.dealOut();
  if (!prices_.empty() && runtime_.now() - leadership_.since >= kSettle) plan();
}

policy::ShardFleet Fleet::fleetOf(ShardId k) const {
  auto state = loads_.find(k);
  const auto* load = state == loads_.end() ? nullptr : &state->second.load;
  auto fleet = describeShardFleet(k, load, view_, prices_, runtime_.wall());
  rentals_.addOrdered(k, fleet);
  return fleet;
}

ShardGaps Fleet::shardGaps() const {
  ShardGaps gaps;
  for (std::uint32_t k = 0; k < settings_.size(); ++k) {
    auto fleet = fleetOf(ShardId{k});
    auto& gap = gaps[ShardId{k}];
    gap.cores = fleet.firm.used + fleet.firm.waiting + fleet.lendable.used + fleet.lendable.waiting;
    for (const auto& machine : fleet.machines) {
      gap.cores -= machine.cores;
      ++gap.machinesOfType[machine.type];
    }
  }
  return gaps;
}

void Fleet::startRental(ShardId k, const policy::Wish& wish) {
  calls_.take();
  rentals_.start(k, wish);
}

}  // namespace cherryloft
