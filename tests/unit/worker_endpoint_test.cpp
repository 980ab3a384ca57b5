// Tests how a controller answers workers of a shard that another controller owns.
#include <gtest/gtest.h>

#include "controller/worker_endpoint.h"
#include "unit/virtual_clock_runtime.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

constexpr PeerNumber kSelf = 0;
constexpr PeerNumber kOwner = 1;
constexpr ShardId kShard{1};
constexpr Epoch kEpoch{7};
constexpr world::Ms kSecond = 1000;

struct RecordingRuntime : VirtualClockRuntime {
  std::vector<mesh::Frame> sent;
  void mesh(std::uint32_t, const mesh::Frame& frame) override { sent.push_back(frame); }
  void call(const Address&, HttpRequest, Duration, HttpCallback) override {}
};

// Controller 0, and one machine in a shard that controller 1 owns.
struct WorkerEndpointTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(kSelf), {});
  RecordingRuntime runtime;
  ClusterView view;
  Peers peers{
      settings, runtime, {[](PeerNumber, const mesh::Payload&) {}, [] { return mesh::PeerHeartbeat{}; }}};
  int unrecordedMachines = 0;
  std::vector<HttpResponse> answers;
  WorkerEndpoint endpoint{settings, runtime, view, peers, callbacks()};

  WorkerEndpointTest() {
    const auto& owner = settings.controllers[kOwner];
    view.shards[kShard] = {{owner, kEpoch}, Version{1}};
    view.controllers[owner] = Version{1};
    MachineEntry machine;
    machine.record.shard = kShard;
    machine.record.token = kEpoch;
    view.machines[MachineId{"m1"}] = machine;
    peers.start();
  }
  WorkerEndpoint::Callbacks callbacks() {
    WorkerEndpoint::Callbacks callbacks;
    callbacks.scheduler = [](ShardId) { return nullptr; };
    callbacks.unrecordedMachineSeen = [this](const wire::WorkerHeartbeat&, const std::string&) {
      ++unrecordedMachines;
    };
    callbacks.leaseValidity = [this] { return LeaseValidity{runtime.now(), runtime.now() + Duration{1}}; };
    callbacks.jobsRevision = [] { return Version{40}; };
    return callbacks;
  }

  void receiveOwnerHeartbeat() {
    mesh::PeerHeartbeat heartbeat;
    heartbeat.processIncarnation = 1;
    heartbeat.at = runtime.now().time_since_epoch().count();
    heartbeat.echoedAt = heartbeat.at;
    heartbeat.leaseRemainingMs = 3000;
    heartbeat.owns = {{kShard.value, kEpoch.value, 40}};
    peers.handleFrame({kOwner, kSelf, heartbeat});
  }
  static std::string heartbeatOf(const std::string& machine) {
    return R"({"host":")" + machine + R"(","tenure":1,"serial":2,"epoch":)" +
           std::to_string(makeFencingToken(kEpoch).value) + R"(,"pieces":[]})";
  }
  void receive(const std::string& body) {
    endpoint.handleHeartbeat(body, [this](HttpResponse response) { answers.push_back(std::move(response)); });
  }
  // The message last sent to the owner, if it is a relayed heartbeat.
  std::optional<mesh::RelayedHeartbeat> lastRelayed() const {
    const auto* relayed = std::get_if<mesh::RelayedHeartbeat>(&runtime.sent.back().payload);
    return relayed ? std::optional(*relayed) : std::nullopt;
  }
  // Sends a heartbeat of the worker every second until `end`, with the owner reachable and answering.
  void heartbeatEverySecondUntil(world::Ms end) {
    while (runtime.clock.now() < end) {
      receiveOwnerHeartbeat();
      receive(heartbeatOf("m1"));
      if (auto relayed = lastRelayed())
        peers.handleFrame({kOwner, kSelf, mesh::Answer{relayed->id, 200, "{}"}});
      runtime.clock.run(runtime.clock.now() + kSecond);
    }
  }
};

}  // namespace

TEST_F(WorkerEndpointTest, AMalformedHeartbeatIsRefused) {
  receive("{}");
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].status, 400);
}

TEST_F(WorkerEndpointTest, AnUnrecordedMachineIsReportedAndRefused) {
  receive(heartbeatOf("unknown"));
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].status, 503);
  EXPECT_EQ(unrecordedMachines, 1);
}

TEST_F(WorkerEndpointTest, AHeartbeatIsRefusedWhileTheShardHasNoLiveOwner) {
  view.controllers.clear();
  receive(heartbeatOf("m1"));
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].body, R"({"error":"share is being taken over"})");
}

TEST_F(WorkerEndpointTest, AHeartbeatIsRelayedToTheOwnerAndItsAnswerPassedOn) {
  receiveOwnerHeartbeat();
  receive(heartbeatOf("m1"));
  auto relayed = lastRelayed();
  ASSERT_TRUE(relayed);
  EXPECT_EQ(relayed->body, heartbeatOf("m1"));
  EXPECT_TRUE(answers.empty());
  peers.handleFrame({kOwner, kSelf, mesh::Answer{relayed->id, 200, "commands"}});
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].status, 200);
  EXPECT_EQ(answers[0].body, "commands");
}

TEST_F(WorkerEndpointTest, AWorkerThatKeepsSendingIsRedirectedOnceAndThenRelayedAgain) {
  heartbeatEverySecondUntil(12 * kSecond);
  ASSERT_EQ(answers.size(), 12U);
  std::vector<std::size_t> redirects;
  for (std::size_t i = 0; i < answers.size(); ++i)
    if (answers[i].status == 421) redirects.push_back(i);
  EXPECT_EQ(redirects, std::vector<std::size_t>{9});  // the first after 8 s
  EXPECT_TRUE(answers[9].close);
}

TEST_F(WorkerEndpointTest, AWorkerOfAnUnreachableOwnerIsAnsweredOnItsBehalf) {
  receiveOwnerHeartbeat();
  runtime.clock.run(10 * kSecond);
  receive(heartbeatOf("m1"));
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].status, 200);
  EXPECT_EQ(answers[0].body, wire::encodeHeartbeatAnswer(makeFencingToken(kEpoch), {}));
}

TEST_F(WorkerEndpointTest, AWorkerWithATokenOfAFormerEpochIsNotAnsweredOnTheOwnersBehalf) {
  receiveOwnerHeartbeat();
  view.shards[kShard].record.epoch = Epoch{8};
  runtime.clock.run(10 * kSecond);
  receive(heartbeatOf("m1"));
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].status, 503);
}
