// Delegations: waiting tasks of a job that another shard places for the shard that owns the job (invariant
// 18).
//
// Used where a job can't be migrated whole: some of its tasks are placed or done, or it is a gang that no
// shard has room for alone. The owner keeps the job: it answers its users, writes its end, and counts what
// it delegated toward the team's limit and the zones' rules. The delegate places the tasks, in one zone
// where the job's rules ask for it, and gives back what is done, and what it finds no room for. Each step is
// one write of the job's record under its version.
#include <algorithm>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

constexpr Duration kReviewEvery{1'000};
constexpr Duration kOfferLifetime{3'000};
constexpr Duration kOfferInterval{1'000};  // so that one room is not offered to many
constexpr Duration kReturnsAfter{30'000};  // what found no room for so long goes back to the owner
constexpr std::uint32_t kMostDelegated = 64;
constexpr std::size_t kTaskBytes = 16;  // at most, of a task by itself in a list of a job's record

// Where its tasks may go depends on where its others are.
bool boundToZones(const JobSpec& spec) { return spec.spread || spec.oneZone; }

// In messages an empty name stands for any zone.
std::optional<Zone> zoneNamed(const std::string& name) {
  return name.empty() ? std::nullopt : std::optional(Zone{name});
}

}  // namespace

// --- the owner ---

void ShardScheduler::reviewDelegations(Time now) {
  if (now - delegationsReviewed_ < kReviewEvery) return;
  delegationsReviewed_ = now;
  std::erase_if(taskOffers_, [&](const auto& o) {
    return o.second.empty() || now - o.second.front().at > kOfferLifetime;
  });
  if (transferringTo_ || ownershipTransferSent_) return;
  mesh::TaskCapacityRequest wanted;
  wanted.shard = takeover_.shard.value;
  for (Job* job : oldestUnplaceable(false, now)) {
    if (migrationPlanned(job->id) || delegationWrites_.count(job->id) > 0) continue;
    bool parted = job->spec->kind == JobKind::Gang && job->remote > 0;
    if (parted) planRecall(*job);  // the members here found no room after all
    if (parted || planDelegations(*job, now))
      requestRound(false);
    else
      wanted.jobs.push_back(taskCapacityNeed(*job));
  }
  if (!wanted.jobs.empty()) callbacks_.requestTaskCapacity(wanted);
}

// How many of its tasks are to go, and how many of them each zone may take where that matters.
mesh::TaskCapacityNeed ShardScheduler::taskCapacityNeed(const Job& job) const {
  auto wanted = static_cast<std::uint32_t>(std::min<std::size_t>(job.waiting.size(), kMostDelegated));
  mesh::TaskCapacityNeed request{job.id.value, std::min(wanted, tasksWithinLimit(job)), {}};
  if (!boundToZones(*job.spec)) {
    request.zones.push_back({"", request.tasks});
    return request;
  }
  for (const auto& zone : settings_.zones) {
    std::uint32_t allowed = 0;
    while (allowed < request.tasks && constraints_.allowsZone(job, zone, allowed)) ++allowed;
    if (allowed > 0) request.zones.push_back({zone.value, allowed});
  }
  return request;
}

void ShardScheduler::handleTaskCapacityOffer(const mesh::TaskCapacityOffer& offer) {
  JobId id{offer.job};
  if (!loaded_ || !owns() || !state_.job(id) || offer.room.tasks == 0) return;
  auto& offers = taskOffers_[id];
  ShardId shard{offer.shard};
  std::erase_if(offers, [&](const ReceivedTaskOffer& o) { return o.shard == shard; });
  offers.push_back({shard, zoneNamed(offer.room.zone), offer.room.tasks, runtime_.now()});
}

// Hands tasks to those who offered room, the largest offer first. A gang goes only if all of it finds room,
// with what there is here.
bool ShardScheduler::planDelegations(Job& job, Time now) {
  auto found = taskOffers_.find(job.id);
  if (found == taskOffers_.end()) return false;
  auto offers = std::move(found->second);
  taskOffers_.erase(found);
  std::erase_if(offers, [&](const ReceivedTaskOffer& o) {
    return findDelegation(job.delegations, o.shard) || now - o.at > kOfferLifetime;
  });
  std::stable_sort(offers.begin(), offers.end(),
                   [](const ReceivedTaskOffer& a, const ReceivedTaskOffer& b) { return a.tasks > b.tasks; });
  bool gang = job.spec->kind == JobKind::Gang;
  auto here = gang ? capacityFor(job) : 0;
  auto left = static_cast<std::uint32_t>(job.waiting.size()) - here;
  if (!gang) left = std::min(left, tasksWithinLimit(job));
  if (gang && tasksWithinLimit(job) < job.waiting.size()) return false;
  if (gang) job.gangAttempt = attemptOf(takeover_.epoch, ++attempts_);
  for (const auto& offer : offers) {
    auto before = job.remote;
    delegate(job, offer, left);
    left -= job.remote - before;
    if (left == 0) break;
  }
  auto planned = delegationWrites_.find(job.id);
  bool any = planned != delegationWrites_.end();
  if (any && !(gang && left > 0)) {
    job.placedLast = now;  // the rest waits anew
    return true;
  }
  job.gangAttempt.reset();  // a try of its own, here or elsewhere, has an attempt of its own
  if (any) {
    undoPlan(job, planned->second.planned);
    delegationWrites_.erase(planned);
  }
  return false;
}

void ShardScheduler::delegate(Job& job, const ReceivedTaskOffer& offer, std::uint32_t most) {
  Delegation d{offer.shard, offer.zone, {}, job.gangAttempt};
  most = std::min({most, offer.tasks, kMostDelegated});
  while (d.tasks.size() < most && (!offer.zone || constraints_.allowsZone(job, *offer.zone))) {
    auto index = job.waiting.front();
    job.waiting.pop_front();
    state_.makeRemote(job, index, offer.zone);
    d.tasks.push_back(index);
  }
  if (d.tasks.empty()) return;
  std::sort(d.tasks.begin(), d.tasks.end());
  log_->info("job {}: {} tasks go to share {}", job.id.value, d.tasks.size(), offer.shard.value);
  auto& write = delegationWrites_[job.id];
  write.job = job.id;
  write.planned.push_back(std::move(d));
}

// A member of a gang is gone: the others can't go on without it, wherever they are.
void ShardScheduler::planRecall(Job& job) {
  if (std::exchange(job.recalling, true)) return;
  auto& write = delegationWrites_[job.id];
  write.job = job.id;
  write.recall = true;
}

// Of a gang whose members here are not placed a former owner may have tried some: it starts anew as a whole.
void ShardScheduler::resumeDelegations(Job& job) {
  if (job.delegation && job.delegation->recalled) recallDelegated(job);
  if (job.delegation || job.remote == 0 || job.spec->kind != JobKind::Gang) return;
  bool recalled = std::any_of(job.delegations.begin(), job.delegations.end(),
                              [](const Delegation& d) { return d.recalled; });
  if (recalled)
    job.recalling = true;
  else if (!job.waiting.empty())
    handleGangMemberLost(job);
}

void ShardScheduler::undoPlan(Job& job, const std::vector<Delegation>& planned) {
  for (const auto& d : planned)
    for (auto index : d.tasks) state_.remoteBack(job, index, d.zone, false);
  std::sort(job.waiting.begin(), job.waiting.end());
}

// Whatever the delegates give back, done or not, the record must stay within a value.
bool ShardScheduler::staysWithinValue(const wire::JobRecord& record) const {
  std::size_t tasks = 0;
  for (const auto& d : record.delegations) tasks += d.tasks.size();
  return wire::encodeJobRecord(record).size() + tasks * kTaskBytes <= settings_.valueBytes;
}

// The job's record as it is known, with the change; nothing while the cluster view lags behind our own
// writes.
std::optional<wire::JobRecord> ShardScheduler::recordWith(const Job& job,
                                                          const DelegationWrite& change) const {
  auto known = view_.jobs.find(job.id);
  bool current = known != view_.jobs.end() && known->second.version == job.version &&
                 known->second.status == JobStatus::Open;
  if (!current || !job.open() || !job.cancelWaiters.empty()) return std::nullopt;
  wire::JobRecord record{
      JobStatus::Open, takeover_.shard,   known->second.tasks,       job.submitted,
      *job.spec,       job.maxConcurrent, known->second.delegations, known->second.doneRemotely};
  record.delegations.insert(record.delegations.end(), change.planned.begin(), change.planned.end());
  if (change.recall)
    for (auto& d : record.delegations) d.recalled = true;
  // What pages tell by now.
  std::erase_if(record.doneRemotely, [&](auto index) {
    const auto& task = job.tasks[index];
    return task.doneCommitted && task.page != kNoPage;
  });
  return record;
}

void ShardScheduler::addDelegations(TransactionBuilder& transaction) {
  for (auto it = delegationWrites_.begin(); it != delegationWrites_.end();) {
    Job* job = state_.job(it->first);
    if (!job || !job->open()) {
      if (job) undoPlan(*job, it->second.planned);
      it = delegationWrites_.erase(it);
      continue;
    }
    auto record = recordWith(*job, it->second);
    wire::Write w{keys::job(job->id), record ? wire::encodeJobRecord(*record) : "", {}};
    bool mayGrow =
        record && (it->second.recall ? w.value->size() <= settings_.valueBytes : staysWithinValue(*record));
    if (!mayGrow || !transaction.add(std::move(w), job->version)) {
      if (it->second.recall) {
        ++it;  // its turn comes
        continue;
      }
      undoPlan(*job, it->second.planned);
      job->gangAttempt.reset();
      it = delegationWrites_.erase(it);
      continue;
    }
    commitInFlight_->delegated.push_back(std::move(it->second));
    it = delegationWrites_.erase(it);
  }
}

// The directory may have shown it before the answer came, and what the delegates wrote since.
void ShardScheduler::delegationsCommitted(const DelegationWrite& written, Version version) {
  Job* job = state_.job(written.job);
  if (!job || job->version >= version) return;
  job->version = version;
  job->delegations.insert(job->delegations.end(), written.planned.begin(), written.planned.end());
}

// What delegates gave back, done or not.
void ShardScheduler::ownedJobChanged(Job& job, const JobEntry& known) {
  if (known.status != JobStatus::Open || job.status != JobStatus::Open || job.version >= known.version)
    return;
  job.version = known.version;
  bool notDone = false, any = false;
  auto former = std::exchange(job.delegations, known.delegations);
  for (const auto& before : former) {
    const auto* now = findDelegation(known.delegations, before.shard);
    for (auto index : before.tasks) {
      if ((now && now->covers(index)) || job.tasks[index].state != TaskState::Remote) continue;
      bool done = std::binary_search(known.doneRemotely.begin(), known.doneRemotely.end(), index);
      state_.remoteBack(job, index, before.zone, done);
      if (done)
        unwrittenTasks_.push_back({job.id, index});  // for a page, so that the record need not keep it
      notDone |= !done;
      any = true;
    }
  }
  if (job.remote == 0) {
    job.recalling = false;
    job.gangAttempt.reset();
  }
  completeGangIfDone(job);
  if (notDone) handleGangMemberLost(job);
  endIfFinished(job);
  if (any) requestRound(true);
}

// --- the delegate ---

void ShardScheduler::handleTaskCapacityRequest(const mesh::TaskCapacityRequest& wanted) {
  auto now = runtime_.now();
  if (!loaded_ || !owns() || transferringTo_ || ownershipTransferSent_ ||
      now - taskCapacityOfferedAt_ < kOfferInterval)
    return;
  for (const auto& request : wanted.jobs) {
    JobId id{request.job};
    auto known = view_.jobs.find(id);
    bool theirs =
        known != view_.jobs.end() && known->second.shard == ShardId{wanted.shard} && known->second.spec;
    if (!theirs || known->second.status != JobStatus::Open || state_.job(id)) continue;
    Job probe;
    probe.id = id;
    probe.spec = known->second.spec;
    mesh::TaskCapacityOffer offer{takeover_.shard.value, wanted.shard, request.job, {}};
    for (const auto& [zone, tasks] : request.zones) {
      probe.delegation = Delegation{takeover_.shard, zoneNamed(zone), {}};
      auto room = std::min({capacityFor(probe), tasks, request.tasks});
      if (room > offer.room.tasks) offer.room = {zone, room};
    }
    if (offer.room.tasks == 0) continue;
    taskCapacityOfferedAt_ = now;
    return callbacks_.offerTaskCapacity(offer);
  }
}

Job& ShardScheduler::acceptDelegation(const JobId& id, const JobEntry& known, const Delegation& delegation) {
  auto& job = state_.addJob(id, known, &delegation);
  job.since = runtime_.now();
  delegatedHere_.insert(id);
  // A gang's attempt is tried once; whether a former owner of this shard did is not known.
  if (!loaded_ && delegation.attempt) job.begun = true;
  if (loaded_ && delegation.recalled) recallDelegated(job);  // else once what is placed is restored
  return job;
}

void ShardScheduler::delegatedJobChanged(const JobId& id, const JobEntry& known) {
  const auto* mine = findDelegation(known.delegations, takeover_.shard);
  Job* job = state_.job(id);
  if (!job) {
    auto returned = returnedAt_.find(id);
    bool cordoned = returned != returnedAt_.end() && known.version < returned->second;
    if (cordoned) return;
    if (returned != returnedAt_.end()) returnedAt_.erase(returned);
    if (!mine || known.status != JobStatus::Open || !known.spec) return;
    acceptDelegation(id, known, *mine);
    return requestRound(true);
  }
  if (!job->delegation || job->status != JobStatus::Open) return;
  job->version = std::max(job->version, known.version);
  if (known.status == JobStatus::Cancelled) {
    lastCancelled_ = std::max(lastCancelled_, known.version);
    cancelDelegated(*job);
  } else if (mine && mine->recalled) {
    recallDelegated(*job);
  }
}

// Nothing new is placed, and what is placed ends.
void ShardScheduler::recallDelegated(Job& job) {
  if (std::exchange(job.recalling, true)) return;
  job.notBefore = Time::max();
  std::set<MachineId> machines;
  stopTasks(job, machines);
  sendCommandsToAll(machines);
  requestRound(false);
}

void ShardScheduler::cancelDelegated(Job& job) {
  auto id = job.id;
  job.status = JobStatus::Cancelled;
  job.waiting.clear();
  std::set<MachineId> machines;
  stopTasks(job, machines);
  if (Job* left = state_.job(id)) cleanUp(*left);
  sendCommandsToAll(machines);
  requestRound(true);
}

// Tasks that go back to the owner: all that are not placed, once nothing is left to do, or once what waits
// found no room for long or is asked back. Of a gang, as soon as none is placed.
std::vector<std::uint32_t> ShardScheduler::returnable(const Job& job, Time now) const {
  bool over = job.placed == 0 && job.waiting.empty();
  bool inVain = now - std::max(job.since, job.placedLast) >= kReturnsAfter;
  bool gangEnded = job.delegation->attempt && job.begun && job.placed == 0;
  std::vector<std::uint32_t> tasks;
  if (!over && (job.waiting.empty() || !(inVain || job.recalling || gangEnded))) return tasks;
  for (auto index : job.delegation->tasks)
    if (!job.tasks[index].machine) tasks.push_back(index);
  return tasks;
}

bool ShardScheduler::anyReturnable(Time now) const {
  return std::any_of(delegatedHere_.begin(), delegatedHere_.end(), [&](const JobId& id) {
    auto job = state_.jobs().find(id);
    return job != state_.jobs().end() && job->second.status == JobStatus::Open &&
           !returnable(job->second, now).empty();
  });
}

void ShardScheduler::addReturns(TransactionBuilder& transaction) {
  for (const auto& id : delegatedHere_) {
    Job* job = state_.job(id);
    auto known = view_.jobs.find(id);
    bool current = job && known != view_.jobs.end() && known->second.version == job->version;
    if (!current || job->status != JobStatus::Open || known->second.status != JobStatus::Open) continue;
    auto tasks = returnable(*job, runtime_.now());
    if (tasks.empty()) continue;
    const auto& k = known->second;
    wire::JobRecord record{JobStatus::Open, k.shard,         k.tasks,       k.submitted,
                           *job->spec,      k.maxConcurrent, k.delegations, k.doneRemotely};
    DelegationReturn written{id, tasks, *job->delegation};
    std::erase_if(written.kept.tasks,
                  [&](auto index) { return std::binary_search(tasks.begin(), tasks.end(), index); });
    std::erase_if(record.delegations, [&](const auto& d) { return d.shard == takeover_.shard; });
    if (!written.kept.tasks.empty()) record.delegations.push_back(written.kept);
    for (auto index : tasks)
      if (job->tasks[index].state == TaskState::Done) record.doneRemotely.push_back(index);
    std::sort(record.doneRemotely.begin(), record.doneRemotely.end());
    wire::Write write{keys::job(id), wire::encodeJobRecord(record), {}};
    // One that was written under a larger limit waits until it has shrunk, or its job is over.
    if (write.value->size() > settings_.valueBytes) continue;
    if (!transaction.add(std::move(write), job->version)) return;
    commitInFlight_->returned.push_back(std::move(written));
  }
}

void ShardScheduler::returnCommitted(const DelegationReturn& written, Version version) {
  Job* job = state_.job(written.job);
  if (!job || job->status != JobStatus::Open) return;
  job->version = version;
  for (auto index : written.tasks) {
    auto& task = job->tasks[index];
    std::erase(job->waiting, index);
    if (task.state != TaskState::Waiting) continue;
    task.state = TaskState::Remote;
    ++job->remote;
  }
  job->delegation->tasks = written.kept.tasks;
  log_->info("job {}: {} tasks go back to its owner", written.job.value, written.tasks.size());
  if (!written.kept.tasks.empty()) return;
  returnedAt_[written.job] = version;
  delegatedHere_.erase(written.job);
  failures_.forget(written.job);
  state_.removeJob(written.job);
}

// A cancellation of a delegated job is confirmed by its owner, and we see it in the watch cache (invariant
// 16).
bool ShardScheduler::mayNotKnowCancellations(Time now) const {
  return !delegatedHere_.empty() && now >= store_.currentAsOf(keys::kJobs) + settings_.blindFor();
}

}  // namespace cherryloft
