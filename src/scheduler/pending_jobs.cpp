#include "scheduler/pending_jobs.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr double kFirstStartOverdueSeconds = 90;  // so that no large job starves behind small ones
// Part of the expected run that must fit: owners' estimates are often wrong by half.
constexpr double kLeastRunPart = 0.5;

bool objectiveFeasible(const Job& job, const Settings& settings, double ageSeconds) {
  const auto& spec = *job.spec;
  auto finishWithin = spec.deadlineSeconds ? spec.deadlineSeconds : settings.finishWithin(spec.jobClass);
  return !finishWithin || ageSeconds + kLeastRunPart * spec.expectedRunSeconds <= *finishWithin;
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
    Resources desired;  // by the team's jobs up to this one, oldest first
    for (const auto& [_, job] : jobs) {
      if (!job->open()) continue;
      desired += job->unfinished();
      if (job->waiting.empty() || now < job->notBefore) continue;
      auto key = orderKeyOf(*job, settings, wallTime);
      // Only the owner of a delegated job knows what its team takes in all.
      key.withinGuarantee = team && !job->delegation &&
                            Resources{desired.cores, desired.gpus, 0}.fitsIn({team->cores, team->gpus, 0});
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
