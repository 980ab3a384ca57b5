#include "scheduler/placement_turn.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "scheduler/eviction_planner.h"

namespace cherryloft {
namespace {

constexpr double kCoresEpsilon = 1e-9;  // core counts that differ by less are equal
// A report may be late by a quarter of the interval.
constexpr double kReportDueAfterIntervals = 1.25;
// Limits the machines examined, per machine to find: some cache the image, lack memory, or were rejected.
constexpr unsigned kMaxExaminedPerMachine = 4;

unsigned tasksInZone(const Job& job, const Zone& zone) {
  auto entry = job.zones.find(zone);
  return entry == job.zones.end() ? 0U : entry->second;
}

// Spreads replicas over zones. Within a zone it packs them onto few machines, small ones first, so that the
// others can be released once their batch tasks are done.
bool isBetterForReplica(const Job& job, const Machine& left, const Machine& right) {
  auto replicasInLeftZone = tasksInZone(job, left.zone());
  auto replicasInRightZone = tasksInZone(job, right.zone());
  if (replicasInLeftZone != replicasInRightZone) return replicasInLeftZone < replicasInRightZone;
  if (std::abs(left.replicaCores - right.replicaCores) > kCoresEpsilon)
    return left.replicaCores > right.replicaCores;
  if (std::abs(left.size.cores - right.size.cores) > kCoresEpsilon) return left.size.cores < right.size.cores;
  return left.no < right.no;
}

// Iterates over a pool's machines by free cores.
struct PoolCursor {
  const MachinePool* pool;
  MachinePool::ByFreeCores::const_iterator position;
};

}  // namespace

PlacementTurn::PlacementTurn(const PlacementContext& context, const RoundScope& scope, const Job& job)
    : context_(context),
      scope_(scope),
      job_(job),
      now_(context.runtime.now()),
      hasStartObjective_(context.settings.startWithin(job.spec->jobClass).has_value()) {
  context_.counters.machinesExamined += job_.imageHolders->size();
  for (const auto& [_, machine] : *job_.imageHolders)
    if (hasCapacityFor(*machine)) machinesWithImage_.push_back(machine);
  std::sort(machinesWithImage_.begin(), machinesWithImage_.end(),
            [&](const Machine* left, const Machine* right) { return isBetterMachine(*left, *right); });
}

// Compares two machines with capacity, image locality aside: spot before on-demand (jobs that may not use
// spot machines are not offered any), then those that can be told to start the task at once, then least free
// cores (best fit). A gang starts with its slowest member, so few machines matter more to it.
bool PlacementTurn::isBetterMachine(const Machine& left, const Machine& right) const {
  if (left.spot() != right.spot()) return left.spot();
  if (job_.spec->kind == JobKind::Service) return isBetterForReplica(job_, left, right);
  bool leftHearsAtOnce = job_.isGang() || hearsAtOnce(left);
  bool rightHearsAtOnce = job_.isGang() || hearsAtOnce(right);
  if (leftHearsAtOnce != rightHearsAtOnce) return leftHearsAtOnce;
  double leftCores = left.free().cores;
  double rightCores = right.free().cores;
  if (std::abs(leftCores - rightCores) > kCoresEpsilon) return leftCores < rightCores;
  return left.no < right.no;
}

// Starts go in answers to reports. A worker can't report again right after its last report; and one whose
// report is overdue, or that this owner has heard only in answers to direct commands, may still be looking
// for a controller.
bool PlacementTurn::hearsAtOnce(const Machine& machine) const {
  bool reportsArrive = machine.lastReport != HeartbeatPosition{} && machine.unansweredProbes == 0;
  auto sinceReport = now_ - machine.lastReportAt;
  return reportsArrive && sinceReport >= wire::kMinReportInterval &&
         sinceReport < seconds(context_.settings.heartbeatIntervalS * kReportDueAfterIntervals);
}

Machine* PlacementTurn::nextMachine() {
  if (Machine* machine = nextMachineWithImage()) return machine;
  auto machines = machinesWithoutImage();
  if (machines.empty()) return nullptr;
  if (shouldWaitForMachineWithImage(*machines.front())) return nullptr;
  const auto& estimate = sampleEstimate();
  auto waitingTasks = static_cast<double>(job_.waiting.size());
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  for (Machine* machine : machines) {
    double probability =
        policy::couplingProbability(policy::localityAlpha(localityOf(*machine)), estimate, waitingTasks);
    if (uniform(context_.rng) < probability) {
      // It will have the image: the rest of the turn may fill it without further draws.
      machinesWithImage_.push_back(machine);
      return machine;
    }
    rejected_.insert(machine->no);
  }
  return nullptr;
}

bool PlacementTurn::hasCapacityFor(const Machine& machine) const {
  return job_.spec->each.fitsIn(machine.free()) && context_.constraints.allowsMachine(job_, machine);
}

Machine* PlacementTurn::nextMachineWithImage() {
  if (job_.spec->kind == JobKind::Service) {
    // Each placed replica changes the zone preference, so the best machine is searched anew.
    Machine* best = nullptr;
    for (Machine* machine : machinesWithImage_)
      if (hasCapacityFor(*machine) && (!best || isBetterMachine(*machine, *best))) best = machine;
    return best;
  }
  // The order stays valid while the turn fills the machines: the first that still fits is the best fit.
  auto first = std::find_if(machinesWithImage_.begin(), machinesWithImage_.end(),
                            [&](const Machine* machine) { return hasCapacityFor(*machine); });
  machinesWithImage_.erase(machinesWithImage_.begin(), first);
  return machinesWithImage_.empty() ? nullptr : machinesWithImage_.front();
}

// If even the fastest image fetch would miss the start objective, the task waits for preemption to free
// capacity on a machine that caches the image. Gangs do not wait: their start depends on the slowest member,
// and all members are placed at once on the capacity available.
bool PlacementTurn::shouldWaitForMachineWithImage(const Machine& bestWithoutImage) const {
  if (now_ < job_.ignoreImageAffinityUntil || job_.isGang()) return false;
  if (!context_.constraints.fetchMissesStartObjective(job_, bestWithoutImage)) return false;
  return EvictionPlanner(context_.settings, context_.state, context_.constraints, now_)
      .shouldPreemptForCachedImage(job_);
}

std::vector<Machine*> PlacementTurn::machinesWithoutImage() const {
  auto machines = scope_.allMachines ? indexedMachines() : reportedMachines();
  sortMachinesWithoutImage(machines);
  return machines;
}

std::vector<Machine*> PlacementTurn::reportedMachines() const {
  std::vector<Machine*> machines;
  for (const auto& id : scope_.machines) {
    Machine* machine = context_.state.machine(id);
    if (machine && isCandidateWithoutImage(*machine)) machines.push_back(machine);
  }
  return machines;
}

// Merges the allowed pools in the order of sortMachinesWithoutImage(), as far as pool properties determine
// it.
std::vector<Machine*> PlacementTurn::indexedMachines() const {
  const auto& spec = *job_.spec;
  std::vector<PoolCursor> cursors;
  for (const auto& pool : context_.state.pools()) {
    if (!context_.constraints.allowsPool(job_, pool)) continue;
    auto first = pool.withFreeCores(spec.each.cores);
    if (first != pool.byFreeCores.end()) cursors.push_back({&pool, first});
  }
  auto sortKey = [&](const PoolCursor& cursor) {
    const MachinePool& pool = *cursor.pool;
    double fetchSeconds = hasStartObjective_ && pool.fetchGbPerS > 0 ? spec.imageGb / pool.fetchGbPerS : 0;
    return std::tuple(fetchSeconds, !pool.spot, cursor.position->first);
  };
  const auto sampleSize = context_.settings.tuning.sampleSize;
  std::vector<Machine*> machines;
  for (unsigned examined = 0; examined < kMaxExaminedPerMachine * sampleSize; ++examined) {
    if (cursors.empty() || machines.size() >= sampleSize) break;
    auto next = std::min_element(
        cursors.begin(), cursors.end(),
        [&](const PoolCursor& left, const PoolCursor& right) { return sortKey(left) < sortKey(right); });
    Machine* machine = next->position->second;
    if (isCandidateWithoutImage(*machine)) machines.push_back(machine);
    ++next->position;
    if (next->position == next->pool->byFreeCores.end()) cursors.erase(next);
    ++context_.counters.machinesExamined;
  }
  return machines;
}

bool PlacementTurn::isCandidateWithoutImage(const Machine& machine) const {
  if (job_.imageHolders->count(machine.no) > 0 || rejected_.count(machine.no) > 0) return false;
  return hasCapacityFor(machine);
}

// Jobs with a start objective prefer the shortest image fetch (DESIGN.md, section 2, exceptions).
void PlacementTurn::sortMachinesWithoutImage(std::vector<Machine*>& machines) const {
  const auto& spec = *job_.spec;
  std::stable_sort(machines.begin(), machines.end(), [&](const Machine* left, const Machine* right) {
    double leftFetch = hasStartObjective_ ? left->imageFetchSeconds(spec) : 0;
    double rightFetch = hasStartObjective_ ? right->imageFetchSeconds(spec) : 0;
    if (leftFetch != rightFetch) return leftFetch < rightFetch;
    return isBetterMachine(*left, *right);
  });
}

const policy::SampleEstimate& PlacementTurn::sampleEstimate() {
  if (!estimate_) estimate_ = sample();
  return *estimate_;
}

// The paper's "random peeking": estimates for the whole shard from K machines drawn at random.
policy::SampleEstimate PlacementTurn::sample() const {
  const auto& open = context_.state.openMachines();
  auto sampled = policy::sampleIndices(open.size(), context_.settings.tuning.sampleSize, context_.rng);
  context_.counters.machinesExamined += sampled.size();
  if (sampled.empty()) return {};
  double withCapacity = 0;
  double withImage = 0;
  for (auto index : sampled) {
    const Machine& machine = *open[index];
    if (!hasCapacityFor(machine)) continue;
    ++withCapacity;
    if (job_.imageHolders->count(machine.no) > 0) ++withImage;
  }
  auto sampleSize = static_cast<double>(sampled.size());
  return {withImage / sampleSize, withCapacity / sampleSize * static_cast<double>(open.size())};
}

policy::ImageLocality PlacementTurn::localityOf(const Machine& machine) {
  if (zonesWithImage().count(machine.zone()) == 0) return policy::ImageLocality::OutsideZone;
  auto firstTask = machine.placements.lower_bound({job_.id, 0});
  bool runsTasksOfJob = firstTask != machine.placements.end() && firstTask->first.job == job_.id;
  return runsTasksOfJob ? policy::ImageLocality::InZoneWithJobTasks : policy::ImageLocality::InZone;
}

// Computed at the first draw of the turn, and kept.
const std::set<Zone>& PlacementTurn::zonesWithImage() {
  if (!zonesWithImage_) {
    zonesWithImage_.emplace();
    for (const auto& [_, machine] : *job_.imageHolders)
      if (machine->open()) zonesWithImage_->insert(machine->zone());
  }
  return *zonesWithImage_;
}

}  // namespace cherryloft
