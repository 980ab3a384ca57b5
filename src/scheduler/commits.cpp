// The shard's commits. One transaction is in flight at a time; changes made meanwhile go into the next one.
//
// Each transaction is conditional on the shard's record still having the version of our takeover, so that a
// former owner's writes fail. Changes take effect only after they are committed (invariant 1).
#include <algorithm>
#include <utility>

#include "scheduler/job_records.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

using wire::kMaxTransactionBytes;

// Upper bound on the bytes that a page's key and framing add to a transaction.
constexpr std::size_t kPageOverheadBytes = 200;
// Approximate bytes per placement or completion in a page, including the page's records that remain valid.
constexpr std::size_t kBytesPerRecord = 40;
// Timeout of a transaction at the state service.
constexpr Duration kCommitTimeout{2'000};
// Backoff after a transaction that was refused or whose result is unknown: no commit is sent for a random
// time in [kMinRetryDelay, kMinRetryDelay + kRetryJitterMs); the retry is scheduled after kRetryAfter, which
// exceeds that range.
constexpr Duration kMinRetryDelay{60};
constexpr unsigned kRetryJitterMs = 120;
constexpr Duration kRetryAfter{190};

}  // namespace

// Jobs delegated by another shard are left out: their owner writes the terminal status.
void ShardScheduler::queueJobEndIfFinished(const Job& job) {
  if (job.status == JobStatus::Open && !job.delegation && job.finished()) jobsToEnd_.insert(job.id);
}

// --- building a transaction ---

void ShardScheduler::addJobEnds(TransactionBuilder& transaction) {
  while (!jobsToEnd_.empty()) {
    const JobId id = *jobsToEnd_.begin();
    const Job* job = state_.job(id);
    if (job && job->status == JobStatus::Open) {
      bool done = job->finished();
      auto value =
          done ? wire::encodeJobRecord(doneRecord(*job, takeover_.shard))
               : wire::encodeCancelledJob(cancelledRecord(*job, takeover_.shard), settings_.maxValueBytes);
      if (!transaction.add({keys::job(id), std::move(value), {}}, job->version)) return;
      commitInFlight_->jobEnds.push_back({id, done ? JobStatus::Done : JobStatus::Cancelled});
    }
    jobsToEnd_.erase(id);
  }
}

// Maximum number of placements and completions that fit into one transaction.
std::size_t ShardScheduler::maxRecordsPerCommit() const {
  auto pages =
      std::clamp<std::size_t>(kMaxTransactionBytes / settings_.maxValueBytes, 1, settings_.txnOps - 1);
  return pages * std::max<std::size_t>(settings_.maxValueBytes / kBytesPerRecord, 1);
}

void ShardScheduler::addPages(TransactionBuilder& transaction) {
  std::set<PageNumber> pagesInTransaction;
  while (!unwrittenTasks_.empty() && transaction.hasRoom(settings_.maxValueBytes + kPageOverheadBytes)) {
    auto page = state_.composePage(unwrittenTasks_, pagesInTransaction);
    if (!page) continue;
    transaction.add({keys::page(takeover_.shard, page->number), wire::encodePlacementPage(page->record), {}},
                    state_.pages().at(page->number).version);
    commitInFlight_->writtenPages.push_back(page->number);
    for (const auto& [job, tasks] : page->record.jobs) {
      for (const auto& entry : tasks.placed)
        commitInFlight_->placements.push_back({entry.machine, TaskId{job, entry.index}, entry.attempt});
      for (auto index : tasks.done) commitInFlight_->completions.push_back({job, index});
    }
  }
}

// Deletes one page without live records, but only in a transaction that has other writes.
void ShardScheduler::addPageDeletion(TransactionBuilder& transaction) {
  auto& pages = state_.pages();
  auto emptyPage =
      pages.surplusPage({commitInFlight_->writtenPages.begin(), commitInFlight_->writtenPages.end()});
  if (!emptyPage || transaction.empty()) return;
  if (transaction.add({keys::page(takeover_.shard, *emptyPage), std::nullopt, {}},
                      pages.at(*emptyPage).version))
    commitInFlight_->deletedPages.push_back(*emptyPage);
}

