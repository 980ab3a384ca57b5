// When the records of a shard's machines are written, and with what.
#include "scheduler/machine_record_writer.h"

#include <gtest/gtest.h>

#include "unit/held_calls_runtime.h"
#include "world/world.h"

namespace cherryloft {
namespace {

class MachineRecordWriterTest : public ::testing::Test {
 protected:
  Machine& addMachine(const std::string& id, const std::string& group) {
    MachineEntry entry;
    entry.record.shard = kShard;
    entry.record.type = "m";
    entry.record.zone = settings_.zones.at(0);
    entry.group = group;
    entry.version = Version{50};
    view_.machines[MachineId{id}] = entry;
    view_.groups[group].push_back(MachineId{id});
    auto& machine = state_.addMachine(MachineId{id}, entry, nullptr, runtime_.now());
    machine.heard = true;
    return machine;
  }
  static void decommission(Machine& machine, std::int32_t target) {
    machine.decommissioning = true;
    machine.moveTarget = target;
  }
  // Calls the writer, and gives its transaction time to be sent.
  void write() {
    writer_.writeChanges(runtime_.now());
    wait(Duration{100});
  }
  void wait(Duration time) { runtime_.clock.run(runtime_.clock.now() + time.count()); }
  bool lastRequestHas(const std::string& text) const {
    return runtime_.requests.back().body.find(text) != std::string::npos;
  }

  static constexpr ShardId kShard{2};
  Settings settings_ = parseSettings(world::Deployment{}.settingsJson(0), {});
  HeldCallsRuntime runtime_;
  KeyValueStore store_{settings_, runtime_, silentLog(), 1};
  ClusterView view_;
  ShardState state_{settings_};
  int shardsLost_ = 0;
  MachineRecordWriter writer_{
      settings_, runtime_, store_, view_, ShardTakeover{kShard, Epoch{7}, Version{70}}, state_, [this] {
        ++shardsLost_;
      }};
};

TEST_F(MachineRecordWriterTest, WritesNothingWhileTheRecordsAreRight) {
  addMachine("m-1", "host/m-1.7");
  write();
  EXPECT_TRUE(runtime_.requests.empty());
}

TEST_F(MachineRecordWriterTest, AnAddressIsWrittenOnceOthersHadTimeToJoinIt) {
  addMachine("m-1", "host/m-1.7").address = "10.1.0.2:9000";
  write();
  EXPECT_TRUE(runtime_.requests.empty());
  wait(Duration{3'000});
  write();
  ASSERT_EQ(runtime_.requests.size(), 1U);
  EXPECT_TRUE(lastRequestHas("10.1.0.2:9000"));
}

TEST_F(MachineRecordWriterTest, AWriteRequiresTheShardUnchanged) {
  decommission(addMachine("m-1", "host/m-1.7"), kMoveToCloud);
  write();
  ASSERT_EQ(runtime_.requests.size(), 1U);
  EXPECT_TRUE(lastRequestHas(R"({"path":"share/2","stamp":70})"));
}

TEST_F(MachineRecordWriterTest, AMachineThatMayStillActOnACommandStays) {
  auto& machine = addMachine("m-1", "host/m-1.7");
  decommission(machine, kMoveToCloud);
  machine.commandInFlight = true;
  write();
  EXPECT_TRUE(runtime_.requests.empty());
}

TEST_F(MachineRecordWriterTest, AMoveWritesTheNextEpoch) {
  view_.epoch = Epoch{9};
  decommission(addMachine("m-1", "host/m-1.7"), 1);
  write();
  ASSERT_EQ(runtime_.requests.size(), 1U);
  EXPECT_TRUE(lastRequestHas(R"({"write":"share/epoch")"));
  EXPECT_TRUE(lastRequestHas(R"({"write":"host/m-1.10")"));
}

TEST_F(MachineRecordWriterTest, ReturnsDoNotWaitForMovesThatAreWrittenFirst) {
  decommission(addMachine("m-1", "host/m-1.7"), 1);
  decommission(addMachine("m-2", "host/m-2.7"), kMoveToCloud);
  write();
  EXPECT_TRUE(lastRequestHas("share/epoch"));
  runtime_.answer(0, 200, R"({"ledger_rev":80})");
  wait(Duration{300});
  write();
  ASSERT_EQ(runtime_.requests.size(), 2U);
  EXPECT_FALSE(lastRequestHas("share/epoch"));
}

TEST_F(MachineRecordWriterTest, OneWriteIsInFlightAtATime) {
  decommission(addMachine("m-1", "host/m-1.7"), kMoveToCloud);
  write();
  write();
  EXPECT_EQ(runtime_.requests.size(), 1U);
}

TEST_F(MachineRecordWriterTest, AWriteThatFailsOnTheShardsKeyMeansThatItIsLost) {
  decommission(addMachine("m-1", "host/m-1.7"), kMoveToCloud);
  write();
  runtime_.answer(0, 409, R"({"failed":["share/2"]})");
  EXPECT_EQ(shardsLost_, 1);
}

}  // namespace
}  // namespace cherryloft
