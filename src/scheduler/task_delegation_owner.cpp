// Task delegation, as the shard that owns the job sees it (invariant 18): waiting tasks that another shard,
// the delegate, places for it.
//
// Used where a job can't be migrated whole: some of its tasks are placed or done, or it is a gang that no
// shard has free capacity for alone. The owner keeps the job: it answers its users, writes its end, and
// counts what it delegated toward the team's quota and the zones' rules. Each step is one write of the job's
// record under its version. The delegate's part is in task_delegation_delegate.cpp.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

// Tasks of a job that are delegated by one write, to all shards and to each of them.
constexpr std::uint32_t kMaxDelegated = 64;
// Bytes, at most, that a task by itself takes in a list of a job's record.
constexpr std::size_t kTaskBytes = 16;

// Where its tasks may go depends on where its others are.
bool boundToZones(const JobSpec& spec) { return spec.spread || spec.oneZone; }

}  // namespace

// Plans the delegation of tasks that offers came for, and asks for capacity for the others.
void ShardScheduler::reviewDelegations(Time now) {
  if (now - delegationsReviewed_ < kCapacityReviewInterval) return;
  delegationsReviewed_ = now;
  taskOffers_.dropExpired(now);
  if (transferringTo_ || ownershipTransferSent_) return;
  mesh::TaskCapacityRequest request;
  request.shard = takeover_.shard.value;
  for (Job* job : oldestUnplaceable(RemotePlacement::Delegation, now)) {
    if (migrationPlanned(job->id) || delegationWrites_.count(job->id) > 0) continue;
    bool splitGang = job->isGang() && job->remote > 0;
    if (splitGang) planRecall(*job);  // the members here found no capacity after all
    if (splitGang || planDelegations(*job, now))
      requestRound(false);
    else
      request.jobs.push_back(taskCapacityNeed(*job));
  }
  if (!request.jobs.empty()) callbacks_.requestTaskCapacity(request);
}

// How many of its tasks are to go, and how many of them each zone may take where that matters.
mesh::TaskCapacityNeed ShardScheduler::taskCapacityNeed(const Job& job) const {
  auto waiting = static_cast<std::uint32_t>(std::min<std::size_t>(job.waiting.size(), kMaxDelegated));
  mesh::TaskCapacityNeed need{job.id.value, std::min(waiting, tasksWithinLimit(job)), {}};
  if (!boundToZones(*job.spec)) {
    need.zones.push_back({"", need.tasks});
    return need;
  }
  for (const auto& zone : settings_.zones) {
    std::uint32_t allowed = 0;
    while (allowed < need.tasks && constraints_.allowsZone(job, zone, allowed)) ++allowed;
    if (allowed > 0) need.zones.push_back({zone.value, allowed});
  }
  return need;
}

void ShardScheduler::handleTaskCapacityOffer(const mesh::TaskCapacityOffer& offer) {
  JobId id{offer.job};
  if (!loaded_ || !owns() || !state_.job(id) || offer.room.tasks == 0) return;
  taskOffers_.add(id,
                  {ShardId{offer.shard}, zoneFromMessage(offer.room.zone), offer.room.tasks, runtime_.now()});
}

// Gives tasks to the shards that offered capacity, the largest offer first. A gang goes only if all of it
// finds capacity, with what there is here. False if nothing is planned.
bool ShardScheduler::planDelegations(Job& job, Time now) {
  if (!taskOffers_.any(job.id)) return false;
  auto offers = taskOffers_.take(job.id, now);
  std::erase_if(offers, [&](const ReceivedTaskOffer& offer) {
    return findDelegation(job.delegations, offer.shard) != nullptr;
  });
  bool gang = job.isGang();
  if (gang && tasksWithinLimit(job) < job.waiting.size()) return false;
  auto here = gang ? capacityFor(job) : 0;
  auto remaining = static_cast<std::uint32_t>(job.waiting.size()) - here;
  if (!gang) remaining = std::min(remaining, tasksWithinLimit(job));
  if (gang) job.gangAttempt = attemptOf(takeover_.epoch, ++attempts_);
  for (const auto& offer : offers) {
    auto remoteBefore = job.remote;
    delegate(job, offer, remaining);
    remaining -= job.remote - remoteBefore;
    if (remaining == 0) break;
  }
  auto planned = delegationWrites_.find(job.id);
  bool any = planned != delegationWrites_.end();
  bool gangIncomplete = gang && remaining > 0;
  if (any && !gangIncomplete) {
    job.placedLast = now;  // the rest waits anew
    return true;
  }
  job.gangAttempt.reset();  // the next try, wherever it is, has an attempt of its own
  if (any) {
    undoPlan(job, planned->second.planned);
    delegationWrites_.erase(planned);
  }
  return false;
}

// Plans to give the shard as many of the first waiting tasks as it offered capacity for, at most maxTasks.
void ShardScheduler::delegate(Job& job, const ReceivedTaskOffer& offer, std::uint32_t maxTasks) {
  Delegation delegation{offer.shard, offer.zone, {}, job.gangAttempt};
  auto most = std::min({maxTasks, offer.tasks, kMaxDelegated});
  while (delegation.tasks.size() < most && (!offer.zone || constraints_.allowsZone(job, *offer.zone))) {
    auto index = job.waiting.front();
    job.waiting.pop_front();
    state_.makeRemote(job, index, offer.zone);
    delegation.tasks.push_back(index);
  }
  if (delegation.tasks.empty()) return;
  std::sort(delegation.tasks.begin(), delegation.tasks.end());
  log_->info("delegating tasks: job={} tasks={} to_shard={}", job.id.value, delegation.tasks.size(),
             offer.shard.value);
  auto& write = delegationWrites_[job.id];
  write.job = job.id;
  write.planned.push_back(std::move(delegation));
}

