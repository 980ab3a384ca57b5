// Golden encodings of all stored records and messages between controllers. Guards against a rename or a new
// field that changes a stored record or a message, so that older and newer versions could not read each
// other's data.
#include <gtest/gtest.h>

#include <iomanip>
#include <sstream>

#include "mesh/messages.h"
#include "wire/kvstore.h"
#include "wire/records.h"

namespace cherryloft {
namespace {

std::string hex(const std::string& bytes) {
  std::ostringstream out;
  for (unsigned char byte : bytes) out << std::hex << std::setw(2) << std::setfill('0') << unsigned{byte};
  return out.str();
}

// A frame from controller 1 to controller 2. The first 18 digits are the byte order, `from` and `to`.
std::string frameOf(mesh::Payload payload) { return hex(mesh::encode({1, 2, std::move(payload)})); }

JobSpec spec() {
  JobSpec s;
  s.id = JobId{"wk-000412"};
  s.jobClass = "train";
  s.team = TeamId{"vision"};
  s.priority = PriorityClass::High;
  s.tasks = 16;
  s.each = {8, 1, 64};
  s.types = {{"g8"}};
  s.zone = Zone{"a"};
  s.spotAllowed = true;
  s.image = ImageId{"img-07"};
  s.imageGb = 6.5;
  s.expectedRunSeconds = 240;
  s.checkpointIntervalSeconds = 30;
  s.checkpointSeconds = 4;
  s.deadlineSeconds = 900;
  return s;
}

TEST(Recorded, JobRecords) {
  wire::JobRecord open{JobStatus::Open, ShardId{2}, 16, WallTime{1700}, spec(), {}};
  EXPECT_EQ(wire::encodeJobRecord(open),
            "{\"at\":1700,\"n\":16,\"sh\":2,\"spec\":{\"class\":\"train\",\"due\":900.0,\"each\":[8.0,1.0,64."
            "0],\"every\":30.0,\"expect\":240.0,\"gb\":6.5,\"image\":\"img-07\",\"lend\":true,\"onezone\":"
            "false,\"rank\":2,\"save\":4.0,\"shape\":0,\"spread\":false,\"team\":\"vision\",\"types\":["
            "\"g8\"],\"zone\":\"a\"},\"st\":0}");
  wire::JobRecord done{JobStatus::Done, ShardId{2}, 16, WallTime{1700}, {}, {}};
  EXPECT_EQ(wire::encodeJobRecord(done), "{\"n\":16,\"sh\":2,\"st\":1}");
  auto migrated = open;
  migrated.maxConcurrent = 5;
  auto text = wire::encodeJobRecord(migrated);
  EXPECT_NE(text.find("\"most\":5"), std::string::npos) << text;
  auto parsed = wire::parseJobRecord(JobId{"wk-000412"}, text);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->maxConcurrent, 5U);
  EXPECT_FALSE(wire::parseJobRecord(JobId{"wk-000412"}, wire::encodeJobRecord(open))->maxConcurrent);
}

TEST(Recorded, JobRecordsWithDelegations) {
  wire::JobRecord open{JobStatus::Open, ShardId{2}, 16, WallTime{1700}, spec(), {}};
  open.delegations.push_back({ShardId{1}, Zone{"a"}, {4, 5, 9}, Attempt{99}, true});
  open.delegations.push_back({ShardId{0}, std::nullopt, {7}});
  open.doneRemotely = {0, 1, 3};
  auto text = wire::encodeJobRecord(open);
  EXPECT_NE(text.find("\"done\":[[0,1],[3,3]]"), std::string::npos) << text;
  EXPECT_NE(text.find("\"parts\":[{\"back\":true,\"sh\":1,\"t\":[[4,5],[9,9]],\"try\":99,\"zo\":\"a\"},"
                      "{\"sh\":0,\"t\":[[7,7]]}]"),
            std::string::npos)
      << text;
  auto parsed = wire::parseJobRecord(JobId{"wk-000412"}, text);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(wire::encodeJobRecord(*parsed), text);
  EXPECT_EQ(parsed->delegations.front().tasks, (std::vector<std::uint32_t>{4, 5, 9}));
  EXPECT_TRUE(parsed->delegations.front().recalled);
  EXPECT_FALSE(parsed->delegations.back().zone);
}

// Ignoring a malformed delegation would place its tasks twice.
TEST(Recorded, JobRecordWithMalformedDelegationIsRejected) {
  wire::JobRecord open{JobStatus::Open, ShardId{2}, 16, WallTime{1700}, spec(), {}};
  open.delegations.push_back({ShardId{1}, std::nullopt, {4}});
  auto text = wire::encodeJobRecord(open);
  auto at = text.find("[[4,4]]");
  ASSERT_NE(at, std::string::npos);
  EXPECT_FALSE(wire::parseJobRecord(JobId{"wk-000412"}, text.replace(at, 7, "[[4]]")));
}

TEST(Recorded, PlacementPages) {
  wire::PlacementPageRecord page;
  page.jobs[JobId{"wk-000412"}] = {{0, 1, 2, 7}, {{4, Attempt{99}, MachineId{"host-000231"}}}};
  EXPECT_EQ(wire::encodePlacementPage(page),
            "{\"j\":{\"wk-000412\":{\"d\":[[0,2],[7,7]],\"p\":[[4,99,\"host-000231\"]]}},\"v\":2}");
}

TEST(Recorded, MachineGroups) {
  wire::MachineGroupRecord group{ShardId{1}, Epoch{12}, "g8", Zone{"a"}, true, WallTime{1700}, {}};
  group.members.push_back({MachineId{"host-000231"}, wire::MachinePhase::InUse, "10.1.0.232:9000"});
  group.members.push_back({MachineId{"host-000232"}, wire::MachinePhase::Returning, ""});
  EXPECT_EQ(wire::encodeMachineGroup(group),
            "{\"at\":1700,\"m\":[[\"host-000231\",0,\"10.1.0.232:9000\"],[\"host-000232\",2,\"\"]],\"sh\":1,"
            "\"sp\":true,\"tk\":12,\"ty\":\"g8\",\"v\":2,\"zo\":\"a\"}");
}

TEST(Recorded, OwnerRecordsAndCounters) {
  EXPECT_EQ(wire::encodeOwnerRecord({ControllerId{"loftnode-0"}, Epoch{12}}),
            "{\"ep\":12,\"own\":\"loftnode-0\"}");
  EXPECT_EQ(wire::encodeEpochCounter(Epoch{12}), "{\"n\":12}");
}

TEST(Recorded, Transactions) {
  wire::Transaction transaction;
  transaction.conditions = {{"share/0", Version{7}}, {"node/a", Version{0}}};
  transaction.operations = {
      {"node/a", "{\"at\":1}", LeaseId{3}}, {"run/0/1", "{}", {}}, {"run/0/2", std::nullopt, {}}};
  EXPECT_EQ(wire::encodeTransaction(transaction),
            "{\"when\":[{\"path\":\"node/a\",\"stamp\":0},{\"path\":\"share/0\",\"stamp\":7}],"
            "\"apply\":[{\"write\":\"node/a\",\"value\":{\"at\":1},\"tenancy\":3},"
            "{\"write\":\"run/0/1\",\"value\":{}},{\"drop\":\"run/0/2\"}]}");
  EXPECT_EQ(wire::encodeTransaction({{{"share/0", Version{7}}}, {}}),
            "{\"when\":[{\"path\":\"share/0\",\"stamp\":7}]}");
}

TEST(Recorded, FramesOfHeartbeatsRequestsAndAnswers) {
  mesh::PeerHeartbeat heartbeat{5, true, 2900, {{1, 12, 412}}, 7, 100, 90, true, -1};
  EXPECT_EQ(frameOf(heartbeat),
            "010100000002000000000000000500000001540b0000000000000100000000000000010000000c000000000000009c01"
            "000000000000070000000000000064000000000000005a0000000000000001ffffffffffffffff");
  EXPECT_EQ(frameOf(mesh::JobRequest{3, true, "wk-000412"}),
            "010100000002000000010000000300000000000000010900000000000000776b2d303030343132");
  EXPECT_EQ(frameOf(mesh::RelayedHeartbeat{3, "{}"}),
            "01010000000200000002000000030000000000000002000000000000007b7d");
  EXPECT_EQ(frameOf(mesh::ProbeRequest{3, "10.1.0.232:9000"}),
            "0101000000020000000300000003000000000000000f0000000000000031302e312e302e3233323a39303030");
  EXPECT_EQ(frameOf(mesh::Answer{3, 200, "{}"}),
            "010100000002000000040000000300000000000000c800000002000000000000007b7d");
  EXPECT_EQ(frameOf(mesh::JobEnded{"wk-000412", true, 412}),
            "010100000002000000080000000900000000000000776b2d303030343132019c01000000000000");
}

TEST(Recorded, FramesAboutMachinesAndCapacity) {
  EXPECT_EQ(frameOf(mesh::UnrecordedMachineSeen{"{}"}), "0101000000020000000500000002000000000000007b7d");
  mesh::ShardLoad load{1, 12, {8, 4, 0.5, 0.25, 60, 2, 16, 4, {"g8"}, {"a"}}, {}, {}};
  load.machines.push_back({"host-000231", "g8", "a", true, 4, 1.5, true, false, true, false, 61.5});
  EXPECT_EQ(frameOf(load),
            "01010000000200000006000000010000000c0000000000000000000000000020400000000000001040000000000000e0"
            "3f000000000000d03f0000000000004e4000000000000000400000000000003040000000000000104001000000000000"
            "000200000000000000673801000000000000000100000000000000610000000000000000000000000000000000000000"
            "000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
            "00000000000000000000000001000000000000000b00000000000000686f73742d303030323331020000000000000067"
            "38010000000000000061010000000000001040000000000000f83f010001000000000000c04e40");
  EXPECT_EQ(frameOf(mesh::MachineDirective{1, "host-000231", mesh::MachineDirective::Move, 2}),
            "01010000000200000007000000010000000b00000000000000686f73742d3030303233310100000002000000");
  EXPECT_EQ(frameOf(mesh::CapacityRequest{1, {"wk-000412"}}),
            "010100000002000000090000000100000001000000000000000900000000000000776b2d303030343132");
  EXPECT_EQ(frameOf(mesh::CapacityOffer{2, 1, "wk-000412", 4}),
            "0101000000020000000a00000002000000010000000900000000000000776b2d30303034313204000000");
  EXPECT_EQ(frameOf(mesh::TaskCapacityRequest{1, {{"wk-000412", 3, {{"a", 2}}}}}),
            "0101000000020000000b00000001000000010000000000000009000000000000"
            "00776b2d3030303431320300000001000000000000000100000000000000610200"
            "0000");
  EXPECT_EQ(frameOf(mesh::TaskCapacityOffer{2, 1, "wk-000412", {"a", 2}}),
            "0101000000020000000c0000000200000001000000090000000000000"
            "0776b2d30303034313201000000000000006102000000");
}

}  // namespace
}  // namespace cherryloft
