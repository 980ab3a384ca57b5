// What the leader asks of the cloud.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "autoscaler/autoscaler.h"
#include "unit/clock_runtime.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

// Nobody answers anything.
struct LoneIo : ClockRuntime {
  std::vector<HttpRequest> sent;
  void call(const Address&, HttpRequest r, Duration, HttpDone) override { sent.push_back(std::move(r)); }
};

struct Leader : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  LoneIo runtime;
  KeyValueStore store{settings, runtime, silentLog(), 1};
  ClusterView view;
  Autoscaler fleet{settings,
                   runtime,
                   silentLog(),
                   store,
                   view,
                   1,
                   {[this](const mesh::MachineDirective& w) { wishes.push_back(w); }, [] { return true; }}};
  std::vector<mesh::MachineDirective> wishes;

  Leader() {
    view.leader = OwnerEntry{{settings.controller, Epoch{7}}, Version{70}};
    MachineType t;
    t.name = "m";
    t.size = {16, 0, 32};
    t.price = t.spotPrice = 1;
    t.bootS = 5;
    t.zones = settings.zones;
    view.catalog = {t};
    fleet.start();
  }
  void lead(world::Ms forMs) {
    fleet.leading(true);
    for (auto end = runtime.clock.now() + forMs; runtime.clock.now() < end;) {
      mesh::ShardLoad l;
      l.onDemandOnly.waiting = 64;
      l.onDemandOnly.largestTask = 4;
      l.onDemandOnly.runS = 30;
      fleet.load(l);
      runtime.clock.run(runtime.clock.now() + 1000);
    }
    fleet.leading(false);
  }
  std::vector<std::string> claims() const {
    std::vector<std::string> out;
    for (const auto& r : sent("/hosts")) out.push_back(nlohmann::json::parse(r.body)["claim"]);
    return out;
  }
  std::vector<HttpRequest> sent(const std::string& path) const {
    std::vector<HttpRequest> out;
    for (const auto& r : runtime.sent)
      if (r.target == path && r.method == "POST") out.push_back(r);
    return out;
  }
};

}  // namespace

// A lease that went unheard and lives on makes the same controller lead again under the same epoch.
TEST_F(Leader, NoClaimIsUsedTwiceInOneEpoch) {
  lead(10'000);
  auto before = claims();
  ASSERT_FALSE(before.empty());
  lead(10'000);
  auto all = claims();
  ASSERT_GT(all.size(), before.size());
  EXPECT_EQ(std::set<std::string>(all.begin(), all.end()).size(), all.size());
}

// A move takes its time, as its record waits for a turn: the shard that waits for it is not sent ever more
// machines.
TEST_F(Leader, MachinesOnTheirWayToAShareCountThere) {
  mesh::ShardLoad from;
  from.shard = 1;
  for (int i = 0; i < 20; ++i) {
    MachineId id{"host-" + std::to_string(i)};
    MachineEntry& h = view.machines[id];
    h.record.shard = ShardId{1};
    h.record.type = "m";
    h.record.zone = settings.zones[0];
    h.group = "host/" + id.value;
    from.machines.push_back({id.value, "m", settings.zones[0].value, false, 16, 30, true});
  }
  mesh::ShardLoad to;
  to.onDemandOnly.waiting = 60;
  to.onDemandOnly.largestTask = 4;
  to.onDemandOnly.runS = 30;
  fleet.leading(true);
  for (int s = 0; s < 20; ++s) {
    fleet.load(to);
    for (const auto& w : wishes)
      for (auto& h : from.machines)
        if (h.machine == w.machine) h.usable = false, h.draining = true;
    fleet.load(from);
    runtime.clock.run(runtime.clock.now() + 1000);
  }
  auto moves = std::count_if(wishes.begin(), wishes.end(), [](const auto& w) {
    return w.kind == mesh::MachineDirective::Move && w.toShard == 0;
  });
  EXPECT_EQ(moves, 4);  // of 16 cores each, for 60
}