// A member of a gang is gone: the others can't go on without it, wherever they are.
void ShardScheduler::planRecall(Job& job) {
  if (job.recalling) return;
  job.recalling = true;
  auto& write = delegationWrites_[job.id];
  write.job = job.id;
  write.recall = true;
}

// After a takeover. Of a gang whose members here are not placed a former owner may have tried some: it starts
// anew as a whole.
void ShardScheduler::resumeDelegations(Job& job) {
  if (job.delegation && job.delegation->recalled) recallDelegated(job);
  if (job.delegation || job.remote == 0 || !job.isGang()) return;
  bool recalled = std::any_of(job.delegations.begin(), job.delegations.end(),
                              [](const Delegation& delegation) { return delegation.recalled; });
  if (recalled)
    job.recalling = true;
  else if (!job.waiting.empty())
    handleGangMemberLost(job);
}

// The planned tasks wait again, in order of their indices.
void ShardScheduler::undoPlan(Job& job, const std::vector<Delegation>& planned) {
  for (const auto& delegation : planned)
    for (auto index : delegation.tasks) state_.remoteBack(job, index, delegation.zone, false);
  std::sort(job.waiting.begin(), job.waiting.end());
}

// --- the write ---

// Whatever the delegates give back, done or not, the record must stay within a value.
bool ShardScheduler::staysWithinValue(const wire::JobRecord& record) const {
  std::size_t tasks = 0;
  for (const auto& delegation : record.delegations) tasks += delegation.tasks.size();
  return wire::encodeJobRecord(record).size() + tasks * kTaskBytes <= settings_.valueBytes;
}

// The job's record as it is known, with the change; nothing if the job is ending, and while the cluster view
// lags behind our own writes.
std::optional<wire::JobRecord> ShardScheduler::recordWith(const Job& job,
                                                          const DelegationWrite& change) const {
  auto found = view_.jobs.find(job.id);
  if (found == view_.jobs.end()) return std::nullopt;
  const auto& entry = found->second;
  bool current = entry.version == job.version && entry.status == JobStatus::Open;
  if (!current || !job.open() || !job.cancelWaiters.empty()) return std::nullopt;
  wire::JobRecord record{JobStatus::Open, takeover_.shard,   entry.tasks,       job.submitted,
                         *job.spec,       job.maxConcurrent, entry.delegations, entry.doneRemotely};
  record.delegations.insert(record.delegations.end(), change.planned.begin(), change.planned.end());
  if (change.recall)
    for (auto& delegation : record.delegations) delegation.recalled = true;
  // What pages tell by now.
  std::erase_if(record.doneRemotely, [&](auto index) {
    const auto& task = job.tasks[index];
    return task.doneCommitted && task.page != kNoPage;
  });
  return record;
}

// Adds what is planned. A recall that can't be added stays planned; a plan to delegate is undone, as the
// capacity that was offered will be gone.
void ShardScheduler::addDelegations(TransactionBuilder& transaction) {
  for (auto position = delegationWrites_.begin(); position != delegationWrites_.end();) {
    auto& change = position->second;
    Job* job = state_.job(position->first);
    bool open = job && job->open();
    bool added = open && addDelegation(transaction, *job, change);
    if (added) {
      commitInFlight_->delegations.push_back(std::move(change));
    } else if (open && change.recall) {
      ++position;
      continue;
    } else if (job) {
      undoPlan(*job, change.planned);
      if (open) job->gangAttempt.reset();
    }
    position = delegationWrites_.erase(position);
  }
}

bool ShardScheduler::addDelegation(TransactionBuilder& transaction, const Job& job,
                                   const DelegationWrite& change) const {
  auto record = recordWith(job, change);
  if (!record) return false;
  wire::Write write{keys::job(job.id), wire::encodeJobRecord(*record), {}};
  bool fits = change.recall ? write.value->size() <= settings_.valueBytes : staysWithinValue(*record);
  return fits && transaction.add(std::move(write), job.version);
}

// The cluster view may have shown it before the answer came, and what the delegates wrote since.
void ShardScheduler::delegationsCommitted(const DelegationWrite& written, Version version) {
  Job* job = state_.job(written.job);
  if (!job || job->version >= version) return;
  job->version = version;
  job->delegations.insert(job->delegations.end(), written.planned.begin(), written.planned.end());
}

// --- what delegates gave back ---

// The cluster view shows a record of our job that a delegate may have written: takes in the tasks that it
// gave back, done or not.
void ShardScheduler::ownedJobChanged(Job& job, const JobEntry& entry) {
  if (entry.status != JobStatus::Open || job.status != JobStatus::Open || job.version >= entry.version)
    return;
  job.version = entry.version;
  bool anyReturned = false;
  bool anyUnfinished = false;
  auto former = std::exchange(job.delegations, entry.delegations);
  for (const auto& before : former) {
    const auto* now = findDelegation(entry.delegations, before.shard);
    for (auto index : before.tasks) {
      bool stillDelegated = now && now->covers(index);
      if (stillDelegated || job.tasks[index].state != TaskState::Remote) continue;
      bool done = std::binary_search(entry.doneRemotely.begin(), entry.doneRemotely.end(), index);
      state_.remoteBack(job, index, before.zone, done);
      // For a page, so that the record need not keep it.
      if (done) unwrittenTasks_.push_back({job.id, index});
      anyReturned = true;
      anyUnfinished |= !done;
    }
  }
  if (job.remote == 0) {
    job.recalling = false;
    job.gangAttempt.reset();
  }
  completeGangIfDone(job);
  if (anyUnfinished) handleGangMemberLost(job);
  endIfFinished(job);
  if (anyReturned) requestRound(true);
}

}  // namespace cherryloft
