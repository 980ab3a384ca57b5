// The scheduler's commits: one in flight, and what comes meanwhile forms the next.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {
using wire::kMaxTransactionBytes;
constexpr std::size_t kKeyWeight = 200;
}  // namespace

wire::JobRecord ShardScheduler::doneRecord(const Job& job) const {
  return {JobStatus::Done, takeover_.shard, static_cast<std::uint32_t>(job.tasks.size()), job.submitted, {}};
}

wire::JobRecord ShardScheduler::cancelledRecord(const Job& job) const {
  auto tasks = static_cast<std::uint32_t>(job.tasks.size());
  return {JobStatus::Cancelled, takeover_.shard, tasks, job.submitted, *job.spec,
          job.maxConcurrent,    job.delegations};
}

// The end of another shard's job is for its owner to write.
void ShardScheduler::endIfFinished(const Job& job) {
  if (job.status == JobStatus::Open && !job.delegation && job.finished()) ending_.insert(job.id);
}

void ShardScheduler::addFinishedJobs(TransactionBuilder& transaction) {
  for (auto it = ending_.begin(); it != ending_.end();) {
    Job* job = state_.job(*it);
    if (!job || job->status != JobStatus::Open) {
      it = ending_.erase(it);
      continue;
    }
    bool done = job->finished();
    auto value = done ? wire::encodeJobRecord(doneRecord(*job))
                      : wire::encodeCancelledJob(cancelledRecord(*job), settings_.valueBytes);
    if (!transaction.add({keys::job(*it), std::move(value), {}}, job->version)) return;
    commitInFlight_->endedJobs.emplace_back(*it, done ? JobStatus::Done : JobStatus::Cancelled);
    it = ending_.erase(it);
  }
}

// How many placements and completions one transaction can tell.
std::size_t ShardScheduler::roundWidth() const {
  constexpr std::size_t fact = 40;  // bytes, about, with what still stands of the page
  auto pages = std::clamp<std::size_t>(kMaxTransactionBytes / settings_.valueBytes, 1, settings_.txnOps - 1);
  return pages * std::max<std::size_t>(settings_.valueBytes / fact, 1);
}

void ShardScheduler::addPages(TransactionBuilder& transaction) {
  std::set<PageNumber> taken;
  while (!unwrittenTasks_.empty() && transaction.hasRoom(settings_.valueBytes + kKeyWeight)) {
    auto d = state_.composePage(unwrittenTasks_, taken);
    if (!d) continue;
    transaction.add({keys::page(takeover_.shard, d->number), wire::encodePage(d->record), {}},
                    state_.pages().at(d->number).version);
    commitInFlight_->pages.push_back(d->number);
    for (const auto& [job, facts] : d->record.jobs) {
      for (const auto& e : facts.placed)
        commitInFlight_->placed.emplace_back(e.machine, TaskId{job, e.index}, e.attempt);
      for (auto i : facts.done) commitInFlight_->done.push_back({job, i});
    }
  }
}

