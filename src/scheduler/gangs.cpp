// Gangs: jobs whose tasks all run at the same time, or none of them does (invariant 19).
//
// The members of a gang share one attempt. They are placed in one pass, all or none, and none is commanded
// before the attempt of every member is written. When one is lost the others are stopped, and the gang starts
// anew once nothing of the old attempt is left anywhere. One that is done proves all done.
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
  for (const auto& [_, machine] : *job.holders) {
    auto zone = zones.find(machine->zone());
    if (zone == zones.end() || !constraints_.allowsMachine(job, *machine)) continue;
    auto& members = zone->second.capacityWithImage;
    for (auto free = machine->free(); spec.each.fitsIn(free) && members < spec.tasks; free -= spec.each)
      ++members;
  }
  std::vector<policy::GangZoneCapacity> list;
  list.reserve(zones.size());
  for (const auto& [_, zone] : zones) list.push_back(zone);
  return list;
}

bool ShardScheduler::placeGang(Job& job) {
  if (job.placed > 0 || job.recalling) return true;  // what is left of an earlier try must go first
  if (job.delegation && job.begun) return true;      // its attempt was tried: it goes back to its owner
  if (!job.spec->oneZone) return placeAllMembers(job);
  for (const auto& zone : policy::rankZones(gangZoneCapacities(job), job.waiting.size())) {
    job.onlyZone = zone;
    bool placed = placeAllMembers(job);
    job.onlyZone.reset();
    if (placed) return true;
  }
  return false;
}

bool ShardScheduler::placeAllMembers(Job& job) {
  auto members = static_cast<unsigned>(job.waiting.size());
  auto placedLast = job.placedLast;
  bool begun = job.begun;
  auto unwrittenBefore = unwrittenTasks_.size();
  if (placeTasks(job, members) == members) return true;
  // Undo: the gang waits on as if it had not been tried.
  unwrittenTasks_.resize(unwrittenBefore);
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    if (Machine* machine = job.tasks[index].machine)
      state_.markGone(*machine, TaskId{job.id, index}, runtime_.now());
  std::sort(job.waiting.begin(), job.waiting.end());
  job.placedLast = placedLast;
  job.begun = begun;
  return false;
}

void ShardScheduler::handleGangMemberLost(Job& job) {
  if (!job.isGang() || job.status != JobStatus::Open || job.gangDone()) return;
  if (job.remote > 0 && !job.delegation) planRecall(job);
  // What the members did since the last checkpoint is lost with the one, so that they need not save.
  stopGang(job, GangCheckpoint::Skipped);
}

void ShardScheduler::stopGang(Job& job, GangCheckpoint checkpoint) {
  struct Member {
    MachineId machine;
    TaskId task;
  };
  std::vector<Member> members;  // before any is stopped, as that may change the job's tasks
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    if (const Machine* machine = job.tasks[index].machine)
      members.push_back({machine->id, TaskId{job.id, index}});
  std::set<MachineId> machinesToCommand;
  for (const auto& member : members) {
    Machine* machine = state_.machine(member.machine);
    auto placement = machine->placements.find(member.task);
    if (placement == machine->placements.end() || !placement->second.wanted) continue;
    if (checkpoint == GangCheckpoint::Skipped) placement->second.skipCheckpoint = true;
    stop(*machine, member.task, placement->second);
    machinesToCommand.insert(member.machine);
  }
  sendCommandsToAll(machinesToCommand);
}

void ShardScheduler::completeGangIfDone(Job& job) {
  if (job.gangDone()) ShardState::doneWaiting(job);
}

void ShardScheduler::restoreGang(Job& job) {
  completeGangIfDone(job);
  bool isPartlyPlaced = job.placed > 0 && !job.waiting.empty();
  if (isPartlyPlaced) handleGangMemberLost(job);
}

}  // namespace cherryloft
