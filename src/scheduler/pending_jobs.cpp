#include "scheduler/pending_jobs.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr double kFirstStartOverdueSeconds = 90;  // keeps large jobs from starving behind small ones
// Fraction of the expected run time that must fit: users' estimates are often wrong by half.
constexpr double kMinRunFraction = 0.5;

bool objectiveFeasible(const Job& job, const Settings& settings, double ageSeconds) {
  const auto& spec = *job.spec;
  auto finishWithin = spec.deadlineSeconds ? spec.deadlineSeconds : settings.finishWithin(spec.jobClass);
  return !finishWithin || ageSeconds + kMinRunFraction * spec.expectedRunSeconds <= *finishWithin;
}

policy::PlacementOrderKey orderKeyOf(const Job& job, const Settings& settings, WallTime wallTime) {
  const auto& spec = *job.spec;
  policy::PlacementOrderKey key;
  key.priority = spec.priority;
  key.ageSeconds = static_cast<double>(wallTime.value - job.submitted.value) / 1000.0;
  if (spec.deadlineSeconds)
    key.slackSeconds = *spec.deadlineSeconds - key.ageSeconds - spec.expectedRunSeconds;
  key.remainingCoreSeconds = job.unfinished().cores * spec.expectedRunSeconds;
  key.objectiveFeasible = objectiveFeasible(job, settings, key.ageSeconds);
  key.firstStartOverdue = !job.started && key.ageSeconds > kFirstStartOverdueSeconds;
  return key;
}

}  // namespace

std::vector<PendingJob> collectPendingJobs(const ShardState& state, const Settings& settings, Time now,
                                           WallTime wallTime) {
  std::vector<PendingJob> pending;
  for (const auto& [teamId, jobs] : state.teams()) {
    const Team* team = settings.team(teamId);
    Resources requested;  // by the team's jobs up to this one, oldest first
    for (const auto& [_, job] : jobs) {
      if (!job->open()) continue;
      requested += job->unfinished();
      if (job->waiting.empty() || now < job->notBefore) continue;
      auto key = orderKeyOf(*job, settings, wallTime);
      // Only the owner of a delegated job knows its team's total usage.
      key.withinGuarantee =
          team && !job->delegation &&
          Resources{requested.cores, requested.gpus, 0}.fitsIn({team->cores, team->gpus, 0});
      pending.push_back({job, key});
    }
  }
  return pending;
}

std::vector<PendingJob>::iterator firstInOrder(std::vector<PendingJob>& pending) {
  return std::min_element(pending.begin(), pending.end(),
                          [](const PendingJob& left, const PendingJob& right) {
                            return policy::precedes(left.orderKey, right.orderKey);
                          });
}

}  // namespace cherryloft