void ShardScheduler::commit() {
  if (committing_ || !owns() || runtime_.now() < commitNotBefore_) return;
  if (!commitInFlight_) {
    // While changes are short, what comes within a moment shards a transaction; completions can wait longer.
    auto now = runtime_.now();
    bool urgent = placementsUnwritten_ || !ending_.empty();
    auto due = lastCommit_ + (urgent ? 1 : 3) * store_.commitInterval();
    if (store_.writesSaturated() && now < due && !(unwrittenTasks_.empty() && ending_.empty()))
      return commitAt(due);
    lastCommit_ = now;
    placementsUnwritten_ = false;
    commitInFlight_.emplace();
    TransactionBuilder transaction(settings_.txnOps);
    transaction.require(keys::shard(takeover_.shard), takeover_.version);
    addFinishedJobs(transaction);
    addMigrations(transaction);
    addCleanups(transaction);
    addDelegations(transaction);
    addReturns(transaction);
    // A shard that is to be handed back waits for nothing else: in a large one something is done at every
    // moment. The next owner learns from reports what is done, as nothing is forgotten before it is written
    // (invariant 8), and placements that were not written were not sent.
    if (!transferringTo_) addPages(transaction);
    auto& pages = state_.pages();
    auto spare = pages.spare({commitInFlight_->pages.begin(), commitInFlight_->pages.end()});
    bool drops =
        spare && !transaction.empty() &&
        transaction.add({keys::page(takeover_.shard, *spare), std::nullopt, {}}, pages.at(*spare).version);
    if (drops) commitInFlight_->dropped.push_back(*spare);
    bool nothing = transaction.empty();
    commitInFlight_->txn = transaction.take();
    if (nothing) {
      commitInFlight_.reset();
      if (transferringTo_ && !ownershipTransferSent_) {
        // Nothing is on its way: let go. From here on this actor decides nothing.
        ownershipTransferSent_ = true;
        callbacks_.transferOwnership(takeover_.version, *transferringTo_, guarded([this](bool given) {
                                       ownershipTransferSent_ = false;
                                       transferringTo_.reset();
                                       if (given)
                                         callbacks_.dropOwnership();
                                       else
                                         requestRound(true);
                                     }));
      }
      return;
    }
  }
  committing_ = true;
  store_.transact(RequestPriority::Work, commitInFlight_->txn, Duration{2'000},
                  guarded([this](TransactionResult r) { committed(r); }));
}

void ShardScheduler::commitAt(Time due) {
  if (commitSet_) return;
  commitSet_ = true;
  runtime_.after(due - runtime_.now(), guarded([this] {
                   commitSet_ = false;
                   commit();
                 }));
}

void ShardScheduler::committed(const TransactionResult& r) {
  committing_ = false;
  using O = TransactionResult::Outcome;
  switch (r.outcome) {
    case O::Committed:
      return takeEffect(r);
    case O::Refused:
    case O::Unknown:
      // The same again under the same conditions: either it is done now, or the conflict tells that it was
      // done before, or that the shard is another's.
      commitNotBefore_ = runtime_.now() + Duration{60 + rng_() % 120};
      runtime_.after(Duration{190}, guarded([this] { commit(); }));
      return;
    case O::TooLarge:
      log_->error("share {}: the state service takes no transaction of that size", takeover_.shard.value);
      return callbacks_.dropOwnership();
    case O::Conflict:
    case O::LeaseExpired:
      log_->info("share {}: conflict on {}", takeover_.shard.value,
                 r.conflictingKeys.empty() ? "?" : r.conflictingKeys.front());
      return callbacks_.dropOwnership();
  }
}

void ShardScheduler::takeEffect(const TransactionResult& r) {
  auto f = std::move(*commitInFlight_);
  commitInFlight_.reset();
  for (auto n : f.pages) state_.pages().at(n).version = r.revision;
  for (auto n : f.dropped) state_.pages().drop(n);
  for (const auto& id : f.done)
    if (Job* j = state_.job(id.job)) {
      j->tasks[id.index].doneCommitted = true;
      j->tasks[id.index].writeInFlight = false;
    }
  for (const auto& id : f.migrated) migrated(id);
  for (const auto& written : f.delegated) delegationsCommitted(written, r.revision);
  for (const auto& written : f.returned) returnCommitted(written, r.revision);
  std::set<MachineId> machines;
  for (const auto& [machineId, task, attempt] : f.placed) {
    if (Job* j = state_.job(task.job)) j->tasks[task.index].writeInFlight = false;
    Machine* h = state_.machine(machineId);
    if (!h) continue;
    auto it = h->placements.find(task);
    if (it == h->placements.end() || it->second.attempt != attempt || it->second.committed) continue;
    ShardState::commit(it->second);
    latencies_.toCommitted.add(runtime_.now() - it->second.placedAt);
    if (!it->second.wanted || !h->open()) {
      // Never sent, so it is nowhere.
      taskLost(*h, task);
      requestRound(true);
      continue;
    }
    machines.insert(machineId);
    if (const Job* job = state_.job(task.job); job && job->isGang() && job->allCommitted())
      for (const auto& member : job->tasks)
        if (member.machine) machines.insert(member.machine->id);
  }
  for (const auto& [id, status] : f.endedJobs) {
    Job* j = state_.job(id);
    j->status = status;
    j->version = r.revision;
    log_->info("job {} {}", id.value, status == JobStatus::Done ? "done" : "aborted");
    callbacks_.jobEnded(id, status, r.revision);
    answerCancelWaiters(*j, status);
    if (status == JobStatus::Cancelled) {
      lastCancelled_ = std::max(lastCancelled_, r.revision);
      j->waiting.clear();
      stopTasks(*j, machines);
    }
    if (Job* left = state_.job(id)) cleanUp(*left);
  }
  // Only now: a start must not go out beside the end of its own job.
  sendCommandsToAll(machines);
  requestRound(false);
}

void ShardScheduler::answerCancelWaiters(Job& job, JobStatus s) {
  auto waiting = std::move(job.cancelWaiters);
  job.cancelWaiters.clear();
  for (auto& w : waiting) w(s);
}

// Orders the end of all that is placed of a job, and names the machines. A job that is over leaves the shard
// state with the last task that was never sent.
void ShardScheduler::stopTasks(const Job& job, std::set<MachineId>& machines) {
  std::vector<std::pair<Machine*, TaskId>> placed;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    if (Machine* h = job.tasks[i].machine) placed.emplace_back(h, TaskId{job.id, i});
  for (const auto& [h, task] : placed) {
    machines.insert(h->id);
    if (auto it = h->placements.find(task); it != h->placements.end()) stop(*h, task, it->second);
  }
}

// A job that is over leaves the shard state once none of its tasks can be anywhere. What pages say of it is
// of no more use then, and goes when they are written anew.
void ShardScheduler::cleanUp(Job& job) {
  if (job.status == JobStatus::Open || job.placed > 0) return;
  auto id = job.id;
  bool remains = !job.delegation && job.remote > 0;  // with other shards
  if (job.status == JobStatus::Cancelled && job.maxConcurrent && !remains)
    migrationCleanups_.push_back(cleanupOf(job));
  if (remains) {
    auto sum = job.spec->each * static_cast<double>(job.remote);
    remoteUsage_[id] = {job.spec->team, sum, true, std::nullopt};  // the shard state count it already
  }
  delegatedHere_.erase(id);
  failures_.forget(id);
  state_.removeJob(id);
}

}  // namespace cherryloft
