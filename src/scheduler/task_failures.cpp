// Handling of task exits, and attribution of task failures to machines or jobs.
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {
using wire::ExitCause;
using wire::TaskPhase;

constexpr Duration kFailureReviewInterval{1'000};
// Delay before the next attempt of a job after a machine refused a task of it.
constexpr Duration kRetryDelayAfterRefusal{500};
// The same after a task of it exited for an unknown cause.
constexpr Duration kRetryDelayAfterUnknownExit{1'000};
}  // namespace

void ShardScheduler::handleTaskExit(Machine& machine, const wire::ReportedTask& reported) {
  if (reported.cause == ExitCause::Done)
    handleTaskSuccess(machine, reported.task);
  else
    handleTaskFailure(machine, reported);
}

void ShardScheduler::handleTaskSuccess(Machine& machine, const TaskId& task) {
  auto now = runtime_.now();
  Job& job = *machine.placements.at(task).job;
  state_.recordImageUse(machine, job.spec->image, job.spec->imageGb);
  state_.markTaskDone(machine, task, now);
  loadReporter_.recordCompletedWork(now, job.spec->each.cores, job.spec->spotAllowed);
  failures_.recordCompletion(job.id, machine.id, now);
  quarantineFaultyMachines(job.id);
  if (job.status == JobStatus::Open) {
    unwrittenTasks_.push_back(task);
    completeGangIfDone(job);
    queueJobEndIfFinished(job);
  }
  removeJobIfEnded(job);
}

void ShardScheduler::handleTaskFailure(Machine& machine, const wire::ReportedTask& reported) {
  auto now = runtime_.now();
  const auto& placement = machine.placements.at(reported.task);
  Job& job = *placement.job;
  bool ran = placement.observed && placement.phase == TaskPhase::Running;
  auto ranFor = ran ? now - placement.runningSince : Duration{};
  state_.requeueLostTask(machine, reported.task, now);
  log_->debug("task ended without success: task={} machine={} cause={}", wire::encodeTask(reported.task),
              machine.id.value, static_cast<int>(reported.cause));
  switch (reported.cause) {
    case ExitCause::Error:
      if (auto backoff =
              failures_.recordFailure(reported.task, machine.id, ranFor, state_.machines().size(), now))
        job.notBefore = now + *backoff;
      quarantineFaultyMachines(job.id);
      break;
    case ExitCause::NoRoom:
    case ExitCause::Busy:
      job.notBefore = now + kRetryDelayAfterRefusal;
      break;
    case ExitCause::Unknown:
      job.notBefore = now + kRetryDelayAfterUnknownExit;
      break;
    default:
      break;
  }
  completeGangIfDone(job);
  queueJobEndIfFinished(job);
  handleGangMemberLost(job);
  removeJobIfEnded(job);
}

// Decommissions the machines to which failures of the job and of other jobs are attributed.
void ShardScheduler::quarantineFaultyMachines(const JobId& job) {
  for (const auto& id : failures_.faultyMachines(job, runtime_.now())) {
    Machine* machine = state_.machine(id);
    if (!machine || machine->decommissioning) continue;
    log_->info("machine quarantined: fails jobs that succeed elsewhere machine={}", id.value);
    decommission(*machine, kMoveToCloud);
    ++latencies_.counts.quarantined;
  }
}

// Checks each job with unattributed failures for a task that has kept running for well longer than the failed
// ones, which counts as a success of the job.
void ShardScheduler::reviewFailures(Time now) {
  if (now - failuresReviewed_ < kFailureReviewInterval) return;
  failuresReviewed_ = now;
  for (const auto& id : failures_.unattributedJobs()) {
    const Job* job = state_.job(id);
    if (!job) continue;
    const Machine* machine = findMachineRunningJob(*job, now);
    if (!machine) continue;
    failures_.recordSustainedRun(id, machine->id, now);
    quarantineFaultyMachines(id);
    requestPlacementRound(true);
  }
}

// A machine that has kept a task of the job running for long enough and whose heartbeat is not overdue.
const Machine* ShardScheduler::findMachineRunningJob(const Job& job, Time now) const {
  auto threshold = failures_.sustainedRunThreshold(job.id);
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    const Machine* machine = job.tasks[index].machine;
    if (!machine) continue;
    const auto& placement = machine->placements.at({job.id, index});
    bool running = placement.observed && placement.phase == TaskPhase::Running;
    if (!running || now - placement.runningSince < threshold) continue;
    if (timeSinceHeartbeat(*machine) <= heartbeatDueAfter()) return machine;
  }
  return nullptr;
}

}  // namespace cherryloft
