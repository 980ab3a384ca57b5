// Gangs: jobs whose tasks all run at the same time, or none of them does.
//
// The members of a gang shard one attempt. They are placed in one pass, all or none, and none is commanded
// before the attempt of every member is written. When one is lost the others are stopped, and the gang starts
// anew once nothing of the old attempt is left anywhere. What is done is done by all.
#include <algorithm>

#include "policy/gang.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {

// What each zone that the gang may be in has for it.
std::vector<policy::GangZone> ShardScheduler::gangZones(const Job& job) const {
  const auto& spec = *job.spec;
  std::map<Zone, policy::GangZone> zones;
  for (const auto& [zone, room] : capacityByZone(job)) zones[zone] = {zone, room, 0, spec.imageGb};
  for (const auto& pool : state_.pools()) {
    auto zone = zones.find(pool.zone);
    if (zone == zones.end() || !allowedIn(job, pool) || pool.fetchGbPerS <= 0) continue;
    bool fits = pool.hasCapacity(spec.each, settings_.tuning.sampleSize, [](const Machine&) { return true; });
    if (fits) zone->second.fetchS = std::min(zone->second.fetchS, spec.imageGb / pool.fetchGbPerS);
  }
  for (const auto& [_, machine] : *job.holders) {
    auto zone = zones.find(machine->zone());
    if (zone == zones.end() || !allowed(job, *machine)) continue;
    auto& room = zone->second.roomOnHolders;
    for (auto free = machine->free(); spec.each.fitsIn(free) && room < spec.tasks; free -= spec.each) ++room;
  }
  std::vector<policy::GangZone> list;
  list.reserve(zones.size());
  for (auto& [_, zone] : zones) list.push_back(zone);
  return list;
}

// Machines for all its members in one pass, or none of them. False: it is blocked.
bool ShardScheduler::placeGang(Job& job) {
  if (job.placed > 0 || job.recalling) return true;  // what is left of an earlier try must go first
  if (job.delegation && job.begun) return true;      // its attempt was tried: it goes back to its owner
  if (!job.spec->oneZone) return placeWhole(job);
  for (const auto& zone : policy::zonesToTry(gangZones(job), job.waiting.size())) {
    job.onlyZone = zone;
    bool placed = placeWhole(job);
    job.onlyZone.reset();
    if (placed) return true;
  }
  return false;
}

bool ShardScheduler::placeWhole(Job& job) {
  auto all = static_cast<unsigned>(job.waiting.size());
  auto placedLast = job.placedLast;
  bool begun = job.begun;
  auto before = unwrittenTasks_.size();
  if (placeTasks(job, all) == all) return true;
  unwrittenTasks_.resize(before);
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    if (Machine* h = job.tasks[i].machine) state_.markGone(*h, TaskId{job.id, i}, runtime_.now());
  std::sort(job.waiting.begin(), job.waiting.end());
  job.placedLast = placedLast;  // it waits on
  job.begun = begun;
  return false;
}

// A member is gone: the others can't go on without it and start anew with it. What they did since the last
// checkpoint is lost with it, so that they need not try to save.
void ShardScheduler::gangBroken(Job& job) {
  if (!job.isGang() || job.status != JobStatus::Open || job.gangDone()) return;
  if (job.remote > 0 && !job.delegation) planRecall(job);
  stopGang(job, true);
}

// One decision stops all members: a save succeeds only if each is told soon after the first.
void ShardScheduler::stopGang(Job& job, bool skipCheckpoint) {
  std::vector<std::pair<MachineId, TaskId>> members;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    if (const Machine* h = job.tasks[i].machine) members.emplace_back(h->id, TaskId{job.id, i});
  std::set<MachineId> on;
  for (const auto& [id, task] : members) {
    Machine* h = state_.machine(id);
    auto member = h->placements.find(task);
    if (member == h->placements.end() || !member->second.wanted) continue;
    member->second.skipCheckpoint |= skipCheckpoint;
    stop(*h, task, member->second);
    on.insert(id);
  }
  sendCommandsToAll(on);
}

// Members complete together: once one is known to be done, so is what is known gone of the others.
void ShardScheduler::settleDoneGang(Job& job) {
  if (job.gangDone()) ShardState::doneWaiting(job);
}

// A former owner wrote some members only, or lost one: what there is ends, and the gang starts as a whole.
void ShardScheduler::restoreGang(Job& job) {
  settleDoneGang(job);
  if (job.placed > 0 && !job.waiting.empty()) gangBroken(job);
}

// The least costly way to make room for all members, in one zone if they must be in one; nothing if there is
// none.
std::optional<std::vector<ShardScheduler::PlannedEviction>> ShardScheduler::planEvictionsForGang(
    const Ranked& blocked, const std::vector<Machine*>& sampled, const CapacityForecast& room) const {
  const Job& job = *blocked.job;
  // By zone, or all together.
  std::map<Zone, std::vector<Machine*>> choices;
  for (Machine* h : sampled) choices[job.spec->oneZone ? h->zone() : Zone{}].push_back(h);
  std::optional<std::vector<PlannedEviction>> best;
  double least = 0;
  for (const auto& [_, machines] : choices) {
    auto plan = planEvictionsOn(blocked, machines, room);
    double lost = 0;
    if (plan)
      for (const auto& eviction : *plan) lost += eviction.lost;
    if (plan && (!best || lost < least)) best = std::move(plan), least = lost;
  }
  return best;
}

// Room for all members on these machines.
std::optional<std::vector<ShardScheduler::PlannedEviction>> ShardScheduler::planEvictionsOn(
    const Ranked& blocked, const std::vector<Machine*>& machines, CapacityForecast room) const {
  std::vector<PlannedEviction> plan;
  std::set<TaskId> taken;
  for (std::size_t n = 0; n < blocked.job->waiting.size(); ++n) {
    auto eviction = cheapestEviction(*blocked.job, blocked.c.guaranteed, machines, room, taken);
    if (!eviction) return std::nullopt;
    auto& left = room.of(*eviction->machine);
    for (const auto& task : eviction->victims) {
      taken.insert(task);
      left += eviction->machine->placements.at(task).job->spec->each;
    }
    left -= blocked.job->spec->each;
    plan.push_back(std::move(*eviction));
  }
  return plan;
}

// Stops others for a gang only if that makes room for all of it.
void ShardScheduler::preemptForGang(const Ranked& blocked, CapacityForecast& room,
                                    std::set<MachineId>& changed) {
  const Job& job = *blocked.job;
  if (job.placed > 0 || tasksWithinLimit(job) < job.waiting.size()) return;
  auto plan = planEvictionsForGang(blocked, sampleForEviction(job), room);
  if (!plan) return;
  for (const auto& eviction : *plan) {
    carryOut(eviction, blocked, room);
    if (!eviction.victims.empty()) changed.insert(eviction.machine->id);
  }
}

}  // namespace cherryloft
