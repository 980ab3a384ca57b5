#include "scheduler/shard_state.h"

#include <algorithm>
#include <utility>

namespace cherryloft {

Placement* Machine::placementOf(const wire::ReportedTask& reported) {
  auto found = placements.find(reported.task);
  bool sameAttempt = found != placements.end() && found->second.attempt == reported.attempt;
  return sameAttempt ? &found->second : nullptr;
}

bool Machine::anyPending() const {
  return std::any_of(placements.begin(), placements.end(),
                     [](const auto& entry) { return entry.second.pending(); });
}

Resources Machine::capacityBeingFreed() const {
  Resources r;
  for (const auto& [_, p] : placements)
    if (!p.wanted) r += p.job->spec->each;
  return r;
}

// --- jobs ---

Job& ShardState::addJob(const JobId& id, const JobEntry& known, const Delegation* delegation) {
  auto& job = jobs_[id];
  job.id = id;
  job.spec = known.spec;
  job.team = settings_.team(job.spec->team);
  job.holders = &holders_[job.spec->image];
  job.version = known.version;
  job.submitted = known.submitted;
  job.status = known.status;
  job.tasks.assign(known.tasks, Task{});
  byTeam_[job.spec->team][{job.submitted, id}] = &job;
  if (delegation)
    addDelegatedTasks(job, *delegation);
  else
    addOwnTasks(job, known);
  if (job.status != JobStatus::Open) return job;
  for (std::uint32_t index = 0; index < known.tasks; ++index)
    if (job.tasks[index].state == TaskState::Waiting) job.waiting.push_back(index);
  return job;
}

void ShardState::addOwnTasks(Job& job, const JobEntry& known) {
  job.maxConcurrent = known.maxConcurrent;
  job.delegations = known.delegations;
  for (const auto& delegation : known.delegations)
    for (auto index : delegation.tasks)
      if (index < job.tasks.size()) makeRemote(job, index, delegation.zone);
  for (auto index : known.doneRemotely) {
    if (index >= job.tasks.size() || job.tasks[index].state != TaskState::Waiting) continue;
    job.tasks[index].state = TaskState::Done;
    job.tasks[index].doneCommitted = true;
    ++job.done;
  }
}

void ShardState::addDelegatedTasks(Job& job, const Delegation& delegation) {
  job.delegation = delegation;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    if (delegation.contains(index)) continue;
    job.tasks[index].state = TaskState::Remote;
    ++job.remote;
  }
}

void ShardState::makeRemote(Job& job, std::uint32_t index, const std::optional<Zone>& zone) {
  job.tasks[index].state = TaskState::Remote;
  ++job.remote;
  if (zone) ++job.zones[*zone];
  usageByTeam_[job.spec->team] += job.spec->each;
}

void ShardState::remoteBack(Job& job, std::uint32_t index, const std::optional<Zone>& zone, bool done) {
  --job.remote;
  if (zone) {
    auto count = job.zones.find(*zone);
    if (--count->second == 0) job.zones.erase(count);
  }
  usageByTeam_[job.spec->team] -= job.spec->each;
  auto& task = job.tasks[index];
  task.state = done ? TaskState::Done : TaskState::Waiting;
  if (done)
    ++job.done;
  else
    job.waiting.push_back(index);
}

void ShardState::removeJob(const JobId& id) {
  auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  auto& job = found->second;
  for (auto& task : job.tasks) detachFromPage(task);
  byTeam_[job.spec->team].erase({job.submitted, id});
  jobs_.erase(found);
}

