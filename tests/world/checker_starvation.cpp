// Rules that need the true state of the machines: jobs that can never run, and jobs kept waiting although
// there is free capacity.
#include <algorithm>

#include "world/checker.h"

namespace world {
namespace {
constexpr Ms kStarvationLimit = 90'000;  // longest wait with free capacity, once all faults are over
constexpr Ms kStarvationCheckInterval = 1'000;

using cherryloft::JobKind;

std::uint32_t maxTasksPerZone(const cherryloft::JobSpec& s) { return s.spread ? (s.tasks + 1) / 2 : s.tasks; }

bool isAllowedOn(const cherryloft::JobSpec& s, const Machine& m) {
  return s.allowsType(m.type) && (!m.spot || s.spotAllowed) && (!s.zone || s.zone->value == m.zone);
}
}  // namespace

// Why the protocol requires a 422 answer, given the current catalog; empty if it does not.
std::string Checker::rejectionReason(const cherryloft::JobSpec& s) const {
  const auto* team = settings_.team(s.team);
  if (!team) return "its team is unknown";
  if (!types_.empty() && std::none_of(types_.begin(), types_.end(), [&](const TypeSize& t) {
        return s.allowsType(t.name) && s.each.fitsIn(t.size);
      }))
    return "a task fits no machine type";
  if (s.zone && std::none_of(settings_.zones.begin(), settings_.zones.end(),
                             [&](const auto& z) { return z.value == s.zone->value; }))
    return "its zone does not exist";
  if (s.tasks > maxTasksPerZone(s) && (s.oneZone || s.zone)) return "its tasks can't be spread";
  double cores = s.each.cores * (s.kind == JobKind::Array ? 1.0 : s.tasks);
  if (cores > team->coreQuota + 1e-6) return "it needs more than its team's limit";
  return "";
}

// Whether one more task could start now; of a gang with no placed tasks, all of them at once.
bool Checker::isPlaceable(const Job& j, const PlacedTasks& placed, double coresOfTeam,
                          const std::vector<MachineState>& states) const {
  const auto& s = *j.spec;
  bool isGang = s.kind == JobKind::Gang;
  std::uint32_t tasksNeeded = isGang ? s.tasks : 1;
  if (isGang && placed.tasks > 0) return false;  // its tasks end or are stopped together first
  if (coresOfTeam + s.each.cores * tasksNeeded > settings_.team(s.team)->coreQuota + 1e-6) return false;
  std::map<std::string, std::uint32_t> startableByZone;
  for (const auto& r : states) {
    if (!r.schedulable || !isAllowedOn(s, r.machine)) continue;
    const auto& zone = r.machine.zone;
    auto zoneEntry = placed.zones.find(zone);
    std::uint32_t placedInZone = zoneEntry == placed.zones.end() ? 0 : zoneEntry->second;
    if (s.oneZone && placed.tasks > placedInZone) continue;
    auto& startable = startableByZone[zone];
    for (auto free = r.free;
         startable + placedInZone < maxTasksPerZone(s) && startable < tasksNeeded && s.each.fitsIn(free);
         free -= s.each)
      ++startable;
  }
  std::uint32_t totalStartable = 0, largestZone = 0;
  for (const auto& [_, startable] : startableByZone)
    totalStartable += startable, largestZone = std::max(largestZone, startable);
  return (s.oneZone ? largestZone : totalStartable) >= tasksNeeded;
}

// The start of any task of a job resets its wait, because the job is being scheduled. Jobs that fail
// everywhere are exempt, as they may be backed off.
void Checker::checkStarvation() {
  auto now = clock_.now();
  if (!machineStates_ || now < faultsEnd_ || now - starvationCheckedAt_ < kStarvationCheckInterval) return;
  starvationCheckedAt_ = now;
  std::vector<MachineState> states;
  PlacedTasksByJob placed;
  std::map<std::string, double> teamCores;
  bool statesRead = false;
  for (auto& [id, j] : jobs_) {
    bool open =
        j.accepted && !j.cancelRequested && !j.fails && !j.starvationReported && j.spec && j.final.empty();
    if (!open || j.done.size() + j.running.size() >= j.spec->tasks) {
      j.placeableSince = -1;
      continue;
    }
    if (!statesRead) {
      statesRead = true;
      states = machineStates_();
      for (const auto& r : states)
        for (const auto& [job, index] : r.tasks) {
          auto it = jobs_.find(job);
          if (it == jobs_.end() || !it->second.spec) continue;
          auto& h = placed[job];
          ++h.tasks, ++h.zones[r.machine.zone];
          teamCores[it->second.spec->team.value] += it->second.spec->each.cores;
        }
    }
    const auto& h = placed[id];
    auto placedOrDone = static_cast<std::uint32_t>(j.done.size()) + h.tasks;
    auto waitingTasks = placedOrDone < j.spec->tasks ? j.spec->tasks - placedOrDone : 0;
    bool starving = waitingTasks > 0 && waitingTasks >= j.previouslyWaiting &&
                    isPlaceable(j, h, teamCores[j.spec->team.value], states);
    j.previouslyWaiting = waitingTasks;
    if (!starving) {
      j.placeableSince = -1;
    } else if (j.placeableSince < 0) {
      j.placeableSince = now;
    } else if (now - j.placeableSince > kStarvationLimit) {
      j.starvationReported = true;
      reportViolation("left_waiting", id + " has " + std::to_string(waitingTasks) +
                                          " tasks waiting although there is free capacity");
    }
  }
}

}  // namespace world
