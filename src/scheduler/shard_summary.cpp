#include "scheduler/shard_summary.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

namespace cherryloft {
namespace {

// Machines that accept no new work, counted under the first reason that applies.
struct ClosedMachines {
  std::size_t decommissioning = 0;  // being returned, reclaimed or moved to another shard
  std::size_t draining = 0;
  std::size_t booting = 0;
  std::size_t silent = 0;  // no heartbeat to this owner yet, or no recent one
  std::size_t suspected = 0;

  void add(const Machine& machine) {
    const auto& record = machine.known.record;
    if (machine.decommissioning || machine.reclaimAt || record.phase != wire::MachinePhase::InUse)
      ++decommissioning;
    else if (machine.draining)
      ++draining;
    else if (!machine.registered && record.address.empty())
      ++booting;
    else if (!machine.registered || machine.cordoned)
      ++silent;
    else
      ++suspected;
  }
};

}  // namespace

std::string summarizeShard(ShardId shard, const ShardState& state,
                           const CapacityDemand::ExcludedJobs& excludedJobs, StartLatencies& latencies) {
  std::size_t openJobs = 0;
  std::size_t waitingTasks = 0;
  for (const auto& [_, job] : state.jobs()) {
    if (job.open()) ++openJobs;
    waitingTasks += job.waiting.size();
  }
  ClosedMachines closed;
  for (const auto& [_, machine] : state.machines())
    if (!machine.open()) closed.add(machine);
  auto stateFields = fmt::format(
      "shard summary shard={} open_jobs={} tasks_waiting={} jobs_unsuitable={} jobs_over_quota={} "
      "jobs_in_backoff={} machines={} open={} booting={} silent={} "
      "suspected={} draining={} "
      "decommissioning={} pages={}",
      shard.value, openJobs, waitingTasks, excludedJobs.unsuitable, excludedJobs.overQuota,
      excludedJobs.inBackoff, state.machines().size(), state.openMachines().size(), closed.booting,
      closed.silent, closed.suspected, closed.draining, closed.decommissioning, state.pages().count());
  auto activity = latencies.takeRoundCounters();
  return fmt::format("{} starts={} rounds={} widest_round={} machines_examined={} preempted={} {} {} {}",
                     stateFields, activity.starts, activity.rounds, activity.maxPlacementsPerRound,
                     activity.machinesExamined, activity.evictedTasks,
                     latencies.arrivalToPlaced.summarizeAndReset("arrival_to_placed"),
                     latencies.placedToCommitted.summarizeAndReset("placed_to_committed"),
                     latencies.placedToShown.summarizeAndReset("placed_to_shown"));
}

}  // namespace cherryloft
