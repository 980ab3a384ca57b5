#include <gtest/gtest.h>

#include <random>

#include "mesh/messages.h"
#include "wire/json.h"
#include "wire/records.h"
#include "wire/users.h"
#include "wire/workers.h"
#include "world/world.h"

using namespace cherryloft;
using namespace cherryloft::wire;

namespace {

Json validSubmission() {
  world::JobBehavior n;
  n.spec.id = JobId{"wk-000412"};
  n.spec.jobClass = "train";
  n.spec.team = TeamId{"t"};
  n.spec.tasks = 16;
  n.spec.each = {8, 1, 64};
  n.spec.image = ImageId{"img-07"};
  n.spec.imageGb = 6.2;
  return Json::parse(world::World::submissionJson(n));
}

bool accepted(const Json& j) { return std::holds_alternative<JobSpec>(parseSubmission(j.dump())); }

}  // namespace

// Whoever executes a late copy of it must find no task to start, whichever jobs are submitted.
TEST(Workers, AWakeUpNamesATaskThatNoJobHas) {
  auto largest = validSubmission();
  largest["pieces"] = kMaxTasksPerJob;
  ASSERT_TRUE(accepted(largest));
  largest["pieces"] = kMaxTasksPerJob + 1;
  EXPECT_FALSE(accepted(largest));
  EXPECT_EQ(wakeUpCommand(Attempt{3}).task.index, kMaxTasksPerJob);
}

TEST(Users, ValidSubmission) {
  auto j = validSubmission();
  auto parsed = parseSubmission(j.dump());
  ASSERT_TRUE(std::holds_alternative<JobSpec>(parsed));
  const auto& s = std::get<JobSpec>(parsed);
  EXPECT_EQ(s.id.value, "wk-000412");
  EXPECT_EQ(s.tasks, 16U);
  EXPECT_FALSE(s.types);
  EXPECT_FALSE(s.deadlineSeconds);
  j.erase("site");  // null is equivalent to absent
  j.erase("due_s");
  EXPECT_TRUE(accepted(j));
}

TEST(Users, MissingOrInvalidFieldsAreRejected) {
  auto j = validSubmission();
  std::set<std::string> optional{"flavours", "site", "due_s", "a_field_to_come"};
  for (const auto& [name, _] : j.items()) {
    auto without = j;
    without.erase(name);
    EXPECT_EQ(accepted(without), optional.count(name) > 0) << name;
    if (name == "a_field_to_come") continue;
    auto wrong = j;
    wrong[name] = Json::object();
    EXPECT_FALSE(accepted(wrong)) << name;
  }
  for (auto [name, value] : std::vector<std::pair<const char*, Json>>{{"name_id", "wk-"},
                                                                      {"name_id", "job-1"},
                                                                      {"name_id", "wk-1x"},
                                                                      {"pieces", 0},
                                                                      {"pieces", 100001},
                                                                      {"pieces", 1.5},
                                                                      {"pieces", -1},
                                                                      {"cores", -1},
                                                                      {"cores", 1e300},
                                                                      {"rank", "urgent"},
                                                                      {"shape", "blob"},
                                                                      {"flavours", Json::array({1})},
                                                                      {"due_s", -1},
                                                                      {"bundle", ""}}) {
    auto wrong = j;
    wrong[name] = value;
    EXPECT_FALSE(accepted(wrong)) << name << " " << value;
  }
  EXPECT_TRUE(std::holds_alternative<Malformed>(parseSubmission("[]")));
  EXPECT_TRUE(std::holds_alternative<Malformed>(parseSubmission("{")));
  EXPECT_TRUE(std::holds_alternative<Malformed>(parseSubmission(std::string(60000, '['))));
}

TEST(Records, JobRoundTrips) {
  auto spec = std::get<JobSpec>(parseSubmission(validSubmission().dump()));
  spec.types = std::vector<std::string>{"m"};
  spec.zone = Zone{"a"};
  spec.deadlineSeconds = 90;
  JobRecord r{JobStatus::Open, ShardId{2}, spec.tasks, WallTime{1234}, spec};
  auto decoded = parseJobRecord(spec.id, encodeJobRecord(r));
  ASSERT_TRUE(decoded && decoded->spec);
  EXPECT_EQ(encodeJobRecord(*decoded), encodeJobRecord(r));
  EXPECT_EQ(decoded->spec->zone, spec.zone);
  EXPECT_EQ(decoded->spec->each.ram, 64);
  r.status = JobStatus::Cancelled;
  decoded = parseJobRecord(spec.id, encodeJobRecord(r));
  EXPECT_TRUE(decoded && decoded->spec);
  JobRecord done{JobStatus::Done, ShardId{2}, 16, {}, {}};
  decoded = parseJobRecord(spec.id, encodeJobRecord(done));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->status, JobStatus::Done);
  EXPECT_FALSE(decoded->spec);
  EXPECT_FALSE(parseJobRecord(spec.id, R"({"st":0,"sh":1,"n":3})"));
}

TEST(Records, PageIsCompactAndRoundTrips) {
  PlacementPageRecord r;
  auto& placements = r.jobs[JobId{"wk-000412"}];
  for (std::uint32_t i = 0; i < 60; ++i)
    if (i != 30) placements.done.push_back(i);
  placements.placed.push_back({30, Attempt{(std::uint64_t{7} << 24) + 9}, MachineId{"host-000001"}});
  r.jobs[JobId{"wk-000413"}].done = {7};
  auto text = encodePlacementPage(r);
  EXPECT_LT(text.size(), 130U);
  auto decoded = parsePlacementPage(text);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->jobs.at(JobId{"wk-000412"}).done, placements.done);
  ASSERT_EQ(decoded->jobs.at(JobId{"wk-000412"}).placed.size(), 1U);
  EXPECT_EQ(decoded->jobs.at(JobId{"wk-000412"}).placed[0].attempt, placements.placed[0].attempt);
  EXPECT_EQ(decoded->jobs.at(JobId{"wk-000413"}).done, std::vector<std::uint32_t>{7});
}

