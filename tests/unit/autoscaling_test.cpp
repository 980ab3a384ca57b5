// Tests of the requests that the leader's autoscaler sends to the cloud and to shards.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "autoscaler/autoscaler.h"
#include "unit/virtual_clock_runtime.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

// Records calls and never answers them.
struct UnansweredCallsRuntime : VirtualClockRuntime {
  std::vector<HttpRequest> sent;
  void call(const Address&, HttpRequest request, Duration, HttpCallback) override {
    sent.push_back(std::move(request));
  }
};

struct AutoscalerTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  UnansweredCallsRuntime runtime;
  KeyValueStore store{settings, runtime, silentLog(), 1};
  ClusterView view;
  Autoscaler autoscaler{settings,
                        runtime,
                        silentLog(),
                        store,
                        view,
                        1,
                        {[this](const mesh::MachineDirective& directive) { directives.push_back(directive); },
                         [] { return true; }}};
  std::vector<mesh::MachineDirective> directives;

  AutoscalerTest() {
    view.leader = OwnerEntry{{settings.controller, Epoch{7}}, Version{70}};
    MachineType type;
    type.name = "m";
    type.size = {16, 0, 32};
    type.price = type.spotPrice = 1;
    type.bootSeconds = 5;
    type.zones = settings.zones;
    view.catalog = {type};
    autoscaler.start();
  }
  // Leads for a while, with a report of waiting work every second.
  void lead(world::Ms forMs) {
    autoscaler.handleLeadershipChange(true);
    for (auto end = runtime.clock.now() + forMs; runtime.clock.now() < end;) {
      mesh::ShardLoad load;
      load.onDemandOnly.waiting = 64;
      load.onDemandOnly.largestTask = 4;
      load.onDemandOnly.expectedRunS = 30;
      autoscaler.handleShardLoad(load);
      runtime.clock.run(runtime.clock.now() + 1000);
    }
    autoscaler.handleLeadershipChange(false);
  }
  std::vector<std::string> claims() const {
    std::vector<std::string> claims;
    for (const auto& request : sent("/hosts")) claims.push_back(nlohmann::json::parse(request.body)["claim"]);
    return claims;
  }
  std::vector<HttpRequest> sent(const std::string& path) const {
    std::vector<HttpRequest> posts;
    for (const auto& request : runtime.sent)
      if (request.target == path && request.method == "POST") posts.push_back(request);
    return posts;
  }
};

}  // namespace

// Guards against reused claims: a controller that misses its lease renewals while the lease is still valid
// leads again under the same epoch.
TEST_F(AutoscalerTest, ClaimsAreUniqueWithinAnEpoch) {
  lead(10'000);
  auto before = claims();
  ASSERT_FALSE(before.empty());
  lead(10'000);
  auto all = claims();
  ASSERT_GT(all.size(), before.size());
  EXPECT_EQ(std::set<std::string>(all.begin(), all.end()).size(), all.size());
}

// Guards against moving more and more machines to a shard: a move takes effect only when its record is
// written, and until then the shard still reports the waiting work.
TEST_F(AutoscalerTest, MachinesBeingMovedCountForTheTargetShard) {
  mesh::ShardLoad from;
  from.shard = 1;
  for (int i = 0; i < 20; ++i) {
    MachineId id{"host-" + std::to_string(i)};
    MachineEntry& entry = view.machines[id];
    entry.record.shard = ShardId{1};
    entry.record.type = "m";
    entry.record.zone = settings.zones[0];
    entry.group = "host/" + id.value;
    from.machines.push_back({id.value, "m", settings.zones[0].value, false, 16, 30, true});
  }
  mesh::ShardLoad to;
  to.onDemandOnly.waiting = 60;
  to.onDemandOnly.largestTask = 4;
  to.onDemandOnly.expectedRunS = 30;
  autoscaler.handleLeadershipChange(true);
  for (int second = 0; second < 20; ++second) {
    autoscaler.handleShardLoad(to);
    for (const auto& directive : directives)
      for (auto& machine : from.machines)
        if (machine.machine == directive.machine) machine.usable = false, machine.draining = true;
    autoscaler.handleShardLoad(from);
    runtime.clock.run(runtime.clock.now() + 1000);
  }
  auto moves = std::count_if(directives.begin(), directives.end(), [](const auto& directive) {
    return directive.kind == mesh::MachineDirective::Move && directive.toShard == 0;
  });
  EXPECT_EQ(moves, 4);  // 4 machines of 16 cores for 60 waiting cores
}
