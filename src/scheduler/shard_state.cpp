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
  Resources freed;
  for (const auto& [_, placement] : placements)
    if (!placement.desired) freed += placement.job->spec->each;
  return freed;
}

// --- jobs ---

Job& ShardState::addJob(const JobId& id, const JobEntry& entry, const Delegation* delegation) {
  auto& job = jobs_[id];
  job.id = id;
  job.spec = entry.spec;
  job.team = settings_.team(job.spec->team);
  job.imageHolders = &imageHolders_[job.spec->image];
  job.version = entry.version;
  job.submitted = entry.submitted;
  job.status = entry.status;
  job.tasks.assign(entry.tasks, Task{});
  jobsByTeam_[job.spec->team][{job.submitted, id}] = &job;
  if (delegation)
    addDelegatedTasks(job, *delegation);
  else
    addOwnTasks(job, entry);
  if (job.status != JobStatus::Open) return job;
  for (std::uint32_t index = 0; index < entry.tasks; ++index)
    if (job.tasks[index].state == TaskState::Waiting) job.waiting.push_back(index);
  return job;
}

void ShardState::addOwnTasks(Job& job, const JobEntry& entry) {
  job.maxConcurrent = entry.maxConcurrent;
  job.delegations = entry.delegations;
  for (const auto& delegation : entry.delegations)
    for (auto index : delegation.tasks)
      if (index < job.tasks.size()) markRemote(job, index, delegation.zone);
  for (auto index : entry.doneRemotely) {
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

void ShardState::markRemote(Job& job, std::uint32_t index, const std::optional<Zone>& zone) {
  job.tasks[index].state = TaskState::Remote;
  ++job.remote;
  if (zone) ++job.zones[*zone];
  usageByTeam_[job.spec->team] += job.spec->each;
}

void ShardState::takeBackRemote(Job& job, std::uint32_t index, const std::optional<Zone>& zone, bool done) {
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
  jobsByTeam_[job.spec->team].erase({job.submitted, id});
  jobs_.erase(found);
}

Job* ShardState::job(const JobId& id) {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

// --- machines ---

Machine& ShardState::addMachine(const MachineId& id, const MachineEntry& entry, const MachineType* type,
                                Time now) {
  auto& machine = machines_[id];
  machine.id = id;
  machine.no = ++lastMachineNo_;
  machine.known = entry;
  machine.address = entry.record.address;
  if (type) {
    machine.size = type->size;
    machine.fetchGbPerS = type->fetchGbPerS;
    machine.images = ImageCache(type->cacheGb);
  }
  machine.pool = &poolFor(machine);
  ++machine.pool->machines;
  machine.lastHeartbeatAt = now;
  machine.lastReportAt = now;
  machine.idleSince = now;
  return machine;
}

MachinePool& ShardState::poolFor(const Machine& machine) {
  const auto& record = machine.known.record;
  auto found = std::find_if(pools_.begin(), pools_.end(), [&](const MachinePool& pool) {
    return pool.type == record.type && pool.zone == record.zone && pool.spot == record.spot;
  });
  if (found != pools_.end()) return *found;
  MachinePool pool;
  pool.type = record.type;
  pool.zone = record.zone;
  pool.spot = record.spot;
  pool.size = machine.size;
  pool.cacheGb = machine.images.capacityGb();
  pool.fetchGbPerS = machine.fetchGbPerS;
  return pools_.emplace_back(std::move(pool));
}

void ShardState::setMachineType(Machine& machine, const MachineType& type) {
  machine.size = type.size;
  machine.fetchGbPerS = type.fetchGbPerS;
  machine.images = ImageCache(type.cacheGb);
  machine.pool->size = machine.size;
  machine.pool->cacheGb = type.cacheGb;
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
  for (auto& [_, imageHolders] : imageHolders_) imageHolders.erase(machine.no);
  machines_.erase(found);
}

Machine* ShardState::machine(const MachineId& id) {
  auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

void ShardState::reindex(Machine& machine) {
  std::optional<double> freeCores;  // nothing: the machine must not be in the index
  if (machine.open()) freeCores = machine.free().cores;
  if (machine.indexedFreeCores == freeCores) return;
  auto& index = machine.pool->byFreeCores;
  if (machine.indexedFreeCores) index.erase({*machine.indexedFreeCores, machine.no});
  if (freeCores) index[{*freeCores, machine.no}] = &machine;
  if (!machine.indexedFreeCores) {
    machine.openIndex = openMachines_.size();
    openMachines_.push_back(&machine);
  } else if (!freeCores) {
    // Swap-and-pop removal.
    openMachines_[machine.openIndex] = openMachines_.back();
    openMachines_[machine.openIndex]->openIndex = machine.openIndex;
    openMachines_.pop_back();
  }
  machine.indexedFreeCores = freeCores;
}

void ShardState::recordImageUse(Machine& machine, const ImageId& image, double sizeGb) {
  for (const auto& evicted : machine.images.touch(image, sizeGb)) imageHolders_[evicted].erase(machine.no);
  imageHolders_[image][machine.no] = &machine;
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
  job.started = true;
  job.lastPlacedAt = now;
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
  if (released.phase == wire::TaskPhase::Running && released.observed) --job.running;
  job.tasks[id.index].machine = nullptr;
  machine.placements.erase(placement);
  if (machine.placements.empty()) {
    // Resets the sums, which rounding errors may have left slightly off zero.
    machine.used = {};
    machine.replicaCores = 0;
    machine.idleSince = now;
  }
  reindex(machine);
}

void ShardState::requeueLostTask(Machine& machine, const TaskId& task, Time now) {
  auto placement = machine.placements.find(task);
  if (placement == machine.placements.end()) return;
  Job& job = *placement->second.job;
  if (placement->second.observed && machine.spot()) ++job.lost;
  release(machine, placement, now);
  auto& lostTask = job.tasks[task.index];
  lostTask.state = TaskState::Waiting;
  detachFromPage(lostTask);
  // Tasks that ran before are placed ahead of those that never ran.
  job.waiting.push_front(task.index);
}

void ShardState::markTaskDone(Machine& machine, const TaskId& task, Time now) {
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

void ShardState::markWaitingDone(Job& job) {
  for (auto index : job.waiting) job.tasks[index].state = TaskState::Done;
  job.done += static_cast<std::uint32_t>(job.waiting.size());
  job.waiting.clear();
}

void ShardState::setPhase(Placement& placement, wire::TaskPhase phase, Time now) {
  using wire::TaskPhase;
  bool wasRunning = placement.observed && placement.phase == TaskPhase::Running;
  bool isRunning = phase == TaskPhase::Running;
  if (isRunning && !wasRunning) {
    ++placement.job->running;
    placement.runningSince = now;
  }
  if (wasRunning && !isRunning) --placement.job->running;
  placement.observed = true;
  placement.phase = phase;
}

// --- quotas ---

Resources ShardState::teamUsage(const TeamId& team) const {
  auto usage = usageByTeam_.find(team);
  return usage == usageByTeam_.end() ? Resources{} : usage->second;
}

bool ShardState::withinLimit(const Job& job) const {
  if (!job.team) return false;
  if (job.delegation) return true;  // the owner's shard enforces the quota (invariant 18)
  if (job.maxConcurrent)
    return job.placed + job.remote <
           *job.maxConcurrent;  // the team's own shard enforces the quota (invariant 17)
  auto sum = teamUsage(job.spec->team) + job.spec->each;
  sum.ram = 0;
  return sum.fitsIn({job.team->coreQuota, job.team->gpuQuota, 0});
}

bool ShardState::aboveGuarantee(const Team& team) const {
  return teamUsage(team.name).cores > team.cores + kResourceTolerance;
}

bool ShardState::mayPreempt(PriorityClass claimant, bool guaranteed) const {
  auto claimantLevel = static_cast<std::size_t>(claimant);
  for (std::size_t lower = 0; lower < claimantLevel; ++lower)
    if (usedByPriority_[lower] > kResourceTolerance) return true;
  if (!guaranteed || usedByPriority_[claimantLevel] <= kResourceTolerance) return false;
  return std::any_of(jobsByTeam_.begin(), jobsByTeam_.end(), [&](const auto& jobsOfTeam) {
    const Team* team = settings_.team(jobsOfTeam.first);
    return team && aboveGuarantee(*team);
  });
}

}  // namespace cherryloft
