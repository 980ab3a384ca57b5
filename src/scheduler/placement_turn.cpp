#include "scheduler/placement_turn.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "scheduler/eviction_planner.h"

namespace cherryloft {
namespace {

constexpr double kSameCores = 1e-9;  // sums of cores that differ by less are equal
// Machines examined for each that may be found: some are holders, short of memory, or rejected before.
constexpr unsigned kExaminedPerMachineFound = 4;

unsigned tasksInZone(const Job& job, const Zone& zone) {
  auto entry = job.zones.find(zone);
  return entry == job.zones.end() ? 0U : entry->second;
}

// Replicas spread over zones. Within a zone they share few machines, small ones first, so that the others can
// be released when the rest is done.
bool isBetterForReplica(const Job& job, const Machine& left, const Machine& right) {
  auto inLeftZone = tasksInZone(job, left.zone());
  auto inRightZone = tasksInZone(job, right.zone());
  if (inLeftZone != inRightZone) return inLeftZone < inRightZone;
  if (std::abs(left.replicaCores - right.replicaCores) > kSameCores)
    return left.replicaCores > right.replicaCores;
  if (std::abs(left.size.cores - right.size.cores) > kSameCores) return left.size.cores < right.size.cores;
  return left.no < right.no;
}

// Which of two machines with capacity a task should rather go to, the image aside: spot machines first for
// those who may use them, then the fullest (best fit).
bool isBetterMachine(const Job& job, const Machine& left, const Machine& right) {
  if (left.spot() != right.spot()) return left.spot();
  if (job.spec->kind == JobKind::Service) return isBetterForReplica(job, left, right);
  double leftCores = left.free().cores;
  double rightCores = right.free().cores;
  if (std::abs(leftCores - rightCores) > kSameCores) return leftCores < rightCores;
  return left.no < right.no;
}

// A walk over a pool's machines, by free cores.
struct PoolCursor {
  const Pool* pool;
  Pool::ByFreeCores::const_iterator position;
};

}  // namespace

PlacementTurn::PlacementTurn(const PlacementContext& context, const RoundScope& scope, const Job& job)
    : context_(context),
      scope_(scope),
      job_(job),
      hasStartObjective_(context.settings.startWithin(job.spec->jobClass).has_value()) {
  context_.counters.machinesExamined += job_.holders->size();
  for (const auto& [_, machine] : *job_.holders)
    if (hasCapacityFor(*machine)) holders_.push_back(machine);
  std::sort(holders_.begin(), holders_.end(),
            [&](const Machine* left, const Machine* right) { return isBetterMachine(job_, *left, *right); });
}

Machine* PlacementTurn::nextMachine() {
  if (Machine* holder = nextHolder()) return holder;
  auto machines = otherMachines();
  if (machines.empty()) return nullptr;
  if (shouldWaitForHolder(*machines.front())) return nullptr;
  const auto& estimate = sampleEstimate();
  auto waitingTasks = static_cast<double>(job_.waiting.size());
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  for (Machine* machine : machines) {
    double probability =
        policy::couplingProbability(policy::localityAlpha(localityOf(*machine)), estimate, waitingTasks);
    if (uniform(context_.rng) < probability) {
      // From now on it counts as a holder: the rest of the turn may fill it.
      holders_.push_back(machine);
      return machine;
    }
    rejected_.insert(machine->no);
  }
  return nullptr;
}

bool PlacementTurn::hasCapacityFor(const Machine& machine) const {
  return job_.spec->each.fitsIn(machine.free()) && context_.constraints.allowsMachine(job_, machine);
}

Machine* PlacementTurn::nextHolder() {
  if (job_.spec->kind == JobKind::Service) {
    // Each replica changes which zone comes next.
    Machine* best = nullptr;
    for (Machine* machine : holders_)
      if (hasCapacityFor(*machine) && (!best || isBetterMachine(job_, *machine, *best))) best = machine;
    return best;
  }
  // They stay in order while the turn fills them: the fullest that still fits comes first.
  auto first = std::find_if(holders_.begin(), holders_.end(),
                            [&](const Machine* machine) { return hasCapacityFor(*machine); });
  holders_.erase(holders_.begin(), first);
  return holders_.empty() ? nullptr : holders_.front();
}

// If even the shortest fetch misses the start objective, the task waits for capacity that preemption makes on
// a machine that has the image. A gang starts with its slowest member: it is placed whole on what there is.
bool PlacementTurn::shouldWaitForHolder(const Machine& bestOther) const {
  auto now = context_.runtime.now();
  if (now < job_.anyStartUntil || job_.isGang()) return false;
  if (!context_.constraints.fetchMissesStartObjective(job_, bestOther)) return false;
  return EvictionPlanner(context_.settings, context_.state, context_.constraints, now)
      .shouldPreemptForCachedImage(job_);
}

std::vector<Machine*> PlacementTurn::otherMachines() const {
  auto machines = scope_.allMachines ? indexedMachines() : reportedMachines();
  sortOthers(machines);
  return machines;
}

std::vector<Machine*> PlacementTurn::reportedMachines() const {
  std::vector<Machine*> machines;
  for (const auto& id : scope_.machines) {
    Machine* machine = context_.state.machine(id);
    if (machine && isOtherWithCapacity(*machine)) machines.push_back(machine);
  }
  return machines;
}

// Merges the allowed pools in the order that sortOthers() has, as far as the pools tell.
std::vector<Machine*> PlacementTurn::indexedMachines() const {
  const auto& spec = *job_.spec;
  std::vector<PoolCursor> cursors;
  for (const auto& pool : context_.state.pools()) {
    if (!context_.constraints.allowsPool(job_, pool)) continue;
    auto first = pool.withFreeCores(spec.each.cores);
    if (first != pool.byFreeCores.end()) cursors.push_back({&pool, first});
  }
  auto orderOf = [&](const PoolCursor& cursor) {
    const Pool& pool = *cursor.pool;
    double fetchSeconds = hasStartObjective_ && pool.fetchGbPerS > 0 ? spec.imageGb / pool.fetchGbPerS : 0;
    return std::tuple(fetchSeconds, !pool.spot, cursor.position->first);
  };
  const auto sampleSize = context_.settings.tuning.sampleSize;
  std::vector<Machine*> machines;
  for (unsigned examined = 0; examined < kExaminedPerMachineFound * sampleSize; ++examined) {
    if (cursors.empty() || machines.size() >= sampleSize) break;
    auto next = std::min_element(
        cursors.begin(), cursors.end(),
        [&](const PoolCursor& left, const PoolCursor& right) { return orderOf(left) < orderOf(right); });
    Machine* machine = next->position->second;
    if (isOtherWithCapacity(*machine)) machines.push_back(machine);
    ++next->position;
    if (next->position == next->pool->byFreeCores.end()) cursors.erase(next);
    ++context_.counters.machinesExamined;
  }
  return machines;
}

bool PlacementTurn::isOtherWithCapacity(const Machine& machine) const {
  if (job_.holders->count(machine.no) > 0 || rejected_.count(machine.no) > 0) return false;
  return hasCapacityFor(machine);
}

// Where a start is to come soon, the time of the fetch decides (DESIGN.md, section 2, exceptions).
void PlacementTurn::sortOthers(std::vector<Machine*>& machines) const {
  const auto& spec = *job_.spec;
  std::stable_sort(machines.begin(), machines.end(), [&](const Machine* left, const Machine* right) {
    double leftFetch = hasStartObjective_ ? left->fetchS(spec) : 0;
    double rightFetch = hasStartObjective_ ? right->fetchS(spec) : 0;
    if (leftFetch != rightFetch) return leftFetch < rightFetch;
    return isBetterMachine(job_, *left, *right);
  });
}

const policy::SampleEstimate& PlacementTurn::sampleEstimate() {
  if (!estimate_) estimate_ = sample();
  return *estimate_;
}

// The paper's random peeking: K machines drawn at random stand for all of the shard's.
policy::SampleEstimate PlacementTurn::sample() const {
  const auto& open = context_.state.openMachines();
  auto sampled = policy::sampleIndices(open.size(), context_.settings.tuning.sampleSize, context_.rng);
  context_.counters.machinesExamined += sampled.size();
  if (sampled.empty()) return {};
  double withCapacity = 0;
  double holders = 0;
  for (auto index : sampled) {
    const Machine& machine = *open[index];
    if (!hasCapacityFor(machine)) continue;
    ++withCapacity;
    if (job_.holders->count(machine.no) > 0) ++holders;
  }
  auto sampleSize = static_cast<double>(sampled.size());
  return {holders / sampleSize, withCapacity / sampleSize * static_cast<double>(open.size())};
}

policy::ImageLocality PlacementTurn::localityOf(const Machine& machine) {
  if (holderZones().count(machine.zone()) == 0) return policy::ImageLocality::OutsideZone;
  auto firstTask = machine.placements.lower_bound({job_.id, 0});
  bool runsTasksOfJob = firstTask != machine.placements.end() && firstTask->first.job == job_.id;
  return runsTasksOfJob ? policy::ImageLocality::InZoneWithJobTasks : policy::ImageLocality::InZone;
}

// As of the turn's first draw.
const std::set<Zone>& PlacementTurn::holderZones() {
  if (!holderZones_) {
    holderZones_.emplace();
    for (const auto& [_, machine] : *job_.holders)
      if (machine->open()) holderZones_->insert(machine->zone());
  }
  return *holderZones_;
}

}  // namespace cherryloft