// A job accepted under a larger value limit must be cancellable after the limit was lowered.
TEST(Records, CancelledJobShrinksToTheLimitAndKeepsItsResources) {
  JobSpec s;
  s.id = JobId{"wk-000412"};
  s.jobClass = std::string(3000, 'c');
  s.team = TeamId{"vision"};
  s.tasks = 4000;
  s.each = {8, 1, 64};
  s.oneZone = true;
  wire::JobRecord cancelled{JobStatus::Cancelled, ShardId{2}, s.tasks, WallTime{1700}, s, {}};
  cancelled.delegations.push_back({ShardId{1}, std::nullopt, {}});
  for (std::uint32_t i = 1; i < s.tasks; i += 2) cancelled.delegations[0].tasks.push_back(i);
  auto value = wire::encodeCancelledJob(cancelled, 2048);
  EXPECT_LE(value.size(), 2048U);
  auto decoded = wire::parseJobRecord(s.id, value);
  ASSERT_TRUE(decoded && decoded->spec);
  EXPECT_EQ(decoded->status, JobStatus::Cancelled);
  EXPECT_EQ(decoded->spec->team, s.team);
  EXPECT_EQ(decoded->spec->each.cores, 8);
  EXPECT_EQ(decoded->spec->each.ram, 64);
  EXPECT_TRUE(decoded->spec->oneZone);
  for (auto i : cancelled.delegations[0].tasks) EXPECT_TRUE(decoded->delegations.at(0).contains(i));
  // A record within the limit is not reduced.
  EXPECT_EQ(wire::encodeCancelledJob(cancelled, 1 << 20), wire::encodeJobRecord(cancelled));
}

TEST(Records, UnknownLayoutsAndMalformedEntriesAreRejected) {
  EXPECT_FALSE(parsePlacementPage(R"({"d":[[0,3]],"p":[]})"));  // layout 1: a part of one job
  EXPECT_FALSE(parsePlacementPage(R"({"v":3,"j":{}})"));
  EXPECT_FALSE(parsePlacementPage(R"({"v":2,"j":{"wk-1":{"p":[[1]]}}})"));
  EXPECT_TRUE(parsePlacementPage(R"({"v":2,"j":{}})"));
  EXPECT_FALSE(parseMachineGroup(R"({"sh":0,"tk":0,"ph":0,"ty":"m","zo":"a","sp":false,"ad":"","at":1})"));
  EXPECT_FALSE(parseMachineGroup(R"({"v":2,"sh":0,"tk":0,"m":[["host-1",9,""]]})"));
}

TEST(Records, SizeEstimatesAreUpperBounds) {
  PlacementPageRecord r;
  std::size_t estimatedBytes = kEmptyPageBytes;
  std::mt19937_64 rng(3);
  for (int j = 0; j < 40; ++j) {
    JobId id{"wk-" + std::to_string(rng() % 100'000'000)};
    estimatedBytes += maxBytesOfJob(id);
    auto& placements = r.jobs[id];
    for (int i = 0; i < 5; ++i) {
      placements.done.push_back(static_cast<std::uint32_t>(rng() % 100'000));
      estimatedBytes += maxBytesOfDoneTask(placements.done.back());
      placements.placed.push_back(
          {static_cast<std::uint32_t>(rng() % 100'000), Attempt{rng()}, MachineId{"host-000001"}});
      estimatedBytes += maxBytesOf(placements.placed.back());
    }
  }
  EXPECT_LE(encodePlacementPage(r).size(), estimatedBytes);
}

TEST(Records, GroupOfMaximalSizeFitsTheValueLimit) {
  for (std::size_t bytes : {1024U, 4096U, 16384U}) {
    MachineGroupRecord group{
        ShardId{31}, Epoch{999'999}, "a-machine-type", Zone{"a-zone-name"}, true, WallTime{1}, {}};
    for (std::size_t i = 0; i < maxGroupMembers(bytes); ++i)
      group.members.push_back({MachineId{"host-000001"}, MachinePhase::Returning, "10.255.255.255:65535"});
    auto text = encodeMachineGroup(group);
    EXPECT_LE(text.size(), bytes);
    auto decoded = parseMachineGroup(text);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(encodeMachineGroup(*decoded), text);
  }
}

TEST(Workers, HeartbeatsWithAMalformedTaskAreRejected) {
  EXPECT_FALSE(parseHeartbeat("{}"));
  std::string head = R"({"host":"h","tenure":1,"serial":2,"epoch":3,"pieces":[)";
  auto r = parseHeartbeat(head + R"({"piece":"wk-1/3","try":2,"status":"ended","exit_cause":"done"}]})");
  ASSERT_TRUE(r);
  EXPECT_EQ(r->tasks[0].task.index, 3U);
  EXPECT_EQ(r->tasks[0].cause, ExitCause::Done);
  EXPECT_FALSE(parseHeartbeat(head + R"({"piece":"wk-1","try":2,"status":"running"}]})"));
  EXPECT_FALSE(parseHeartbeat(head + R"({"piece":"wk-1/1","try":2,"status":"dancing"}]})"));
}

TEST(Mesh, FramesRoundTripAndTruncatedOnesAreRejected) {
  mesh::Frame frame{1, 2, mesh::JobRequest{7, true, "wk-1"}};
  auto bytes = mesh::encode(frame);
  auto decoded = mesh::decode(bytes);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<mesh::JobRequest>(decoded->payload).job, "wk-1");
  for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(mesh::decode(bytes.substr(0, n))) << n;
}
