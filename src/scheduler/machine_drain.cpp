// Draining and decommissioning of the shard's machines: the leader's directives, and how a draining machine
// is emptied.
#include <algorithm>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {

void ShardScheduler::handleDirective(const mesh::MachineDirective& directive) {
  Machine* machine = state_.machine(MachineId{directive.machine});
  if (!loaded_ || !owns() || !machine || machine->decommissioning) return;
  switch (directive.kind) {
    case mesh::MachineDirective::Keep:
      machine->draining = false;
      state_.reindex(*machine);
      requestPlacementRound(true);
      return;
    case mesh::MachineDirective::Drain:
      machine->draining = true;
      state_.reindex(*machine);
      return;
    case mesh::MachineDirective::MoveAfterDrain:
      if (machine->replicaCores > 0) return;
      decommission(*machine, static_cast<std::int32_t>(directive.toShard));
      return;
    case mesh::MachineDirective::Move:
      if (!machine->placements.empty()) return;
      // A faulty machine is often idle, and must not be moved between shards before its failures have been
      // attributed to it.
      if (failures_.hasUnattributedFailure(machine->id, runtime_.now())) return;
      decommission(*machine, static_cast<std::int32_t>(directive.toShard));
      return;
    default:
      if (machine->placements.empty()) decommission(*machine, kMoveToCloud);
  }
}

// The machine takes no new work and, once it is empty, is moved to that shard or returned to the cloud.
void ShardScheduler::decommission(Machine& machine, std::int32_t moveTarget) {
  machine.decommissioning = true;
  machine.moveTarget = moveTarget;
  state_.reindex(machine);
}

// The machine's service replicas, or nullopt unless all of them can move to machines that already have their
// image, so that they restart without delay.
std::optional<std::vector<TaskId>> ShardScheduler::movableReplicas(const Machine& machine) const {
  ReplicaMoves moves;
  std::vector<TaskId> movable;
  for (const auto& [task, placement] : machine.placements) {
    const Job& job = *placement.job;
    if (job.spec->kind != JobKind::Service) continue;
    const Machine* target = targetForReplica(job, machine, moves);
    if (!target) return std::nullopt;
    moves.freeAfterwards[target->no] -= job.spec->each;
    if (target->zone() != machine.zone()) ++moves.intoZone[{&job, target->zone()}];
    movable.push_back(task);
  }
  return movable;
}

// A machine with the job's image that can take one more replica from `from` in addition to the planned moves.
const Machine* ShardScheduler::targetForReplica(const Job& job, const Machine& from,
                                                ReplicaMoves& moves) const {
  unsigned examined = 0;
  for (const auto& [number, candidate] : *job.imageHolders) {
    if (candidate == &from || !candidate->open()) continue;
    ++examined;
    if (examined > settings_.tuning.sampleSize) continue;
    auto free = moves.freeAfterwards.try_emplace(number, candidate->free()).first->second;
    // A move within a zone does not affect the zone constraints; a move to another zone must satisfy them.
    bool zoneFits =
        candidate->zone() == from.zone() ||
        constraints_.allowsZone(job, candidate->zone(), moves.intoZone[{&job, candidate->zone()}]);
    if (job.spec->each.fitsIn(free) && constraints_.allowsMachineIgnoringZone(job, *candidate) && zoneFits)
      return candidate;
  }
  return nullptr;
}

// Batch tasks are left to complete; then the service replicas are moved. Once the machine is empty, the
// leader decides where it goes.
void ShardScheduler::advanceDrain(Machine& machine) {
  if (!machine.draining || machine.decommissioning || machine.placements.empty()) return;
  bool onlyReplicas =
      std::all_of(machine.placements.begin(), machine.placements.end(), [](const auto& entry) {
        const Placement& placement = entry.second;
        return placement.job->spec->kind == JobKind::Service && placement.desired;
      });
  if (!onlyReplicas) return;
  auto replicas = movableReplicas(machine);
  if (!replicas) {
    machine.draining = false;
    state_.reindex(machine);
    return;
  }
  log_->info("draining machine: moving its replicas: machine={} replicas={}", machine.id.value,
             replicas->size());
  for (const auto& task : *replicas) {
    auto placement = machine.placements.find(task);
    if (placement != machine.placements.end()) stop(machine, task, placement->second);
  }
  sendCommands(machine);
}

}  // namespace cherryloft