Job* ShardState::job(const JobId& id) {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

// --- machines ---

Machine& ShardState::addMachine(const MachineId& id, const MachineEntry& known, const MachineType* type,
                                Time now) {
  auto& machine = machines_[id];
  machine.id = id;
  machine.no = ++machineCount_;
  machine.known = known;
  machine.address = known.record.address;
  if (type) {
    machine.size = type->size;
    machine.fetchGbPerS = type->fetchGbPerS;
    machine.images = ImageCache(type->cacheGb);
  }
  machine.pool = &poolFor(machine);
  ++machine.pool->machines;
  machine.lastHeard = now;
  machine.idleSince = now;
  return machine;
}

Pool& ShardState::poolFor(const Machine& machine) {
  const auto& record = machine.known.record;
  auto found = std::find_if(pools_.begin(), pools_.end(), [&](const Pool& pool) {
    return pool.type == record.type && pool.zone == record.zone && pool.spot == record.spot;
  });
  if (found != pools_.end()) return *found;
  Pool pool;
  pool.type = record.type;
  pool.zone = record.zone;
  pool.spot = record.spot;
  pool.size = machine.size;
  pool.fetchGbPerS = machine.fetchGbPerS;
  return pools_.emplace_back(std::move(pool));
}

void ShardState::learnType(Machine& machine, const MachineType& type) {
  machine.size = type.size;
  machine.fetchGbPerS = type.fetchGbPerS;
  machine.images = ImageCache(type.cacheGb);
  machine.pool->size = machine.size;
  machine.pool->fetchGbPerS = machine.fetchGbPerS;
  reindex(machine);
}

void ShardState::removeMachine(const MachineId& id) {
  auto found = machines_.find(id);
  if (found == machines_.end()) return;
  auto& machine = found->second;
  machine.decommissioning = true;
  reindex(machine);
  --machine.pool->machines;
  for (auto& [_, holders] : holders_) holders.erase(machine.no);
  machines_.erase(found);
}

Machine* ShardState::machine(const MachineId& id) {
  auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

void ShardState::reindex(Machine& machine) {
  std::optional<double> freeCores;  // nothing: it is not to be in the index
  if (machine.open()) freeCores = machine.free().cores;
  if (machine.indexedFree == freeCores) return;
  auto& index = machine.pool->byFreeCores;
  if (machine.indexedFree) index.erase({*machine.indexedFree, machine.no});
  if (freeCores) index[{*freeCores, machine.no}] = &machine;
  if (!machine.indexedFree) {
    machine.openAt = open_.size();
    open_.push_back(&machine);
  } else if (!freeCores) {
    // The last one takes its place.
    open_[machine.openAt] = open_.back();
    open_[machine.openAt]->openAt = machine.openAt;
    open_.pop_back();
  }
  machine.indexedFree = freeCores;
}

void ShardState::cached(Machine& machine, const ImageId& image, double sizeGb) {
  for (const auto& evicted : machine.images.touch(image, sizeGb)) holders_[evicted].erase(machine.no);
  holders_[image][machine.no] = &machine;
}

// --- placements ---

Placement& ShardState::place(Job& job, std::uint32_t index, Machine& machine, Attempt attempt, Time now) {
  auto& placement = machine.placements[TaskId{job.id, index}];
  placement.job = &job;
  placement.attempt = attempt;
  placement.placedAt = now;
  const auto& spec = *job.spec;
  machine.used += spec.each;
  if (spec.kind == JobKind::Service) machine.replicaCores += spec.each.cores;
  usageByTeam_[spec.team] += spec.each;
  usedByPriority_[static_cast<std::size_t>(spec.priority)] += spec.each.cores;
  ++job.zones[machine.zone()];
  auto& task = job.tasks[index];
  task.state = TaskState::Placed;
  task.machine = &machine;
  ++job.placed;
  job.begun = true;
  job.placedLast = now;
  reindex(machine);
  return placement;
}

void ShardState::release(Machine& machine, std::map<TaskId, Placement>::iterator placement, Time now) {
  const auto& [id, released] = *placement;
  Job& job = *released.job;
  const auto& spec = *job.spec;
  machine.used -= spec.each;
  if (spec.kind == JobKind::Service) machine.replicaCores -= spec.each.cores;
  usageByTeam_[spec.team] -= spec.each;
  usedByPriority_[static_cast<std::size_t>(spec.priority)] -= spec.each.cores;
  auto zone = job.zones.find(machine.zone());
  if (--zone->second == 0) job.zones.erase(zone);
  --job.placed;
  if (released.committed) --job.committed;
  if (released.phase == wire::TaskPhase::Running && released.shown) --job.running;
  job.tasks[id.index].machine = nullptr;
  machine.placements.erase(placement);
  if (machine.placements.empty()) {
    // Sums of what was taken and given back differ from nothing by rounding.
    machine.used = {};
    machine.replicaCores = 0;
    machine.idleSince = now;
  }
  reindex(machine);
}

void ShardState::markGone(Machine& machine, const TaskId& task, Time now) {
  auto placement = machine.placements.find(task);
  if (placement == machine.placements.end()) return;
  Job& job = *placement->second.job;
  if (placement->second.shown && machine.spot()) ++job.lost;
  release(machine, placement, now);
  auto& lost = job.tasks[task.index];
  lost.state = TaskState::Waiting;
  detachFromPage(lost);
  // What was running before comes before what never ran.
  job.waiting.push_front(task.index);
}

void ShardState::taskDone(Machine& machine, const TaskId& task, Time now) {
  auto placement = machine.placements.find(task);
  if (placement == machine.placements.end()) return;
  Job& job = *placement->second.job;
  release(machine, placement, now);
  job.tasks[task.index].state = TaskState::Done;
  ++job.done;
}

void ShardState::commit(Placement& placement) {
  if (placement.committed) return;
  placement.committed = true;
  ++placement.job->committed;
}

void ShardState::doneWaiting(Job& job) {
  for (auto index : job.waiting) job.tasks[index].state = TaskState::Done;
  job.done += static_cast<std::uint32_t>(job.waiting.size());
  job.waiting.clear();
}

void ShardState::setPhase(Placement& placement, wire::TaskPhase phase, Time now) {
  using wire::TaskPhase;
  bool ranBefore = placement.shown && placement.phase == TaskPhase::Running;
  bool runsNow = phase == TaskPhase::Running;
  if (runsNow && !ranBefore) {
    ++placement.job->running;
    placement.runningSince = now;
  }
  if (ranBefore && !runsNow) --placement.job->running;
  placement.shown = true;
  placement.phase = phase;
}

// --- quotas ---

Resources ShardState::teamUse(const TeamId& team) const {
  auto usage = usageByTeam_.find(team);
  return usage == usageByTeam_.end() ? Resources{} : usage->second;
}

bool ShardState::withinLimit(const Job& job) const {
  if (!job.team) return false;
  if (job.delegation) return true;  // the owner's shard counts it (invariant 18)
  if (job.maxConcurrent)
    return job.placed + job.remote < *job.maxConcurrent;  // its team's own shard counts it (invariant 17)
  auto sum = teamUse(job.spec->team) + job.spec->each;
  sum.ram = 0;
  return sum.fitsIn({job.team->coreQuota, job.team->gpuQuota, 0});
}

bool ShardState::aboveGuarantee(const Team& team) const {
  return teamUse(team.name).cores > team.cores + kResourceTolerance;
}

bool ShardState::mayPreempt(PriorityClass claimant, bool guaranteed) const {
  auto own = static_cast<std::size_t>(claimant);
  for (std::size_t lower = 0; lower < own; ++lower)
    if (usedByPriority_[lower] > kResourceTolerance) return true;
  if (!guaranteed || usedByPriority_[own] <= kResourceTolerance) return false;
  return std::any_of(byTeam_.begin(), byTeam_.end(), [&](const auto& jobsOfTeam) {
    const Team* team = settings_.team(jobsOfTeam.first);
    return team && aboveGuarantee(*team);
  });
}

}  // namespace cherryloft
