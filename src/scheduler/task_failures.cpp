// Tasks that ended, and what failed ones say of their machine and of their job.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {
using wire::ExitCause;
using wire::TaskPhase;

constexpr Duration kReviewFailuresEvery{1'000};
}  // namespace

void ShardScheduler::taskEnded(Machine& h, const wire::ReportedTask& t) {
  auto now = runtime_.now();
  Job& job = *h.placements.at(t.task).job;
  if (t.cause == ExitCause::Done) {
    state_.cached(h, job.spec->image, job.spec->imageGb);
    state_.taskDone(h, t.task, now);
    departures_.push_back({now, job.spec->each.cores, job.spec->spotAllowed});
    failures_.completed(job.id, h.id, now);
    quarantineFaulty(job.id);
    if (job.status == JobStatus::Open) {
      unwrittenTasks_.push_back(t.task);
      completeGangIfDone(job);
      endIfFinished(job);
    }
    cleanUp(job);
    return;
  }
  const auto& placement = h.placements.at(t.task);
  bool ran = placement.shown && placement.phase == TaskPhase::Running;
  auto ranFor = ran ? now - placement.runningSince : Duration{};
  state_.markGone(h, t.task, now);
  log_->debug("{} on {} ended: {}", wire::encodeTask(t.task), h.id.value, static_cast<int>(t.cause));
  switch (t.cause) {
    case ExitCause::Error:
      if (auto wait = failures_.failed(t.task, h.id, ranFor, state_.machines().size(), now))
        job.notBefore = now + *wait;
      quarantineFaulty(job.id);
      break;
    case ExitCause::NoRoom:
    case ExitCause::Busy:
      job.notBefore = now + Duration{500};
      break;
    case ExitCause::Unknown:
      job.notBefore = now + Duration{1'000};
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
    Machine* h = state_.machine(id);
    if (!h || h->decommissioning) continue;
    log_->info("{} fails jobs that work elsewhere and is given up", id.value);
    h->decommissioning = true;
    h->moveTarget = -1;
    state_.reindex(*h);
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
    auto enough = failures_.contrastAfter(id);
    for (std::uint32_t i = 0; i < job->tasks.size(); ++i) {
      const Machine* h = job->tasks[i].machine;
      if (!h) continue;
      const auto& p = h->placements.at({id, i});
      bool placementPages = p.shown && p.phase == TaskPhase::Running && now - p.runningSince >= enough;
      if (!placementPages || timeSinceHeartbeat(*h) > reportDue()) continue;
      failures_.keptRunning(id, h->id, now);
      quarantineFaulty(id);
      requestRound(true);
      break;
    }
  }
}

}  // namespace cherryloft
