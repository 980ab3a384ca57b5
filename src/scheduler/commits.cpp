// The shard's commits: one transaction in flight; what comes meanwhile forms the next.
//
// A transaction is written on condition that the shard's record still has the version of our takeover, so
// that a former owner's writes fail. What it writes takes effect only once it is committed (invariant 1).
#include <algorithm>
#include <utility>

#include "scheduler/job_records.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

using wire::kMaxTransactionBytes;

// Bytes that a page's key and its frame add to a transaction, at most.
constexpr std::size_t kKeyWeight = 200;
// Bytes, about, of a placement or completion in a page, with what still stands of that page.
constexpr std::size_t kFactBytes = 40;
// For how long the state service may take for a transaction.
constexpr Duration kCommitDeadline{2'000};
// After a transaction that was refused or whose result is unknown: it is sent again no sooner than a random
// time of [kRetryPause, kRetryPause + kRetryJitterMs), and tried after kRetryAfter, which is longer than
// both.
constexpr Duration kRetryPause{60};
constexpr unsigned kRetryJitterMs = 120;
constexpr Duration kRetryAfter{190};

}  // namespace

// The end of another shard's job is for its owner to write.
void ShardScheduler::endIfFinished(const Job& job) {
  if (job.status == JobStatus::Open && !job.delegation && job.finished()) ending_.insert(job.id);
}

// --- composing a transaction ---

void ShardScheduler::addFinishedJobs(TransactionBuilder& transaction) {
  while (!ending_.empty()) {
    const JobId id = *ending_.begin();
    const Job* job = state_.job(id);
    if (job && job->status == JobStatus::Open) {
      bool done = job->finished();
      auto value =
          done ? wire::encodeJobRecord(doneRecord(*job, takeover_.shard))
               : wire::encodeCancelledJob(cancelledRecord(*job, takeover_.shard), settings_.maxValueBytes);
      if (!transaction.add({keys::job(id), std::move(value), {}}, job->version)) return;
      commitInFlight_->jobEnds.push_back({id, done ? JobStatus::Done : JobStatus::Cancelled});
    }
    ending_.erase(id);
  }
}

// How many placements and completions one transaction can tell.
std::size_t ShardScheduler::roundWidth() const {
  auto pages =
      std::clamp<std::size_t>(kMaxTransactionBytes / settings_.maxValueBytes, 1, settings_.txnOps - 1);
  return pages * std::max<std::size_t>(settings_.maxValueBytes / kFactBytes, 1);
}

void ShardScheduler::addPages(TransactionBuilder& transaction) {
  std::set<PageNumber> taken;
  while (!unwrittenTasks_.empty() && transaction.hasRoom(settings_.maxValueBytes + kKeyWeight)) {
    auto page = state_.composePage(unwrittenTasks_, taken);
    if (!page) continue;
    transaction.add({keys::page(takeover_.shard, page->number), wire::encodePlacementPage(page->record), {}},
                    state_.pages().at(page->number).version);
    commitInFlight_->pages.push_back(page->number);
    for (const auto& [job, facts] : page->record.jobs) {
      for (const auto& entry : facts.placed)
        commitInFlight_->placements.push_back({entry.machine, TaskId{job, entry.index}, entry.attempt});
      for (auto index : facts.done) commitInFlight_->completions.push_back({job, index});
    }
  }
}

// Deletes a page that nothing stands on any more, if other writes need a transaction anyway.
void ShardScheduler::addPageDrop(TransactionBuilder& transaction) {
  auto& pages = state_.pages();
  auto spare = pages.spare({commitInFlight_->pages.begin(), commitInFlight_->pages.end()});
  if (!spare || transaction.empty()) return;
  if (transaction.add({keys::page(takeover_.shard, *spare), std::nullopt, {}}, pages.at(*spare).version))
    commitInFlight_->droppedPages.push_back(*spare);
}