// Sets commitInFlight_, or leaves it empty if there is nothing to write.
void ShardScheduler::buildCommit() {
  lastCommit_ = runtime_.now();
  placementsUnwritten_ = false;
  commitInFlight_.emplace();
  TransactionBuilder transaction(settings_.txnOps);
  transaction.addCondition(keys::shard(takeover_.shard), takeover_.version);
  addJobEnds(transaction);
  commitInFlight_->migrations = jobMigration_.addPlanned(transaction);
  jobMigration_.addCleanups(transaction);
  taskDelegation_.addPlanned(transaction);
  commitInFlight_->delegationReturns = delegatedTasks_.addReturns(transaction, runtime_.now());
  // An ownership transfer doesn't wait for pages: in a large shard, tasks complete all the time. The next
  // owner learns of completions from heartbeats, as workers are told to forget a task only after its
  // completion is written (invariant 8); and placements that were not written were never sent.
  if (!transferringTo_) addPages(transaction);
  addPageDeletion(transaction);
  if (transaction.empty())
    commitInFlight_.reset();
  else
    commitInFlight_->transaction = transaction.take();
}

// --- sending a transaction ---

// When the next transaction may be built; nullopt: now. While the store's write rate is saturated, changes
// are batched for one commit interval, or for three if there are only completions.
std::optional<Time> ShardScheduler::commitDelayedUntil() const {
  if (unwrittenTasks_.empty() && jobsToEnd_.empty()) return std::nullopt;
  bool urgent = placementsUnwritten_ || !jobsToEnd_.empty();
  auto nextCommit = lastCommit_ + (urgent ? 1 : 3) * store_.commitInterval();
  if (!store_.writesSaturated() || runtime_.now() >= nextCommit) return std::nullopt;
  return nextCommit;
}

void ShardScheduler::commit() {
  if (committing_ || !owns() || runtime_.now() < commitNotBefore_) return;
  if (!commitInFlight_) {
    if (auto delayedUntil = commitDelayedUntil()) {
      scheduleCommit(*delayedUntil);
      return;
    }
    buildCommit();
  }
  if (!commitInFlight_) {
    transferOwnershipIfRequested();
    return;
  }
  committing_ = true;
  store_.transact(RequestPriority::Commit, commitInFlight_->transaction, kCommitTimeout,
                  guarded([this](TransactionResult result) { committed(result); }));
}

// Called when no commit is in flight: starts a requested ownership transfer. From then on this scheduler
// makes no decisions unless the transfer fails.
void ShardScheduler::transferOwnershipIfRequested() {
  if (!transferringTo_ || ownershipTransferSent_) return;
  ownershipTransferSent_ = true;
  callbacks_.transferOwnership(takeover_.version, *transferringTo_, guarded([this](bool transferred) {
                                 handleOwnershipTransferResult(transferred);
                               }));
}

void ShardScheduler::handleOwnershipTransferResult(bool transferred) {
  ownershipTransferSent_ = false;
  transferringTo_.reset();
  if (transferred)
    callbacks_.dropOwnership();
  else
    requestPlacementRound(true);
}

void ShardScheduler::scheduleCommit(Time time) {
  if (commitScheduled_) return;
  commitScheduled_ = true;
  runtime_.after(time - runtime_.now(), guarded([this] {
                   commitScheduled_ = false;
                   commit();
                 }));
}

// --- transaction results ---

void ShardScheduler::committed(const TransactionResult& result) {
  committing_ = false;
  using Outcome = TransactionResult::Outcome;
  switch (result.outcome) {
    case Outcome::Committed:
      applyCommit(result.revision);
      return;
    case Outcome::Refused:
    case Outcome::Unknown:
      // Send the same transaction under the same conditions again: either it commits now, or a conflict shows
      // that it had been committed before or that another controller owns the shard.
      commitNotBefore_ = runtime_.now() + kMinRetryDelay + Duration{rng_() % kRetryJitterMs};
      runtime_.after(kRetryAfter, guarded([this] { commit(); }));
      return;
    case Outcome::TooLarge:
      log_->error("transaction too large for the state service: shard={}", takeover_.shard.value);
      callbacks_.dropOwnership();
      return;
    case Outcome::Conflict:
    case Outcome::LeaseExpired:
      log_->info("commit conflict: shard={} key={}", takeover_.shard.value,
                 result.conflictingKeys.empty() ? "?" : result.conflictingKeys.front());
      callbacks_.dropOwnership();
      return;
  }
}

void ShardScheduler::applyCommit(Version revision) {
  auto commit = std::move(*commitInFlight_);
  commitInFlight_.reset();
  for (auto page : commit.writtenPages) state_.pages().at(page).version = revision;
  for (auto page : commit.deletedPages) state_.pages().erase(page);
  for (const auto& task : commit.completions) completionCommitted(task);
  for (const auto& job : commit.migrations) migrationCommitted(job);
  for (const auto& write : commit.delegationReturns) handleCommittedReturn(write);
  std::set<MachineId> machinesToCommand;
  for (const auto& write : commit.placements) placementCommitted(write, machinesToCommand);
  for (const auto& write : commit.jobEnds) jobEndCommitted(write, revision, machinesToCommand);
  // Must follow the job ends: a task must not be started if its job ended in the same transaction.
  sendCommandsToAll(machinesToCommand);
  requestPlacementRound(false);
}

