// Exchange of capacity between shards: requests capacity from other shards for jobs that don't fit on this
// shard's machines, and offers this shard's free capacity to others.
//
// When a job has waited too long without being placed, its owner requests capacity from the owners of all
// other shards. A job of which no task was placed yet migrates as a whole to the shard with the best offer
// (JobMigration); of other jobs some tasks are delegated (task_delegation_owner.cpp).
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// Capacity is requested for a job after this time without a placement: long enough for a machine of this
// shard to boot.
constexpr Duration kRequestCapacityAfter{30'000};
// Maximum number of jobs per request; all other owners look up each of them.
constexpr std::size_t kMaxRequestedJobs = 8;
// Maximum number of jobs examined for a request: under overload, all jobs are waiting.
constexpr std::size_t kMaxExaminedJobs = 64;

}  // namespace

// --- jobs that need capacity of other shards ---

// Whether the job has had tasks to place for kRequestCapacityAfter and none was placed in that time.
bool ShardScheduler::hasWaitedLong(const Job& job, Time now) const {
  return job.open() && !job.waiting.empty() && !job.delegation && !job.recalling && now >= job.notBefore &&
         now - std::max(job.since, job.lastPlacedAt) >= kRequestCapacityAfter;
}

// Whether the team is within its quota, but no machine of this shard can run a task of the job, or, if it is
// a gang, the machines can't run all of its tasks.
bool ShardScheduler::isUnschedulable(const Job& job) const {
  if (!state_.withinLimit(job)) return false;
  if (job.isGang()) return job.placed == 0 && capacityForJob(job) < job.waiting.size();
  return !constraints_.hasCapacity(job);
}

// Returns the oldest jobs that have waited too long and are unschedulable, at most kMaxRequestedJobs.
// Candidates for migration have no task placed, delegated or done; candidates for delegation have some, or
// are gangs.
std::vector<Job*> ShardScheduler::oldestUnschedulableJobs(RemotePlacement purpose, Time now) {
  std::vector<Job*> waiting;
  for (auto& [_, job] : state_.jobs()) {
    if (!hasWaitedLong(job, now)) continue;
    bool started = job.placed > 0 || job.done > 0 || job.remote > 0;
    bool eligible = purpose == RemotePlacement::Migration ? !started : started || job.isGang();
    if (eligible) waiting.push_back(&job);
  }
  auto examined = std::min(waiting.size(), kMaxExaminedJobs);
  std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(examined), waiting.end(),
                    [](const Job* first, const Job* second) {
                      return std::tie(first->submitted, first->id) < std::tie(second->submitted, second->id);
                    });
  waiting.resize(examined);
  std::vector<Job*> oldest;
  for (Job* job : waiting)
    if (oldest.size() < kMaxRequestedJobs && isUnschedulable(*job)) oldest.push_back(job);
  return oldest;
}

// Whether a migration of the job is planned or in flight; a transaction must not write a job's record twice.
bool ShardScheduler::isMigrationPlanned(const JobId& id) const {
  return jobMigration_.isPlannedOrRemote(id) || (commitInFlight_ && commitInFlight_->migrates(id));
}

// Plans the migration of jobs for which offers arrived, and requests capacity for the others.
void ShardScheduler::reviewMigrations(Time now) {
  if (now - migrationsReviewed_ < kCapacityReviewInterval) return;
  migrationsReviewed_ = now;
  if (jobMigration_.releaseEnded(now) > 0) requestPlacementRound(true);
  jobOffers_.dropExpired(now);
  if (transferringTo_ || ownershipTransferSent_) return;
  mesh::CapacityRequest request;
  request.shard = takeover_.shard.value;
  for (const Job* job : oldestUnschedulableJobs(RemotePlacement::Migration, now)) {
    if (isMigrationPlanned(job->id)) continue;
    if (!planMigration(*job)) request.jobs.push_back(job->id.value);
  }
  if (!request.jobs.empty()) callbacks_.requestCapacity(request);
}

// Returns false if no shard offers capacity for the job or the team's quota does not allow the migration.
bool ShardScheduler::planMigration(const Job& job) {
  auto offer = jobOffers_.best(job.id);
  if (!offer) return false;
  auto maxConcurrent = maxConcurrentRemoteTasks(job);
  if (!maxConcurrent) return false;
  jobMigration_.plan(job, offer->shard, *maxConcurrent);
  jobOffers_.remove(job.id);
  requestPlacementRound(false);
  return true;
}

