#include "scheduler/job_migration.h"

#include <algorithm>
#include <utility>

#include "scheduler/job_records.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

JobMigration::JobMigration(const Settings& settings, const ClusterView& view, ShardState& state,
                           ShardId ownShard, Log log)
    : settings_(settings),
      view_(view),
      state_(state),
      ownShard_(ownShard),
      log_(std::move(log)),
      remoteUsage_(state, seconds(settings.cancelDeadlineS)) {}

void JobMigration::restoreRemoteUsage() {
  for (const auto& [id, entry] : view_.jobs) {
    if (entry.shard == ownShard_ && entry.status == JobStatus::Cancelled) countDelegated(id, entry);
    bool onOtherShard = entry.shard != ownShard_ && entry.spec && entry.status != JobStatus::Done;
    if (!onOtherShard || settings_.shardOfTeam(entry.spec->team) != ownShard_) continue;
    remoteUsage_.countCommitted(id, *entry.spec, entry.maxConcurrent.value_or(entry.tasks));
  }
}

// Tasks that were delegated when a job of this shard was cancelled may still run on other shards for a while.
void JobMigration::countDelegated(const JobId& id, const JobEntry& entry) {
  std::size_t tasks = 0;
  for (const auto& delegation : entry.delegations) tasks += delegation.tasks.size();
  bool alreadyCounted = state_.job(id) || remoteUsage_.tracks(id);
  if (tasks == 0 || !entry.spec || alreadyCounted) return;
  remoteUsage_.countCommitted(id, *entry.spec, static_cast<std::uint32_t>(tasks));
}

void JobMigration::plan(const Job& job, ShardId toShard, std::uint32_t maxConcurrent) {
  bool isHomeShardOfTeam = settings_.shardOfTeam(job.spec->team) == ownShard_;
  if (isHomeShardOfTeam) remoteUsage_.reserve(job.id, *job.spec, maxConcurrent);
  planned_.push_back({job.id, toShard, maxConcurrent});
}

bool JobMigration::isPlannedOrRemote(const JobId& job) const {
  bool planned = std::any_of(planned_.begin(), planned_.end(),
                             [&](const PlannedMigration& migration) { return migration.job == job; });
  return planned || remoteUsage_.tracks(job);
}

std::vector<JobId> JobMigration::addPlanned(TransactionBuilder& transaction) {
  std::vector<JobId> added;
  for (const auto& migration : std::exchange(planned_, {})) {
    if (!add(transaction, migration)) {
      remoteUsage_.dropReservation(migration.job);
      continue;
    }
    added.push_back(migration.job);
    log_->info("migrating job: job={} to_shard={} max_concurrent={}", migration.job.value,
               migration.toShard.value, migration.maxConcurrent);
  }
  return added;
}

bool JobMigration::add(TransactionBuilder& transaction, const PlannedMigration& migration) const {
  const Job* job = state_.job(migration.job);
  bool notStarted = job && job->open() && job->placed == 0 && job->done == 0 && job->cancelCallbacks.empty();
  if (!notStarted) return false;
  auto record = migratedRecord(*job, migration, settings_.shardOfTeam(job->spec->team));
  wire::Write write{keys::job(job->id), wire::encodeJobRecord(record), {}};
  if (write.value->size() > settings_.maxValueBytes) return false;
  return transaction.add(std::move(write), job->version);
}

void JobMigration::handleJobEnd(const Job& job) {
  bool hasDelegatedTasks = !job.delegation && job.remote > 0;
  if (hasDelegatedTasks) {
    remoteUsage_.trackAlreadyCounted(job.id, *job.spec, job.remote);
  } else if (job.status == JobStatus::Cancelled && job.maxConcurrent) {
    auto record = cleanedUpRecord(job, ownShard_);
    cleanups_.push_back(
        {job.id, job.version, wire::encodeCancelledJob(std::move(record), settings_.maxValueBytes)});
  }
}

void JobMigration::addCleanups(TransactionBuilder& transaction) {
  for (auto& cleanup : std::exchange(cleanups_, {}))
    transaction.add({keys::job(cleanup.job), std::move(cleanup.value), {}}, cleanup.version);
}

}  // namespace cherryloft