// Leaves nothing in flight if there is nothing to write.
void ShardScheduler::composeCommit() {
  lastCommit_ = runtime_.now();
  placementsUnwritten_ = false;
  commitInFlight_.emplace();
  TransactionBuilder transaction(settings_.txnOps);
  transaction.require(keys::shard(takeover_.shard), takeover_.version);
  addFinishedJobs(transaction);
  commitInFlight_->migrations = jobMigration_.addPlanned(transaction);
  jobMigration_.addCleanups(transaction);
  commitInFlight_->delegations = taskDelegation_.addPlanned(transaction);
  commitInFlight_->delegationReturns = delegatedTasks_.addReturns(transaction, runtime_.now());
  // A shard that is to be handed back waits for nothing else: in a large one something is done at every
  // moment. The next owner learns from heartbeats what is done, as nothing is forgotten before it is written
  // (invariant 8), and placements that were not written were not sent.
  if (!transferringTo_) addPages(transaction);
  addPageDrop(transaction);
  if (transaction.empty())
    commitInFlight_.reset();
  else
    commitInFlight_->transaction = transaction.take();
}

// --- sending it ---

// While changes are short, what comes within a moment shares a transaction; completions can wait longer.
// Nothing if the next transaction may be composed now.
std::optional<Time> ShardScheduler::commitDelayedUntil() const {
  if (unwrittenTasks_.empty() && ending_.empty()) return std::nullopt;
  bool urgent = placementsUnwritten_ || !ending_.empty();
  auto due = lastCommit_ + (urgent ? 1 : 3) * store_.commitInterval();
  if (!store_.writesSaturated() || runtime_.now() >= due) return std::nullopt;
  return due;
}

void ShardScheduler::commit() {
  if (committing_ || !owns() || runtime_.now() < commitNotBefore_) return;
  if (!commitInFlight_) {
    if (auto due = commitDelayedUntil()) {
      commitAt(*due);
      return;
    }
    composeCommit();
  }
  if (!commitInFlight_) {
    transferOwnershipIfAsked();
    return;
  }
  committing_ = true;
  store_.transact(RequestPriority::Work, commitInFlight_->transaction, kCommitDeadline,
                  guarded([this](TransactionResult result) { committed(result); }));
}

// Nothing is in flight: lets go of a shard that is to be handed back. From here on this actor decides
// nothing, unless the transfer fails.
void ShardScheduler::transferOwnershipIfAsked() {
  if (!transferringTo_ || ownershipTransferSent_) return;
  ownershipTransferSent_ = true;
  callbacks_.transferOwnership(takeover_.version, *transferringTo_,
                               guarded([this](bool transferred) { ownershipTransferEnded(transferred); }));
}

void ShardScheduler::ownershipTransferEnded(bool transferred) {
  ownershipTransferSent_ = false;
  transferringTo_.reset();
  if (transferred)
    callbacks_.dropOwnership();
  else
    requestRound(true);
}

void ShardScheduler::commitAt(Time due) {
  if (commitScheduled_) return;
  commitScheduled_ = true;
  runtime_.after(due - runtime_.now(), guarded([this] {
                   commitScheduled_ = false;
                   commit();
                 }));
}

// --- its result ---

