// Tests requests for machines to the cloud and the handling of their results.
#include "autoscaler/scale_out.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "unit/pending_calls_runtime.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

struct CloudCallsRuntime : PendingCallsRuntime {
  void call(const Address& to, HttpRequest request, Duration deadline, HttpCallback done) override {
    if (request.target == "/hosts")
      PendingCallsRuntime::call(to, std::move(request), deadline, std::move(done));
  }
  std::string claim(std::size_t n) const { return nlohmann::json::parse(requests.at(n).body)["claim"]; }
};

struct ScaleOutTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  CloudCallsRuntime runtime;
  KeyValueStore store{settings, runtime, silentLog(), 1};
  ClusterView clusterView;
  Leadership leadership{true, runtime.now()};
  AutoscalerContext context{settings, runtime, silentLog(), store, clusterView, leadership};
  MachineRecords records{context, [](const MachineId&) { return false; }};
  ScaleOut scaleOut{context, records, 1};
  policy::ScaleOutRequest request{{"m", settings.zones[0], false}, 2, 16};

  ScaleOutTest() { clusterView.leader = OwnerEntry{{settings.controller, Epoch{7}}, Version{70}}; }
  std::size_t pendingMachines(ShardId shard) const {
    policy::ShardFleet fleet;
    scaleOut.addPendingMachines(shard, fleet);
    return fleet.machines.size();
  }
};

const std::string kNoCapacity = R"({"error":"no capacity"})";

}  // namespace

TEST_F(ScaleOutTest, AnOpenRequestCountsForItsShardUntilItIsAnswered) {
  scaleOut.requestMachines(ShardId{1}, request);
  EXPECT_EQ(pendingMachines(ShardId{1}), 1U);
  EXPECT_EQ(pendingMachines(ShardId{0}), 0U);
  runtime.answer(0, 400, "{}");
  EXPECT_EQ(pendingMachines(ShardId{1}), 0U);
}

TEST_F(ScaleOutTest, ARequestWithoutAnAnswerIsRetriedWithTheSameClaim) {
  scaleOut.requestMachines(ShardId{1}, request);
  auto done = runtime.open.at(0);
  done({HttpResult::Outcome::Unknown, {}});
  runtime.clock.run(runtime.clock.now() + 2'000);
  ASSERT_EQ(runtime.requests.size(), 2U);
  EXPECT_EQ(runtime.claim(0), runtime.claim(1));
}

TEST_F(ScaleOutTest, AnOfferingWithoutCapacityIsUnavailableForIncreasingTimes) {
  scaleOut.requestMachines(ShardId{1}, request);
  runtime.answer(0, 503, kNoCapacity);
  EXPECT_EQ(scaleOut.unavailableOfferings().count(request.offering), 1U);
  runtime.clock.run(runtime.clock.now() + 9'100);
  EXPECT_TRUE(scaleOut.unavailableOfferings().empty());
  scaleOut.requestMachines(ShardId{1}, request);
  EXPECT_NE(runtime.claim(0), runtime.claim(1));
  runtime.answer(1, 503, kNoCapacity);
  runtime.clock.run(runtime.clock.now() + 15'000);
  EXPECT_EQ(scaleOut.unavailableOfferings().count(request.offering), 1U);
  scaleOut.markAvailable(request.offering);
  EXPECT_TRUE(scaleOut.unavailableOfferings().empty());
}

// Guards against renting twice for one shortage while the records of the machines are being written.
TEST_F(ScaleOutTest, ProvisionedMachinesCountUntilTheyAreRecorded) {
  scaleOut.requestMachines(ShardId{1}, request);
  runtime.answer(0, 200, R"({"hosts":["host-000001","host-000002"]})");
  policy::ShardFleet fleet;
  scaleOut.addPendingMachines(ShardId{1}, fleet);
  ASSERT_EQ(fleet.machines.size(), 2U);
  EXPECT_FALSE(fleet.machines[0].inReport);
  EXPECT_EQ(fleet.machines[0].cores, 8);
  clusterView.machines[MachineId{"host-000001"}];
  EXPECT_EQ(pendingMachines(ShardId{1}), 1U);
}

TEST_F(ScaleOutTest, AnOfferingThatTheCloudRejectsIsUnavailable) {
  scaleOut.requestMachines(ShardId{1}, request);
  runtime.answer(0, 400, "{}");
  EXPECT_EQ(scaleOut.unavailableOfferings().count(request.offering), 1U);
}