void ShardScheduler::migrationCommitted(const JobId& id) {
  jobMigration_.committed(id);
  Job* job = state_.job(id);
  if (!job) return;
  // The callers retry the cancellation, which then reaches the new owner.
  runCancelCallbacks(*job, JobStatus::Open);
  failures_.forget(id);
  state_.removeJob(id);
  takeUpLaterRecord(id);
}

// The job was given away by a commit. While its answer was on its way the job may have come back, which was
// not acted on as long as the former copy was in the shard state.
void ShardScheduler::takeUpLaterRecord(const JobId& id) { jobChanged(id); }

void ShardScheduler::completionCommitted(const TaskId& id) {
  Job* job = state_.job(id.job);
  if (!job) return;
  auto& task = job->tasks[id.index];
  task.doneCommitted = true;
  task.writeInFlight = false;
}

// Adds the machines that may now be sent start commands to `machinesToCommand`.
void ShardScheduler::placementCommitted(const PlacementWrite& write, std::set<MachineId>& machinesToCommand) {
  Job* job = state_.job(write.task.job);
  if (job) job->tasks[write.task.index].writeInFlight = false;
  Machine* machine = state_.machine(write.machine);
  if (!machine) return;
  auto found = machine->placements.find(write.task);
  if (found == machine->placements.end()) return;
  auto& placement = found->second;
  if (placement.attempt != write.attempt || placement.committed) return;
  ShardState::commit(placement);
  latencies_.placedToCommitted.add(runtime_.now() - placement.placedAt);
  if (!placement.desired || !machine->open()) {
    // Its start was never sent, so it runs on no machine.
    handleTaskLost(*machine, write.task);
    requestPlacementRound(true);
    return;
  }
  machinesToCommand.insert(write.machine);
  bool gangComplete = job && job->isGang() && job->allCommitted();
  if (!gangComplete) return;
  for (const auto& member : job->tasks)
    if (member.machine) machinesToCommand.insert(member.machine->id);
}

// Adds the machines with tasks of the job to stop to `machinesToCommand`.
void ShardScheduler::jobEndCommitted(const JobEndWrite& write, Version revision,
                                     std::set<MachineId>& machinesToCommand) {
  Job* job = state_.job(write.job);
  job->status = write.status;
  job->version = revision;
  log_->info("job ended: job={} status={}", write.job.value,
             write.status == JobStatus::Done ? "done" : "aborted");
  callbacks_.jobEnded(write.job, write.status, revision);
  runCancelCallbacks(*job, write.status);
  if (write.status == JobStatus::Cancelled) {
    job->waiting.clear();
    stopTasks(*job, machinesToCommand);
  }
  // Stopping its last task may have removed the job.
  if (Job* remaining = state_.job(write.job)) removeJobIfEnded(*remaining);
}

void ShardScheduler::runCancelCallbacks(Job& job, JobStatus status) {
  auto waiters = std::exchange(job.cancelCallbacks, {});
  for (auto& answer : waiters) answer(status);
}

// Stops all placed tasks of a job and adds their machines to `machinesToCommand`. If the job has ended and no
// placed task of it was ever sent to a machine, this also removes the job from the shard state.
void ShardScheduler::stopTasks(const Job& job, std::set<MachineId>& machinesToCommand) {
  struct PlacedTask {
    Machine* machine;
    TaskId task;
  };
  // Collected first, as stop() modifies the job and may remove it.
  std::vector<PlacedTask> placed;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    if (Machine* machine = job.tasks[index].machine) placed.push_back({machine, TaskId{job.id, index}});
  for (const auto& [machine, task] : placed) {
    machinesToCommand.insert(machine->id);
    auto placement = machine->placements.find(task);
    if (placement != machine->placements.end()) stop(*machine, task, placement->second);
  }
}

// Removes an ended job from the shard state once none of its tasks can be on a machine of this shard. Its
// records in placement pages are obsolete then and are dropped when the pages are next rewritten.
void ShardScheduler::removeJobIfEnded(Job& job) {
  if (job.status == JobStatus::Open || job.placed > 0) return;
  auto id = job.id;
  jobMigration_.handleJobEnd(job);
  delegatedTasks_.remove(id);
  failures_.forget(id);
  state_.removeJob(id);
}

}  // namespace cherryloft