void ShardScheduler::committed(const TransactionResult& result) {
  committing_ = false;
  using Outcome = TransactionResult::Outcome;
  switch (result.outcome) {
    case Outcome::Committed:
      takeEffect(result.revision);
      return;
    case Outcome::Refused:
    case Outcome::Unknown:
      // The same again under the same conditions: either it is done now, or the conflict tells that it was
      // done before, or that the shard is another's.
      commitNotBefore_ = runtime_.now() + kRetryPause + Duration{rng_() % kRetryJitterMs};
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

void ShardScheduler::takeEffect(Version revision) {
  auto commit = std::move(*commitInFlight_);
  commitInFlight_.reset();
  for (auto page : commit.pages) state_.pages().at(page).version = revision;
  for (auto page : commit.droppedPages) state_.pages().drop(page);
  for (const auto& task : commit.completions) completionCommitted(task);
  for (const auto& job : commit.migrations) migrationCommitted(job);
  for (const auto& written : commit.delegations) taskDelegation_.committed(written, revision);
  for (const auto& written : commit.delegationReturns) returnCommitted(written, revision);
  std::set<MachineId> machines;
  for (const auto& written : commit.placements) placementCommitted(written, machines);
  for (const auto& end : commit.jobEnds) jobEndCommitted(end, revision, machines);
  // Only now: a start must not go out beside the end of its own job.
  sendCommandsToAll(machines);
  requestRound(false);
}

void ShardScheduler::migrationCommitted(const JobId& id) {
  jobMigration_.committed(id);
  Job* job = state_.job(id);
  if (!job) return;
  answerCancelWaiters(*job, JobStatus::Open);  // they ask again, and the other owner is told
  failures_.forget(id);
  state_.removeJob(id);
}

void ShardScheduler::completionCommitted(const TaskId& id) {
  Job* job = state_.job(id.job);
  if (!job) return;
  auto& task = job->tasks[id.index];
  task.doneCommitted = true;
  task.writeInFlight = false;
}

// Adds the machines that have commands to be sent from now on.
void ShardScheduler::placementCommitted(const PlacementWrite& written, std::set<MachineId>& machines) {
  Job* job = state_.job(written.task.job);
  if (job) job->tasks[written.task.index].writeInFlight = false;
  Machine* machine = state_.machine(written.machine);
  if (!machine) return;
  auto found = machine->placements.find(written.task);
  if (found == machine->placements.end()) return;
  auto& placement = found->second;
  if (placement.attempt != written.attempt || placement.committed) return;
  ShardState::commit(placement);
  latencies_.toCommitted.add(runtime_.now() - placement.placedAt);
  if (!placement.wanted || !machine->open()) {
    // Never sent, so it is nowhere.
    taskLost(*machine, written.task);
    requestRound(true);
    return;
  }
  machines.insert(written.machine);
  bool gangComplete = job && job->isGang() && job->allCommitted();
  if (!gangComplete) return;
  for (const auto& member : job->tasks)
    if (member.machine) machines.insert(member.machine->id);
}

// Adds the machines that have tasks of the job to stop.
void ShardScheduler::jobEndCommitted(const JobEnd& end, Version revision, std::set<MachineId>& machines) {
  Job* job = state_.job(end.job);
  job->status = end.status;
  job->version = revision;
  log_->info("job ended: job={} status={}", end.job.value,
             end.status == JobStatus::Done ? "done" : "aborted");
  callbacks_.jobEnded(end.job, end.status, revision);
  answerCancelWaiters(*job, end.status);
  if (end.status == JobStatus::Cancelled) {
    lastCancelled_ = std::max(lastCancelled_, revision);
    job->waiting.clear();
    stopTasks(*job, machines);
  }
  // Stopping its last task may have removed it.
  if (Job* remaining = state_.job(end.job)) cleanUp(*remaining);
}

void ShardScheduler::answerCancelWaiters(Job& job, JobStatus status) {
  auto waiters = std::exchange(job.cancelWaiters, {});
  for (auto& answer : waiters) answer(status);
}

// Orders the end of all that is placed of a job, and names the machines. A job that is over leaves the shard
// state with the last task that was never sent.
void ShardScheduler::stopTasks(const Job& job, std::set<MachineId>& machines) {
  struct PlacedTask {
    Machine* machine;
    TaskId task;
  };
  // A copy, as stopping changes the job, and may remove it.
  std::vector<PlacedTask> placed;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    if (Machine* machine = job.tasks[index].machine) placed.push_back({machine, TaskId{job.id, index}});
  for (const auto& [machine, task] : placed) {
    machines.insert(machine->id);
    auto placement = machine->placements.find(task);
    if (placement != machine->placements.end()) stop(*machine, task, placement->second);
  }
}

// A job that is over leaves the shard state once none of its tasks can be on a machine of this shard. What
// pages say of it is of no more use then, and goes when they are written anew.
void ShardScheduler::cleanUp(Job& job) {
  if (job.status == JobStatus::Open || job.placed > 0) return;
  auto id = job.id;
  jobMigration_.jobOver(job);
  delegatedTasks_.remove(id);
  failures_.forget(id);
  state_.removeJob(id);
}

}  // namespace cherryloft
