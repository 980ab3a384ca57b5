// What a shard's pages say, as the limits of the state service become smaller.
#include "scheduler/shard_state.h"

#include <gtest/gtest.h>

#include "world/world.h"

namespace cherryloft {
namespace {

constexpr std::uint32_t kTasks = 60;

JobEntry knownJob(const std::string& id) {
  auto spec = std::make_shared<JobSpec>();
  spec->id = JobId{id};
  spec->team = TeamId{"team-0"};
  spec->tasks = kTasks;
  spec->each = {0.1, 0, 0.1};
  JobEntry known;
  known.tasks = kTasks;
  known.spec = std::move(spec);
  return known;
}

// A page written under a larger limit still holds more than fits a value now. Were it written anew, the facts
// that do not fit would be lost, and a new owner would start these tasks a second time.
TEST(ShardState, APageWhoseFactsNoLongerFitStaysAsItIs) {
  world::Deployment d;
  d.valueKb = 1;
  auto settings = parseSettings(d.settingsJson(0), {});
  ShardState state(settings);
  MachineType type{"m", {100, 0, 100}, 50, 1, 1, 0.4, 5, {Zone{"a"}}};
  MachineEntry record;
  record.record.type = "m";
  record.record.zone = Zone{"a"};
  auto& machine = state.addMachine(MachineId{"host-" + std::string(180, '1')}, record, &type, Time{});
  auto& job = state.addJob(JobId{"wk-1"}, knownJob("wk-1"));
  constexpr PageNumber kLarge = 0;
  // Few enough facts for the page to count as half empty, and each of them long.
  std::deque<TaskId> standing;
  for (std::uint32_t i = 0; i < 6; ++i) {
    auto& placement = state.place(job, i, machine, Attempt{UINT64_MAX}, Time{});
    ShardState::commit(placement);
    state.restored({job.id, i}, kLarge);
    standing.push_back({job.id, i});
  }
  // The new fact is short: it would fit beside those that still do.
  auto& other = state.addMachine(MachineId{"host-2"}, record, &type, Time{});
  std::deque<TaskId> unwritten{{job.id, 20}};
  state.place(job, 20, other, Attempt{1}, Time{});
  std::set<PageNumber> taken;
  std::optional<PageUpdate> draft;
  while (!draft && !unwritten.empty()) draft = state.composePage(unwritten, taken);
  ASSERT_TRUE(draft);
  EXPECT_NE(draft->number, kLarge);
  EXPECT_EQ(draft->record.jobs.at(job.id).placed.size(), 1U);
  for (const auto& task : standing) EXPECT_EQ(job.tasks[task.index].page, kLarge);
}

}  // namespace
}  // namespace cherryloft
