// Jobs that wait while only another shard's machines have room: they are migrated to that shard (invariant
// 17).
//
// The owner asks the other owners for room, takes the best offer, and writes the job's record anew with the
// other shard. Nothing of the job is on any machine then. The team's own shard keeps the team's limit: it
// counts as in use what the job may take at once, from before that write until the job is over and nothing of
// it can be left.
#include <algorithm>
#include <cmath>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

constexpr Duration kRequestAfter{30'000};  // without a start; long enough for a machine to boot
constexpr Duration kReviewEvery{1'000};
constexpr std::size_t kMaxRequested = 8;  // jobs that room is looked for at a time
constexpr std::size_t kMaxExamined = 64;  // jobs that may be among them
constexpr Duration kOfferLifetime{3'000};
constexpr Duration kOfferInterval{1'000};  // so that one room is not offered to many
constexpr Duration kBeyondCancel{
    2'000};  // after cancel_s nothing of an cancelled job is left, whoever runs it

}  // namespace

bool ShardScheduler::waitsLong(const Job& job, Time now) const {
  return job.open() && !job.waiting.empty() && !job.delegation && !job.recalling && now >= job.notBefore &&
         now - std::max(job.since, job.placedLast) >= kRequestAfter;
}

// Its team is under its limit, and no machine of ours could take a task of it, or all of a gang.
bool ShardScheduler::unplaceable(const Job& job) const {
  if (!state_.withinLimit(job)) return false;
  if (job.spec->kind == JobKind::Gang) return job.placed == 0 && capacityFor(job) < job.waiting.size();
  return !hasCapacity(job);
}

// The oldest jobs that have waited long in vain, untouched ones or others: some tasks of those have begun, or
// they must be placed whole. Only so many of the oldest are looked at, as under overload all wait.
std::vector<Job*> ShardScheduler::oldestUnplaceable(bool untouched, Time now) {
  std::vector<Job*> waiting;
  for (auto& [_, job] : state_.jobs()) {
    if (!waitsLong(job, now)) continue;
    bool begun = job.placed > 0 || job.done > 0 || job.remote > 0;
    if (untouched ? !begun : begun || job.spec->kind == JobKind::Gang) waiting.push_back(&job);
  }
  auto most = std::min(waiting.size(), kMaxExamined);
  std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(most), waiting.end(),
                    [](const Job* a, const Job* b) {
                      return std::pair(a->submitted, a->id) < std::pair(b->submitted, b->id);
                    });
  waiting.resize(most);
  std::vector<Job*> inVain;
  for (Job* job : waiting)
    if (inVain.size() < kMaxRequested && unplaceable(*job)) inVain.push_back(job);
  return inVain;
}

// Its migration is about to be written, or on its way: no transaction writes a job's record twice.
bool ShardScheduler::migrationPlanned(const JobId& id) const {
  bool planned = std::any_of(plannedMigrations_.begin(), plannedMigrations_.end(),
                             [&](const auto& t) { return t.job == id; });
  bool underWay = commitInFlight_ &&
                  std::count(commitInFlight_->migrated.begin(), commitInFlight_->migrated.end(), id) > 0;
  return planned || underWay || remoteUsage_.count(id) > 0;
}

void ShardScheduler::reviewMigrations(Time now) {
  if (now - migrationsReviewed_ < kReviewEvery) return;
  migrationsReviewed_ = now;
  releaseRemoteUsage(now);
  std::erase_if(offers_, [&](const auto& o) { return now - o.second.at > kOfferLifetime; });
  if (transferringTo_ || ownershipTransferSent_) return;
  mesh::CapacityRequest wanted;
  wanted.shard = takeover_.shard.value;
  for (const Job* job : oldestUnplaceable(true, now)) {
    if (migrationPlanned(job->id)) continue;
    auto offer = offers_.find(job->id);
    auto maxConcurrent = offer == offers_.end() ? std::nullopt : maxRemoteTasks(*job);
    if (!maxConcurrent) {
      wanted.jobs.push_back(job->id.value);
      continue;
    }
    bool ownTeam = settings_.shardOfTeam(job->spec->team) == takeover_.shard;
    if (ownTeam) countRemoteUsage(job->id, *job->spec, *maxConcurrent, false);
    plannedMigrations_.push_back({job->id, offer->second.shard, *maxConcurrent});
    offers_.erase(offer);
    requestRound(false);
  }
  if (!wanted.jobs.empty()) callbacks_.requestCapacity(wanted);
}

// How many more of its tasks its team's limit allows for.
std::uint32_t ShardScheduler::tasksWithinLimit(const Job& job) const {
  const auto& spec = *job.spec;
  if (job.maxConcurrent) return *job.maxConcurrent - std::min(*job.maxConcurrent, job.placed + job.remote);
  if (!job.team) return 0;
  auto use = state_.teamUse(spec.team);
  auto fits = [&](double left, double each) {
    return each > 0 ? std::floor((left + kResourceSlack) / each) : static_cast<double>(spec.tasks);
  };
  double most = std::min(fits(job.team->coreQuota - use.cores, spec.each.cores),
                         fits(job.team->gpuQuota - use.gpus, spec.each.gpus));
  return static_cast<std::uint32_t>(std::clamp(most, 0.0, static_cast<double>(spec.tasks)));
}

// How many of its tasks may be elsewhere at once, if the team's limit allows for any: all that it allows for,
// as more room may come free there. Replicas and members of a gang are all to run together.
std::optional<std::uint32_t> ShardScheduler::maxRemoteTasks(const Job& job) const {
  if (job.maxConcurrent) return job.maxConcurrent;
  auto most = tasksWithinLimit(job);
  if (most == 0 || (most < job.spec->tasks && job.spec->kind != JobKind::Array)) return std::nullopt;
  return most;
}

// --- the shard that has room ---

void ShardScheduler::handleCapacityRequest(const mesh::CapacityRequest& wanted) {
  auto now = runtime_.now();
  if (!loaded_ || !owns() || transferringTo_ || ownershipTransferSent_ ||
      now - capacityOfferedAt_ < kOfferInterval)
    return;
  for (const auto& name : wanted.jobs) {
    JobId id{name};
    auto known = view_.jobs.find(id);
    bool theirs =
        known != view_.jobs.end() && known->second.shard == ShardId{wanted.shard} && known->second.spec;
    if (!theirs || known->second.status != JobStatus::Open) continue;
    Job job;
    job.id = id;
    job.spec = known->second.spec;
    auto tasks = capacityFor(job);
    if (tasks == 0 || (job.spec->kind == JobKind::Gang && tasks < job.spec->tasks)) continue;
    capacityOfferedAt_ = now;
    return callbacks_.offerCapacity({takeover_.shard.value, wanted.shard, name, tasks});
  }
}

// How many of the job's tasks our machines have room for now, with up to K looked at in each pool.
std::map<Zone, std::uint32_t> ShardScheduler::capacityByZone(const Job& job) const {
  const auto& spec = *job.spec;
  std::map<Zone, std::uint32_t> found;
  for (const auto& pool : state_.pools()) {
    if (!allowedIn(job, pool)) continue;
    auto& inZone = found[pool.zone];
    auto at = pool.withFreeCores(spec.each.cores);
    for (unsigned looked = 0; at != pool.byFreeCores.end() && looked < settings_.tuning.sampleSize;
         ++at, ++looked) {
      auto free = at->second->free();
      if (!allowed(job, *at->second)) continue;
      for (; spec.each.fitsIn(free) && inZone < spec.tasks && zoneAllows(job, pool.zone, inZone); ++inZone)
        free -= spec.each;
    }
  }
  return found;
}

std::uint32_t ShardScheduler::capacityFor(const Job& job) const {
  std::uint32_t sum = 0, most = 0;
  for (const auto& [_, tasks] : capacityByZone(job)) {
    sum += tasks;
    most = std::max(most, tasks);
  }
  return std::min(job.spec->oneZone ? most : sum, job.spec->tasks);
}

void ShardScheduler::handleCapacityOffer(const mesh::CapacityOffer& offer) {
  JobId id{offer.job};
  if (!loaded_ || !owns() || !state_.job(id)) return;
  auto& best = offers_[id];
  if (offer.tasks > best.tasks) best = {ShardId{offer.shard}, offer.tasks, runtime_.now()};
}

// --- the write, and what it means for the team's limit ---

void ShardScheduler::addMigrations(TransactionBuilder& transaction) {
  for (const auto& transfer : std::exchange(plannedMigrations_, {})) {
    const Job* job = state_.job(transfer.job);
    bool still = job && job->open() && job->placed == 0 && job->done == 0 && job->cancelWaiters.empty();
    wire::Write w;
    if (still) {
      wire::JobRecord record{JobStatus::Open, transfer.to, job->spec->tasks, job->submitted, *job->spec, {}};
      bool home = settings_.shardOfTeam(job->spec->team) == transfer.to;
      if (!home) record.maxConcurrent = transfer.maxConcurrent;
      w = {keys::job(job->id), wire::encodeJobRecord(record), {}};
    }
    if (!still || w.value->size() > settings_.valueBytes || !transaction.add(std::move(w), job->version)) {
      if (auto counted = remoteUsage_.find(transfer.job); counted != remoteUsage_.end()) {
        state_.uncountRemoteUsage(counted->second.team, counted->second.sum);
        remoteUsage_.erase(counted);
      }
      continue;
    }
    commitInFlight_->migrated.push_back(job->id);
    log_->info("job {} goes to share {}, {} tasks at once", job->id.value, transfer.to.value,
               transfer.maxConcurrent);
  }
}

ShardScheduler::MigrationCleanup ShardScheduler::cleanupOf(const Job& job) const {
  auto record = cancelledRecord(job);
  record.maxConcurrent = 0;
  record.delegations.clear();
  return {job.id, job.version, wire::encodeCancelledJob(std::move(record), settings_.valueBytes)};
}

// A record that does not get its turn now is left as it is: the team's own shard then waits for cancel_s.
void ShardScheduler::addCleanups(TransactionBuilder& transaction) {
  for (auto& left : std::exchange(migrationCleanups_, {}))
    transaction.add({keys::job(left.job), std::move(left.value), {}}, left.version);
}

void ShardScheduler::migrated(const JobId& id) {
  if (auto counted = remoteUsage_.find(id); counted != remoteUsage_.end()) counted->second.committed = true;
  Job* job = state_.job(id);
  if (!job) return;
  answerCancelWaiters(*job, JobStatus::Open);  // they ask again, and the other owner is told
  failures_.forget(id);
  state_.removeJob(id);
}

void ShardScheduler::countRemoteUsage(const JobId& id, const JobSpec& spec, std::uint32_t tasks,
                                      bool committed) {
  auto sum = spec.each * static_cast<double>(tasks);
  remoteUsage_[id] = {spec.team, sum, committed, std::nullopt};
  state_.countRemoteUsage(spec.team, sum);
}

// A new owner: what was migrated before its takeover is in view by then.
void ShardScheduler::countAllRemoteUsage() {
  for (const auto& [id, known] : view_.jobs) {
    if (known.shard == takeover_.shard && known.status == JobStatus::Cancelled) countDelegated(id, known);
    bool gone = known.shard == takeover_.shard || !known.spec || known.status == JobStatus::Done;
    if (gone || settings_.shardOfTeam(known.spec->team) != takeover_.shard) continue;
    countRemoteUsage(id, *known.spec, known.maxConcurrent.value_or(known.tasks), true);
  }
}

// What other shards had of a job of ours when it was cancelled may still be there for a while.
void ShardScheduler::countDelegated(const JobId& id, const JobEntry& known) {
  std::size_t tasks = 0;
  for (const auto& d : known.delegations) tasks += d.tasks.size();
  bool counted = state_.job(id) || remoteUsage_.count(id) > 0;
  if (tasks == 0 || !known.spec || counted) return;
  countRemoteUsage(id, *known.spec, static_cast<std::uint32_t>(tasks), true);
}

// Done: nothing of it is anywhere. Aborted: the other owner says when nothing is left, which is within
// cancel_s of the commit that we see here.
void ShardScheduler::releaseRemoteUsage(Time now) {
  for (auto it = remoteUsage_.begin(); it != remoteUsage_.end();) {
    auto& counted = it->second;
    auto known = view_.jobs.find(it->first);
    bool over = counted.committed && known != view_.jobs.end();
    if (over && known->second.status == JobStatus::Cancelled) {
      if (!counted.cancelledSince) counted.cancelledSince = now;
      over = known->second.maxConcurrent == 0U ||
             now - *counted.cancelledSince > seconds(settings_.cancelS) + kBeyondCancel;
    } else if (over) {
      over = known->second.status == JobStatus::Done || known->second.shard == takeover_.shard;
    }
    if (!over) {
      ++it;
      continue;
    }
    state_.uncountRemoteUsage(counted.team, counted.sum);
    it = remoteUsage_.erase(it);
    requestRound(true);
  }
}

}  // namespace cherryloft
