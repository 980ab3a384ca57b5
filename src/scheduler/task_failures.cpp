// Tasks that ended, and what failed ones say of their machine and of their job.
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {
using wire::ExitCause;
using wire::TaskPhase;

constexpr Duration kReviewFailuresEvery{1'000};
// Before a job is tried again whose task its machine refused ...
constexpr Duration kRetryAfterRefusal{500};
// ... or whose task ended for no known cause.
constexpr Duration kRetryAfterUnknownEnd{1'000};
}  // namespace

void ShardScheduler::taskEnded(Machine& machine, const wire::ReportedTask& reported) {
  if (reported.cause == ExitCause::Done)
    taskSucceeded(machine, reported.task);
  else
    taskFailed(machine, reported);
}

void ShardScheduler::taskSucceeded(Machine& machine, const TaskId& task) {
  auto now = runtime_.now();
  Job& job = *machine.placements.at(task).job;
  state_.cached(machine, job.spec->image, job.spec->imageGb);
  state_.taskDone(machine, task, now);
  loadReporter_.recordCompletedWork(now, job.spec->each.cores, job.spec->spotAllowed);
  failures_.completed(job.id, machine.id, now);
  quarantineFaulty(job.id);
  if (job.status == JobStatus::Open) {
    unwrittenTasks_.push_back(task);
    completeGangIfDone(job);
    endIfFinished(job);
  }
  cleanUp(job);
}

void ShardScheduler::taskFailed(Machine& machine, const wire::ReportedTask& reported) {
  auto now = runtime_.now();
  const auto& placement = machine.placements.at(reported.task);
  Job& job = *placement.job;
  bool ran = placement.shown && placement.phase == TaskPhase::Running;
  auto ranFor = ran ? now - placement.runningSince : Duration{};
  state_.markGone(machine, reported.task, now);
  log_->debug("task ended without success task={} machine={} cause={}", wire::encodeTask(reported.task),
              machine.id.value, static_cast<int>(reported.cause));
  switch (reported.cause) {
    case ExitCause::Error:
      if (auto wait = failures_.failed(reported.task, machine.id, ranFor, state_.machines().size(), now))
        job.notBefore = now + *wait;
      quarantineFaulty(job.id);
      break;
    case ExitCause::NoRoom:
    case ExitCause::Busy:
      job.notBefore = now + kRetryAfterRefusal;
      break;
    case ExitCause::Unknown:
      job.notBefore = now + kRetryAfterUnknownEnd;
      break;
    default:
      break;
  }
  completeGangIfDone(job);
  endIfFinished(job);
  handleGangMemberLost(job);
  cleanUp(job);
}

// Machines whose failures of the job, beside its success elsewhere, show that the fault is theirs.
void ShardScheduler::quarantineFaulty(const JobId& job) {
  for (const auto& id : failures_.faulty(job, runtime_.now())) {
    Machine* machine = state_.machine(id);
    if (!machine || machine->decommissioning) continue;
    log_->info("machine quarantined: fails jobs that work elsewhere machine={}", id.value);
    decommission(*machine, kMoveToCloud);
    ++latencies_.counts.quarantined;
  }
}

// A task that has run on for longer than another of its job lasted before it failed shows that the job works.
void ShardScheduler::reviewFailures(Time now) {
  if (now - failuresReviewed_ < kReviewFailuresEvery) return;
  failuresReviewed_ = now;
  for (const auto& id : failures_.undecided()) {
    const Job* job = state_.job(id);
    if (!job) continue;
    const Machine* machine = machineWhereJobWorks(*job, now);
    if (!machine) continue;
    failures_.keptRunning(id, machine->id, now);
    quarantineFaulty(id);
    requestRound(true);
  }
}

// One that has kept a task of the job running for long enough, and was heard of late.
const Machine* ShardScheduler::machineWhereJobWorks(const Job& job, Time now) const {
  auto longEnough = failures_.contrastAfter(job.id);
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    const Machine* machine = job.tasks[index].machine;
    if (!machine) continue;
    const auto& placement = machine->placements.at({job.id, index});
    bool running = placement.shown && placement.phase == TaskPhase::Running;
    if (!running || now - placement.runningSince < longEnough) continue;
    if (timeSinceHeartbeat(*machine) <= reportDue()) return machine;
  }
  return nullptr;
}

}  // namespace cherryloft
