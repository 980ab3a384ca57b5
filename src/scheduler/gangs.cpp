// Gang scheduling: all tasks of a gang run at the same time, or none does (invariant 19).
//
// The members of a gang share one attempt. They are placed in one pass, all or none, and no start command is
// sent before the attempt of every member is committed. When a member is lost, the others are stopped, and
// the gang restarts once no task of the old attempt remains. Members complete together: one completed member
// means that all are.
#include <algorithm>

#include "policy/gang.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {

std::vector<policy::GangZoneCapacity> ShardScheduler::gangZoneCapacities(const Job& job) const {
  const auto& spec = *job.spec;
  std::map<Zone, policy::GangZoneCapacity> zones;
  for (const auto& [zone, capacity] : capacityByZone(job)) zones[zone] = {zone, capacity, 0, spec.imageGb};
  for (const auto& pool : state_.pools()) {
    auto zone = zones.find(pool.zone);
    if (zone == zones.end() || !constraints_.allowsPool(job, pool) || pool.fetchGbPerS <= 0) continue;
    bool fits = pool.hasCapacity(spec.each, settings_.tuning.sampleSize, [](const Machine&) { return true; });
    if (fits)
      zone->second.fetchSeconds = std::min(zone->second.fetchSeconds, spec.imageGb / pool.fetchGbPerS);
  }
  for (const auto& [_, machine] : *job.imageHolders) {
    auto zone = zones.find(machine->zone());
    if (zone == zones.end() || !constraints_.allowsMachine(job, *machine)) continue;
    auto& fitting = zone->second.capacityWithImage;
    for (auto free = machine->free(); spec.each.fitsIn(free) && fitting < spec.tasks; free -= spec.each)
      ++fitting;
  }
  std::vector<policy::GangZoneCapacity> result;
  result.reserve(zones.size());
  for (const auto& [_, zone] : zones) result.push_back(zone);
  return result;
}

bool ShardScheduler::placeGang(Job& job) {
  if (job.placed > 0 || job.recalling) return true;  // tasks of an earlier attempt must end first
  if (job.delegation && job.started) return true;    // its attempt was used up: it returns to the owner shard
  if (!job.spec->oneZone) return placeAllMembers(job);
  for (const auto& zone : policy::rankZones(gangZoneCapacities(job), job.waiting.size())) {
    job.requiredZone = zone;
    bool placed = placeAllMembers(job);
    job.requiredZone.reset();
    if (placed) return true;
  }
  return false;
}

bool ShardScheduler::placeAllMembers(Job& job) {
  auto members = static_cast<unsigned>(job.waiting.size());
  auto lastPlacedAt = job.lastPlacedAt;
  bool started = job.started;
  auto unwrittenBefore = unwrittenTasks_.size();
  if (placeTasks(job, members) == members) return true;
  // Rolls back: the gang keeps waiting as if it had not been tried.
  unwrittenTasks_.resize(unwrittenBefore);
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    if (Machine* machine = job.tasks[index].machine)
      state_.requeueLostTask(*machine, TaskId{job.id, index}, runtime_.now());
  std::sort(job.waiting.begin(), job.waiting.end());
  job.lastPlacedAt = lastPlacedAt;
  job.started = started;
  return false;
}

void ShardScheduler::handleGangMemberLost(Job& job) {
  if (!job.isGang() || job.status != JobStatus::Open || job.gangDone()) return;
  if (job.remote > 0 && !job.delegation) taskDelegation_.planRecall(job);
  // The progress since the last checkpoint is lost along with the lost member: a final checkpoint is useless.
  stopGang(job, GangCheckpoint::Skipped);
}

void ShardScheduler::stopGang(Job& job, GangCheckpoint checkpoint) {
  struct Member {
    MachineId machine;
    TaskId task;
  };
  std::vector<Member> members;  // collected first, as stopping a member may change the job's tasks
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    if (const Machine* machine = job.tasks[index].machine)
      members.push_back({machine->id, TaskId{job.id, index}});
  std::set<MachineId> machinesToCommand;
  for (const auto& member : members) {
    Machine* machine = state_.machine(member.machine);
    auto placement = machine->placements.find(member.task);
    if (placement == machine->placements.end() || !placement->second.desired) continue;
    if (checkpoint == GangCheckpoint::Skipped) placement->second.skipCheckpoint = true;
    stop(*machine, member.task, placement->second);
    machinesToCommand.insert(member.machine);
  }
  sendCommandsToAll(machinesToCommand);
}

void ShardScheduler::completeGangIfDone(Job& job) {
  if (job.gangDone()) ShardState::markWaitingDone(job);
}

void ShardScheduler::restoreGang(Job& job) {
  completeGangIfDone(job);
  bool isPartlyPlaced = job.placed > 0 && !job.waiting.empty();
  if (isPartlyPlaced) handleGangMemberLost(job);
}

}  // namespace cherryloft
