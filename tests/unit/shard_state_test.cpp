// Composition of placement pages after the size limit of the state service is lowered.
#include "scheduler/shard_state.h"

#include <gtest/gtest.h>

#include "world/world.h"

namespace cherryloft {
namespace {

constexpr std::uint32_t kTasks = 60;

JobEntry jobEntry(const std::string& id) {
  auto spec = std::make_shared<JobSpec>();
  spec->id = JobId{id};
  spec->team = TeamId{"team-0"};
  spec->tasks = kTasks;
  spec->each = {0.1, 0, 0.1};
  JobEntry entry;
  entry.tasks = kTasks;
  entry.spec = std::move(spec);
  return entry;
}

// A page written under a larger size limit may hold more than fits a value now. Rewriting it would drop the
// entries that do not fit, and the next owner would start those tasks a second time.
TEST(ShardState, APageWhoseEntriesNoLongerFitIsNotRewritten) {
  world::Deployment d;
  d.valueKb = 1;
  auto settings = parseSettings(d.settingsJson(0), {});
  ShardState state(settings);
  MachineType type{"m", {100, 0, 100}, 50, 1, 1, 0.4, 5, {Zone{"a"}}};
  MachineEntry machineEntry;
  machineEntry.record.type = "m";
  machineEntry.record.zone = Zone{"a"};
  auto& machine = state.addMachine(MachineId{"host-" + std::string(180, '1')}, machineEntry, &type, Time{});
  auto& job = state.addJob(JobId{"wk-1"}, jobEntry("wk-1"));
  constexpr PageNumber kOversizedPage = 0;
  // Few enough entries for the page to qualify for a rewrite, but each of them is long.
  std::deque<TaskId> storedTasks;
  for (std::uint32_t i = 0; i < 6; ++i) {
    auto& placement = state.place(job, i, machine, Attempt{UINT64_MAX}, Time{});
    ShardState::commit(placement);
    state.attachToPage({job.id, i}, kOversizedPage);
    storedTasks.push_back({job.id, i});
  }
  // The new entry is short: it would fit next to those that still fit.
  auto& other = state.addMachine(MachineId{"host-2"}, machineEntry, &type, Time{});
  std::deque<TaskId> unwritten{{job.id, 20}};
  state.place(job, 20, other, Attempt{1}, Time{});
  std::set<PageNumber> taken;
  std::optional<PageUpdate> update;
  while (!update && !unwritten.empty()) update = state.composePage(unwritten, taken);
  ASSERT_TRUE(update);
  EXPECT_NE(update->number, kOversizedPage);
  EXPECT_EQ(update->record.jobs.at(job.id).placed.size(), 1U);
  for (const auto& task : storedTasks) EXPECT_EQ(job.tasks[task.index].page, kOversizedPage);
}

}  // namespace
}  // namespace cherryloft
