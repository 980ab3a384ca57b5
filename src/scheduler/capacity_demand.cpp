#include "scheduler/capacity_demand.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "policy/autoscaling.h"

namespace cherryloft {
namespace {

// Bounds the size of a report and the cost of composing it.
constexpr std::size_t kMaxGroupsReported = 64;
// Machines of a pool that turn out not to suit a group before the rest of the pool is left out.
constexpr unsigned kMaxUnsuitableMachines = 64;
// How long a group waits without any of its tasks being placed until it lacks capacity.
constexpr Duration kMaxWait{10'000};
// The same for tasks that any machine suits: the targets of the autoscaler count on running tasks to end.
constexpr Duration kMaxUnrestrictedWait{30'000};

// Whether the machine takes no work yet but will soon: it boots, has booted and was not heard from yet, or a
// command to it is unanswered.
bool isComing(const Machine& machine, const Catalog& catalog, WallTime now) {
  const auto& record = machine.known.record;
  bool leaves = machine.decommissioning || machine.draining || machine.returnNow || machine.reclaimAt ||
                record.phase != wire::MachinePhase::InUse;
  if (leaves || machine.open()) return false;
  if (machine.registered) return !machine.cordoned;
  const auto* type = findType(catalog, record.type);
  double ageS = static_cast<double>(now.value - record.since.value) / 1000.0;
  return type && policy::isExpectedToBoot(*type, ageS);
}

}  // namespace

// What the tasks of a group have in common.
struct CapacityDemand::GroupKey {
  double cores = 0;
  double gpus = 0;
  double ram = 0;
  bool spotAllowed = false;
  std::vector<std::size_t> types;  // as indices into the catalog
  std::vector<Zone> zones;
  JobId gang;            // empty if the tasks may start one by one
  bool suspect = false;  // the jobs have failed repeatedly and never succeeded
  friend auto operator<=>(const GroupKey&, const GroupKey&) = default;
};

struct CapacityDemand::Group {
  GroupKey key;
  const Job* firstJob = nullptr;  // the one submitted first
  std::uint32_t tasks = 0;
  ZoneLimits limits;
  Time waitingSince{};  // when the first of its jobs was first seen
  Time lastPlacedAt{};

  [[nodiscard]] Resources each() const { return {key.cores, key.gpus, key.ram}; }
  [[nodiscard]] bool isGang() const { return firstJob->isGang(); }
  [[nodiscard]] bool startsInOneZone() const { return isGang() && firstJob->spec->oneZone; }
};

// The free capacity of the shard's machines, less that of the tasks assigned so far.
class CapacityDemand::FreeCapacity {
 public:
  explicit FreeCapacity(const CapacityDemand& demand) : demand_(demand) {
    auto now = demand.runtime_.wall();
    for (const auto& [_, machine] : demand.state_.machines())
      if (isComing(machine, demand.catalog_, now)) coming_[machine.pool].push_back(&machine);
  }

  [[nodiscard]] std::size_t machinesComing(const MachinePool& pool) const {
    auto machines = coming_.find(&pool);
    return machines == coming_.end() ? 0 : machines->second.size();
  }

  // Assigns up to `wanted` tasks of the group within the zone limits, and lowers these. Returns the number
  // assigned.
  std::uint32_t assign(const Group& group, std::uint32_t wanted, ZoneLimits& limits) {
    lastAssigned_.clear();
    std::uint32_t assigned = 0;
    for (const auto& pool : demand_.state_.pools()) {
      auto limit = limits.find(pool.zone);
      if (limit == limits.end() || !demand_.suits(group, pool)) continue;
      auto inPool = assignInPool(group, pool, std::min(wanted - assigned, limit->second));
      assigned += inPool;
      limit->second -= inPool;
    }
    return assigned;
  }

  void undoLastAssign(const Group& group) {
    for (const auto& [machine, tasks] : lastAssigned_) free_.at(machine) += group.each() * tasks;
    lastAssigned_.clear();
  }

 private:
  std::uint32_t assignInPool(const Group& group, const MachinePool& pool, std::uint32_t wanted) {
    std::uint32_t assigned = 0;
    if (auto coming = coming_.find(&pool); coming != coming_.end())
      for (const Machine* machine : coming->second) {
        if (assigned == wanted) return assigned;
        assigned += assignTo(*machine, group.each(), wanted - assigned);
      }
    unsigned unsuitable = 0;
    for (auto it = pool.withFreeCores(group.key.cores); it != pool.byFreeCores.end(); ++it) {
      if (assigned == wanted || unsuitable >= kMaxUnsuitableMachines) break;
      const Machine& machine = *it->second;
      bool allowed = demand_.rules_.allowsMachine(*group.firstJob, machine);
      auto onMachine = allowed ? assignTo(machine, group.each(), wanted - assigned) : 0;
      assigned += onMachine;
      unsuitable += onMachine == 0;
    }
    return assigned;
  }

  std::uint32_t assignTo(const Machine& machine, const Resources& each, std::uint32_t wanted) {
    auto& free = free_.try_emplace(&machine, machine.free()).first->second;
    auto tasks = std::min(wanted, tasksThatFit(each, free));
    if (tasks == 0) return 0;
    free -= each * tasks;
    lastAssigned_.emplace_back(&machine, tasks);
    return tasks;
  }

  const CapacityDemand& demand_;
  std::map<const MachinePool*, std::vector<const Machine*>> coming_;
  std::unordered_map<const Machine*, Resources> free_;  // of the machines considered so far
  std::vector<std::pair<const Machine*, std::uint32_t>> lastAssigned_;
};

std::vector<std::size_t> CapacityDemand::suitableTypes(const JobSpec& spec) const {
  std::vector<std::size_t> types;
  for (std::size_t index = 0; index < catalog_.size(); ++index) {
    const auto& type = catalog_[index];
    bool fits = spec.each.fitsIn(type.size) && spec.imageGb <= type.cacheGb && spec.allowsType(type.name);
    bool inZone =
        !spec.zone || std::find(type.zones.begin(), type.zones.end(), *spec.zone) != type.zones.end();
    if (fits && inZone) types.push_back(index);
  }
  return types;
}

// A job that has failed repeatedly and never succeeded is tried with one task at a time, and between two
// tries it causes no demand, so that no machines are rented or kept for it.
std::uint32_t CapacityDemand::tasksNotInBackoff(const Job& job) const {
  auto waiting = static_cast<std::uint32_t>(job.waiting.size());
  if (job.maxConcurrent)
    return std::min(waiting, *job.maxConcurrent - std::min(job.placed, *job.maxConcurrent));
  if (!failures_.isSuspect(job.id)) return waiting;
  if (runtime_.now() < job.notBefore) return 0;
  return job.isGang() ? waiting : std::min(waiting, 1U);
}

std::uint32_t CapacityDemand::tasksWithinQuota(const Job& job, std::uint32_t tasks,
                                               const Resources& withinQuota) const {
  // The quota of such a job is enforced by the shard of its team (invariants 17 and 18).
  if (job.delegation || job.maxConcurrent) return tasks;
  Resources each{job.spec->each.cores, job.spec->each.gpus, 0};
  auto allowed = std::min(tasks, tasksThatFit(each, withinQuota));
  return job.isGang() && allowed < tasks ? 0 : allowed;
}

// Nothing if no task of the job is to be placed now.
std::optional<CapacityDemand::WaitingJob> CapacityDemand::describeWaiting(const Job& job,
                                                                          const Resources& withinQuota) {
  auto types = suitableTypes(*job.spec);
  if (types.empty() && !catalog_.empty()) {
    ++excludedJobs_.unsuitable;
    return std::nullopt;
  }
  auto notInBackoff = tasksNotInBackoff(job);
  if (notInBackoff == 0) {
    ++excludedJobs_.inBackoff;
    return std::nullopt;
  }
  auto tasks = tasksWithinQuota(job, notInBackoff, withinQuota);
  if (tasks == 0) {
    ++excludedJobs_.overQuota;
    return std::nullopt;
  }
  return WaitingJob{&job, tasks, rules_.avoidsSpot(job), std::move(types)};
}

std::vector<CapacityDemand::WaitingJob> CapacityDemand::waitingJobs() {
  std::vector<WaitingJob> waitingJobs;
  excludedJobs_ = {};
  for (const auto& [teamId, jobs] : state_.teams()) {
    const Team* team = settings_.team(teamId);
    if (!team) continue;
    auto withinQuota = Resources{team->coreQuota, team->gpuQuota, 0} - state_.teamUsage(teamId);
    for (const auto& [_, job] : jobs) {
      if (!job->open() || job->waiting.empty()) continue;
      withinQuota.ram = 0;  // not limited
      auto waiting = describeWaiting(*job, withinQuota);
      if (!waiting) continue;
      if (!job->delegation && !job->maxConcurrent) withinQuota -= job->spec->each * waiting->tasks;
      waitingJobs.push_back(std::move(*waiting));
    }
  }
  return waitingJobs;
}

CapacityDemand::ZoneLimits CapacityDemand::zoneLimits(const Job& job) const {
  ZoneLimits limits;
  for (const auto& zone : settings_.zones)
    if (auto tasks = rules_.tasksAllowedIn(job, zone); tasks > 0) limits[zone] = tasks;
  return limits;
}

std::vector<CapacityDemand::Group> CapacityDemand::groupJobs(const std::vector<WaitingJob>& jobs) const {
  std::map<GroupKey, Group> groups;
  for (const auto& waiting : jobs) {
    const Job& job = *waiting.job;
    const auto& spec = *job.spec;
    if (runtime_.now() < job.notBefore) continue;
    auto limits = zoneLimits(job);
    if (limits.empty()) continue;
    GroupKey key{spec.each.cores,
                 spec.each.gpus,
                 spec.each.ram,
                 spec.spotAllowed && !waiting.avoidsSpot,
                 waiting.types,
                 {},
                 {}};
    for (const auto& [zone, _] : limits) key.zones.push_back(zone);
    if (job.isGang()) key.gang = job.id;
    key.suspect = failures_.isSuspect(job.id);
    auto& group = groups.try_emplace(key, Group{key, &job, 0, {}, job.since, {}}).first->second;
    if (std::tie(job.submitted, job.id) < std::tie(group.firstJob->submitted, group.firstJob->id))
      group.firstJob = &job;
    group.tasks += waiting.tasks;
    for (const auto& [zone, tasks] : limits) group.limits[zone] += std::min(tasks, waiting.tasks);
    group.waitingSince = std::min(group.waitingSince, job.since);
    group.lastPlacedAt = std::max(group.lastPlacedAt, job.lastPlacedAt);
  }
  std::vector<Group> inOrder;
  inOrder.reserve(groups.size());
  for (auto& [_, group] : groups) inOrder.push_back(std::move(group));
  std::sort(inOrder.begin(), inOrder.end(), [](const Group& a, const Group& b) {
    return std::tie(a.firstJob->submitted, a.firstJob->id) < std::tie(b.firstJob->submitted, b.firstJob->id);
  });
  return inOrder;
}

// Keeps at most as many groups as a report holds. Each is reported in turn, so that none hides another.
void CapacityDemand::selectForReport(std::vector<Group>& groups) {
  if (groups.size() <= kMaxGroupsReported) {
    nextGroup_ = 0;
    return;
  }
  nextGroup_ %= groups.size();
  std::rotate(groups.begin(), groups.begin() + static_cast<std::ptrdiff_t>(nextGroup_), groups.end());
  nextGroup_ += kMaxGroupsReported;
  groups.resize(kMaxGroupsReported);
}

bool CapacityDemand::suits(const Group& group, const MachinePool& pool) const {
  if (pool.spot && !group.key.spotAllowed) return false;
  if (group.limits.count(pool.zone) == 0) return false;
  return std::any_of(group.key.types.begin(), group.key.types.end(),
                     [&](std::size_t type) { return catalog_[type].name == pool.type; });
}

// How many of the tasks without free capacity need another machine. The others wait for tasks to end, which
// they can't on machines that are only booting, and not for ever. No machine is added for jobs that fail
// repeatedly.
std::uint32_t CapacityDemand::tasksLacking(const Group& group, std::uint32_t unassigned,
                                           const FreeCapacity& capacity) const {
  bool anyMachine = false;  // that may have capacity later
  bool anyComing = false;
  for (const auto& pool : state_.pools()) {
    if (!suits(group, pool)) continue;
    auto coming = capacity.machinesComing(pool);
    anyComing |= coming > 0;
    anyMachine |= group.key.spotAllowed ? pool.machines > 0 : pool.machines > coming;
  }
  if (!anyMachine) return unassigned;
  if (group.key.suspect) return 0;
  bool unrestricted = group.key.spotAllowed && group.key.types.size() == catalog_.size() &&
                      group.limits.size() == settings_.zones.size();
  auto waited = runtime_.now() - std::max(group.waitingSince, group.lastPlacedAt);
  if (waited <= (unrestricted ? kMaxUnrestrictedWait : kMaxWait)) return 0;
  if (!group.key.spotAllowed || group.isGang()) return unassigned;
  // Arrays make way for each other: one machine at a time.
  return anyComing ? 0 : std::min(unassigned, 1U);
}

mesh::WaitingTaskGroup CapacityDemand::report(const Group& group, FreeCapacity& capacity) const {
  mesh::WaitingTaskGroup reported;
  reported.cores = group.key.cores;
  reported.gpus = group.key.gpus;
  reported.ramGb = group.key.ram;
  for (auto type : group.key.types) reported.types.push_back(catalog_[type].name);
  reported.spotAllowed = group.key.spotAllowed;
  reported.gang = group.isGang();
  reported.waiting = group.tasks;
  if (group.startsInOneZone()) {
    reportOneZone(group, capacity, reported);
  } else {
    auto limits = group.limits;
    reported.lacking = group.tasks - capacity.assign(group, group.tasks, limits);
    for (const auto& [zone, tasks] : reported.lacking > 0 ? limits : group.limits)
      if (tasks > 0) reported.zones.push_back({zone.value, tasks});
  }
  reported.lacking = tasksLacking(group, reported.lacking, capacity);
  return reported;
}

// All tasks of the group go to the zone where the fewest lack capacity.
void CapacityDemand::reportOneZone(const Group& group, FreeCapacity& capacity,
                                   mesh::WaitingTaskGroup& reported) const {
  reported.oneZone = true;
  reported.lacking = group.tasks;
  const Zone* best = nullptr;
  for (const auto& [zone, limit] : group.limits) {
    if (limit < group.tasks) continue;
    ZoneLimits onlyZone{{zone, limit}};
    auto lacking = group.tasks - capacity.assign(group, group.tasks, onlyZone);
    capacity.undoLastAssign(group);
    reported.zones.push_back({zone.value, lacking});
    if (best && lacking >= reported.lacking) continue;
    best = &zone;
    reported.lacking = lacking;
  }
  if (!best) return;
  ZoneLimits onlyBest{{*best, group.tasks}};
  capacity.assign(group, group.tasks, onlyBest);
}

// Tasks with fewer choices come first: what only they can use must not be counted as used by others.
void CapacityDemand::sortByChoices(std::vector<Group>& groups) {
  auto choices = [](const Group& group) {
    return std::tuple(group.key.spotAllowed, group.key.types.size(), group.key.zones.size());
  };
  std::stable_sort(groups.begin(), groups.end(),
                   [&](const Group& a, const Group& b) { return choices(a) < choices(b); });
}

std::vector<mesh::WaitingTaskGroup> CapacityDemand::groups(const std::vector<WaitingJob>& jobs) {
  if (catalog_.empty()) return {};
  auto groups = groupJobs(jobs);
  selectForReport(groups);
  sortByChoices(groups);
  FreeCapacity capacity(*this);
  std::vector<mesh::WaitingTaskGroup> reported;
  reported.reserve(groups.size());
  for (const auto& group : groups) reported.push_back(report(group, capacity));
  return reported;
}

}  // namespace cherryloft
