// MachineRecordWriter: when the records of a shard's machines are written, and with which contents.
#include "scheduler/machine_record_writer.h"

#include <gtest/gtest.h>

#include "unit/pending_calls_runtime.h"
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
    machine.registered = true;
    return machine;
  }
  static void decommission(Machine& machine, std::int32_t target) {
    machine.decommissioning = true;
    machine.moveTarget = target;
  }
  // Calls the writer, then advances the clock so that its transaction is sent.
  void writeChanges() {
    writer_.writeChanges(runtime_.now());
    advanceClock(Duration{100});
  }
  void advanceClock(Duration time) { runtime_.clock.run(runtime_.clock.now() + time.count()); }
  bool lastRequestContains(const std::string& text) const {
    return runtime_.requests.back().body.find(text) != std::string::npos;
  }

  static constexpr ShardId kShard{2};
  Settings settings_ = parseSettings(world::Deployment{}.settingsJson(0), {});
  PendingCallsRuntime runtime_;
  KeyValueStore store_{settings_, runtime_, silentLog(), 1};
  ClusterView view_;
  ShardState state_{settings_};
  int shardsLost_ = 0;
  MachineRecordWriter writer_{
      settings_, runtime_, store_, view_, ShardTakeover{kShard, Epoch{7}, Version{70}}, state_, [this] {
        ++shardsLost_;
      }};
};

TEST_F(MachineRecordWriterTest, WritesNothingIfRecordsAreUpToDate) {
  addMachine("m-1", "host/m-1.7");
  writeChanges();
  EXPECT_TRUE(runtime_.requests.empty());
}

TEST_F(MachineRecordWriterTest, AddressIsWrittenAfterBatchingTime) {
  addMachine("m-1", "host/m-1.7").address = "10.1.0.2:9000";
  writeChanges();
  EXPECT_TRUE(runtime_.requests.empty());
  advanceClock(Duration{3'000});
  writeChanges();
  ASSERT_EQ(runtime_.requests.size(), 1U);
  EXPECT_TRUE(lastRequestContains("10.1.0.2:9000"));
}

TEST_F(MachineRecordWriterTest, WriteRequiresUnchangedShardKey) {
  decommission(addMachine("m-1", "host/m-1.7"), kMoveToCloud);
  writeChanges();
  ASSERT_EQ(runtime_.requests.size(), 1U);
  EXPECT_TRUE(lastRequestContains(R"({"path":"share/2","stamp":70})"));
}

TEST_F(MachineRecordWriterTest, MachineWithCommandInFlightIsNotReturned) {
  auto& machine = addMachine("m-1", "host/m-1.7");
  decommission(machine, kMoveToCloud);
  machine.commandInFlight = true;
  writeChanges();
  EXPECT_TRUE(runtime_.requests.empty());
}

TEST_F(MachineRecordWriterTest, MoveWritesNextEpoch) {
  view_.epoch = Epoch{9};
  decommission(addMachine("m-1", "host/m-1.7"), 1);
  writeChanges();
  ASSERT_EQ(runtime_.requests.size(), 1U);
  EXPECT_TRUE(lastRequestContains(R"({"write":"share/epoch")"));
  EXPECT_TRUE(lastRequestContains(R"({"write":"host/m-1.10")"));
}

TEST_F(MachineRecordWriterTest, ReturnsAreWrittenInSeparateBatchAfterMoves) {
  decommission(addMachine("m-1", "host/m-1.7"), 1);
  decommission(addMachine("m-2", "host/m-2.7"), kMoveToCloud);
  writeChanges();
  EXPECT_TRUE(lastRequestContains("share/epoch"));
  runtime_.answer(0, 200, R"({"ledger_rev":80})");
  advanceClock(Duration{300});
  writeChanges();
  ASSERT_EQ(runtime_.requests.size(), 2U);
  EXPECT_FALSE(lastRequestContains("share/epoch"));
}

TEST_F(MachineRecordWriterTest, OnlyOneWriteIsInFlight) {
  decommission(addMachine("m-1", "host/m-1.7"), kMoveToCloud);
  writeChanges();
  writeChanges();
  EXPECT_EQ(runtime_.requests.size(), 1U);
}

TEST_F(MachineRecordWriterTest, ConflictOnShardKeyReportsShardLost) {
  decommission(addMachine("m-1", "host/m-1.7"), kMoveToCloud);
  writeChanges();
  runtime_.answer(0, 409, R"({"failed":["share/2"]})");
  EXPECT_EQ(shardsLost_, 1);
}

}  // namespace
}  // namespace cherryloft
