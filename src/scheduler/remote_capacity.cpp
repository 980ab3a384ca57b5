// What a shard does when its own machines have no capacity for its jobs: it looks for some on the machines of
// other shards, and it offers its own to other shards.
//
// The owner of a job that has waited long in vain asks the owners of all other shards for capacity. A job of
// which nothing has begun then migrates whole to the best offer (JobMigration); of the others some tasks are
// delegated (task_delegation_owner.cpp).
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// A job asks other shards after so long without a start: long enough for a machine of its own to boot.
constexpr Duration kRequestAfter{30'000};
// Jobs that capacity is asked for at a time; each is looked up by all other owners.
constexpr std::size_t kMaxRequested = 8;
// Jobs that are examined for it: under overload all wait.
constexpr std::size_t kMaxExamined = 64;

}  // namespace

// --- which jobs need capacity elsewhere ---

// It has been open, with tasks to place, for kRequestAfter without a start.
bool ShardScheduler::hasWaitedLong(const Job& job, Time now) const {
  return job.open() && !job.waiting.empty() && !job.delegation && !job.recalling && now >= job.notBefore &&
         now - std::max(job.since, job.placedLast) >= kRequestAfter;
}

// Its team is within its quota, and no machine of ours could take a task of it, or all of a gang.
bool ShardScheduler::isUnschedulable(const Job& job) const {
  if (!state_.withinLimit(job)) return false;
  if (job.isGang()) return job.placed == 0 && capacityForJob(job) < job.waiting.size();
  return !constraints_.hasCapacity(job);
}

// The oldest jobs that have waited long in vain, at most kMaxRequested. Those to migrate have nothing begun;
// those to delegate tasks of have some tasks begun, or must be placed whole.
std::vector<Job*> ShardScheduler::oldestUnschedulableJobs(RemotePlacement purpose, Time now) {
  std::vector<Job*> waiting;
  for (auto& [_, job] : state_.jobs()) {
    if (!hasWaitedLong(job, now)) continue;
    bool begun = job.placed > 0 || job.done > 0 || job.remote > 0;
    bool suits = purpose == RemotePlacement::Migration ? !begun : begun || job.isGang();
    if (suits) waiting.push_back(&job);
  }
  auto examined = std::min(waiting.size(), kMaxExamined);
  std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(examined), waiting.end(),
                    [](const Job* first, const Job* second) {
                      return std::tie(first->submitted, first->id) < std::tie(second->submitted, second->id);
                    });
  waiting.resize(examined);
  std::vector<Job*> oldest;
  for (Job* job : waiting)
    if (oldest.size() < kMaxRequested && isUnschedulable(*job)) oldest.push_back(job);
  return oldest;
}

// Its migration is about to be written, or on its way: no transaction writes a job's record twice.
bool ShardScheduler::isMigrationPlanned(const JobId& id) const {
  return jobMigration_.isPlannedOrRemote(id) || (commitInFlight_ && commitInFlight_->migrates(id));
}

// Plans the migration of jobs that offers came for, and asks for capacity for the others.
void ShardScheduler::reviewMigrations(Time now) {
  if (now - migrationsReviewed_ < kCapacityReviewInterval) return;
  migrationsReviewed_ = now;
  if (jobMigration_.releaseEnded(now) > 0) requestRound(true);
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

// False if no shard offers capacity for it, or its team's quota allows for none of it.
bool ShardScheduler::planMigration(const Job& job) {
  auto offer = jobOffers_.best(job.id);
  if (!offer) return false;
  auto maxConcurrent = maxConcurrentRemoteTasks(job);
  if (!maxConcurrent) return false;
  jobMigration_.plan(job, offer->shard, *maxConcurrent);
  jobOffers_.remove(job.id);
  requestRound(false);
  return true;
}

// How many more of its tasks its team's quota allows for.
std::uint32_t ShardScheduler::tasksWithinQuota(const Job& job) const {
  const auto& spec = *job.spec;
  if (job.maxConcurrent) return *job.maxConcurrent - std::min(*job.maxConcurrent, job.placed + job.remote);
  if (!job.team) return 0;
  auto use = state_.teamUse(spec.team);
  auto tasksIn = [&](double unused, double each) {
    return each > 0 ? std::floor((unused + kResourceTolerance) / each) : static_cast<double>(spec.tasks);
  };
  double tasks = std::min(tasksIn(job.team->coreQuota - use.cores, spec.each.cores),
                          tasksIn(job.team->gpuQuota - use.gpus, spec.each.gpus));
  return static_cast<std::uint32_t>(std::clamp(tasks, 0.0, static_cast<double>(spec.tasks)));
}

// How many of its tasks may be elsewhere at a time, if the team's quota allows for any: all that it allows
// for, as more capacity may come free there. Replicas and members of a gang are all to run together.
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

// --- the shard that has free capacity ---

bool ShardScheduler::mayOfferCapacity(Time lastOffer) const {
  return loaded_ && owns() && !transferringTo_ && !ownershipTransferSent_ &&
         runtime_.now() - lastOffer >= kCapacityOfferInterval;
}

// The job's entry if it is open and that shard owns it, as far as the cluster view shows; else null.
const JobEntry* ShardScheduler::findOpenJob(ShardId shard, const JobId& id) const {
  auto found = view_.jobs.find(id);
  if (found == view_.jobs.end()) return nullptr;
  const auto& job = found->second;
  return job.shard == shard && job.spec && job.status == JobStatus::Open ? &job : nullptr;
}

// Offers capacity for the first of the jobs that there is some for.
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

// How many of the job's tasks our machines have free capacity for now, by zone, with up to sampleSize
// machines looked at in each pool.
std::map<Zone, std::uint32_t> ShardScheduler::capacityByZone(const Job& job) const {
  const auto& spec = *job.spec;
  std::map<Zone, std::uint32_t> capacity;
  for (const auto& pool : state_.pools()) {
    if (!constraints_.allowsPool(job, pool)) continue;
    auto& inZone = capacity[pool.zone];
    auto candidate = pool.withFreeCores(spec.each.cores);
    for (unsigned looked = 0; candidate != pool.byFreeCores.end() && looked < settings_.tuning.sampleSize;
         ++candidate, ++looked) {
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

// The same in all zones together, or in the best one for a job that must be in one.
std::uint32_t ShardScheduler::capacityForJob(const Job& job) const {
  std::uint32_t inAll = 0;
  std::uint32_t inBest = 0;
  for (const auto& [_, tasks] : capacityByZone(job)) {
    inAll += tasks;
    inBest = std::max(inBest, tasks);
  }
  return std::min(job.spec->oneZone ? inBest : inAll, job.spec->tasks);
}

}  // namespace cherryloft