// How many more tasks of the job the team's quota allows.
std::uint32_t ShardScheduler::tasksWithinQuota(const Job& job) const {
  const auto& spec = *job.spec;
  if (job.maxConcurrent) return *job.maxConcurrent - std::min(*job.maxConcurrent, job.placed + job.remote);
  if (!job.team) return 0;
  auto usage = state_.teamUsage(spec.team);
  Resources unused{job.team->coreQuota - usage.cores, job.team->gpuQuota - usage.gpus, 0};
  return std::min(spec.tasks, tasksThatFit({spec.each.cores, spec.each.gpus, 0}, unused));
}

// How many tasks of the job another shard may run concurrently; nothing if the team's quota allows none. It
// is the most that the quota allows rather than the size of the offer, because more capacity may become
// available there. Replicas of a service and members of a gang must all run at the same time.
std::optional<std::uint32_t> ShardScheduler::maxConcurrentRemoteTasks(const Job& job) const {
  if (job.maxConcurrent) return job.maxConcurrent;
  auto tasks = tasksWithinQuota(job);
  if (tasks == 0 || (tasks < job.spec->tasks && job.spec->kind != JobKind::Array)) return std::nullopt;
  return tasks;
}

void ShardScheduler::handleCapacityOffer(const mesh::CapacityOffer& offer) {
  JobId id{offer.job};
  if (!loaded_ || !owns() || !state_.job(id)) return;
  jobOffers_.add(id, {ShardId{offer.shard}, offer.tasks, runtime_.now()});
}

// --- offers of this shard's free capacity ---

bool ShardScheduler::mayOfferCapacity(Time lastOffer) const {
  return loaded_ && owns() && !transferringTo_ && !ownershipTransferSent_ &&
         runtime_.now() - lastOffer >= kCapacityOfferInterval;
}

// Returns the job's entry if, according to the cluster view, the job is open and that shard owns it, else
// null.
const JobEntry* ShardScheduler::findOpenJob(ShardId shard, const JobId& id) const {
  auto found = view_.jobs.find(id);
  if (found == view_.jobs.end()) return nullptr;
  const auto& job = found->second;
  return job.shard == shard && job.spec && job.status == JobStatus::Open ? &job : nullptr;
}

// Offers capacity for the first requested job for which this shard has any.
void ShardScheduler::handleCapacityRequest(const mesh::CapacityRequest& request) {
  if (!mayOfferCapacity(capacityOfferedAt_)) return;
  for (const auto& name : request.jobs) {
    const auto* entry = findOpenJob(ShardId{request.shard}, JobId{name});
    if (!entry) continue;
    Job probe;
    probe.id = JobId{name};
    probe.spec = entry->spec;
    auto tasks = capacityForJob(probe);
    if (tasks == 0 || (probe.isGang() && tasks < probe.spec->tasks)) continue;
    capacityOfferedAt_ = runtime_.now();
    callbacks_.offerCapacity({takeover_.shard.value, request.shard, name, tasks});
    return;
  }
}

// Returns the number of the job's tasks that fit on this shard's machines now, by zone. Examines up to
// sampleSize machines per pool.
std::map<Zone, std::uint32_t> ShardScheduler::capacityByZone(const Job& job) const {
  const auto& spec = *job.spec;
  std::map<Zone, std::uint32_t> capacity;
  for (const auto& pool : state_.pools()) {
    if (!constraints_.allowsPool(job, pool)) continue;
    auto& inZone = capacity[pool.zone];
    auto candidate = pool.withFreeCores(spec.each.cores);
    for (unsigned examined = 0; candidate != pool.byFreeCores.end() && examined < settings_.tuning.sampleSize;
         ++candidate, ++examined) {
      const Machine& machine = *candidate->second;
      if (!constraints_.allowsMachine(job, machine)) continue;
      auto free = machine.free();
      for (; spec.each.fitsIn(free) && inZone < spec.tasks && constraints_.allowsZone(job, pool.zone, inZone);
           ++inZone)
        free -= spec.each;
    }
  }
  return capacity;
}

// Returns the number of the job's tasks that fit now: in all zones together, or in the best zone if the job
// is restricted to one.
std::uint32_t ShardScheduler::capacityForJob(const Job& job) const {
  std::uint32_t inAllZones = 0;
  std::uint32_t inBestZone = 0;
  for (const auto& [_, tasks] : capacityByZone(job)) {
    inAllZones += tasks;
    inBestZone = std::max(inBestZone, tasks);
  }
  return std::min(job.spec->oneZone ? inBestZone : inAllZones, job.spec->tasks);
}

}  // namespace cherryloft
