#include "scheduler/shard_summary.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

namespace cherryloft {
namespace {

// Machines that take no work, by the first reason that holds.
struct ClosedMachines {
  std::size_t decommissioning = 0;  // on their way to the cloud or to another shard
  std::size_t draining = 0;
  std::size_t booting = 0;
  std::size_t silent = 0;  // no heartbeat yet under this owner, or none of late
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

std::string summarizeShard(ShardId shard, const ShardState& state, StartLatencies& latencies) {
  std::size_t openJobs = 0;
  std::size_t waitingTasks = 0;
  for (const auto& [_, job] : state.jobs()) {
    if (job.open()) ++openJobs;
    waitingTasks += job.waiting.size();
  }
  ClosedMachines closed;
  for (const auto& [_, machine] : state.machines())
    if (!machine.open()) closed.add(machine);
  auto work = fmt::format(
      "shard summary shard={} open_jobs={} tasks_waiting={} machines={} open={} booting={} silent={} "
      "suspected={} draining={} "
      "decommissioning={} pages={}",
      shard.value, openJobs, waitingTasks, state.machines().size(), state.openMachines().size(),
      closed.booting, closed.silent, closed.suspected, closed.draining, closed.decommissioning,
      state.pages().count());
  auto minute = latencies.takeRoundCounters();
  return fmt::format("{} starts={} rounds={} widest_round={} machines_examined={} preempted={} {} {} {}",
                     work, minute.starts, minute.rounds, minute.maxPlacementsPerRound,
                     minute.machinesExamined, minute.evictedTasks,
                     latencies.arrivalToPlaced.take("arrival_to_placed"),
                     latencies.placedToCommitted.take("placed_to_committed"),
                     latencies.placedToShown.take("placed_to_shown"));
}

}  // namespace cherryloft
