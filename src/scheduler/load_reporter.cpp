#include "scheduler/load_reporter.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kReportInterval{1'000};
// Machines of each kind (ordinary, spot) with work on them that a report names: enough to choose from.
constexpr std::size_t kBusyMachinesNamed = 16;
// Over which the rates of arriving and of done work are taken.
constexpr Duration kArrivalWindow{120'000};
constexpr Duration kDoneWindow{20'000};
// A job that waits so long for its zone is not helped by the machines that are there.
constexpr Duration kZoneFullAfter{10'000};
// Bounds what a report costs in a shard with many full machines.
constexpr unsigned kMachinesExaminedInPool = 64;

mesh::Demand& demandOf(mesh::ShardLoad& load, bool spotAllowed) {
  return spotAllowed ? load.spotAllowed : load.onDemandOnly;
}
}  // namespace

LoadReporter::LoadReporter(const Settings& settings, const Runtime& runtime, ShardTakeover takeover,
                           ShardState& state, const FailureAttribution& failures, Callbacks callbacks)
    : settings_(settings),
      runtime_(runtime),
      takeover_(takeover),
      state_(state),
      failures_(failures),
      callbacks_(std::move(callbacks)) {}

void LoadReporter::workArrived(Time at, double cores, bool spotAllowed) {
  arrived_.push_back({at, cores, spotAllowed});
}

void LoadReporter::workDone(Time at, double cores, bool spotAllowed) {
  done_.push_back({at, cores, spotAllowed});
}

void LoadReporter::reportIfDue(Time now) {
  if (now - lastReport_ < kReportInterval) return;
  lastReport_ = now;
  callbacks_.send(composeReport());
}

mesh::ShardLoad LoadReporter::composeReport() {
  auto now = runtime_.now();
  mesh::ShardLoad load;
  load.shard = takeover_.shard.value;
  load.epoch = takeover_.epoch.value;
  countBootingMachines();
  addJobs(load, now);
  addRecentWork(load, now);
  for (const Machine* machine : machinesToName()) load.machines.push_back(describe(*machine, now));
  return load;
}

void LoadReporter::countBootingMachines() {
  for (auto& pool : state_.pools()) pool.booting = 0;
  for (auto& [_, machine] : state_.machines())
    machine.pool->booting += !machine.heard && machine.known.record.address.empty() &&
                             machine.known.record.phase == wire::MachinePhase::InUse;
}

// --- work ---

void LoadReporter::UnfinishedWork::add(const Job& job) {
  auto unfinished = job.unfinished().cores;
  coreSeconds += unfinished * job.spec->expectedRunSeconds;
  cores += unfinished;
}

void LoadReporter::UnfinishedWork::describe(mesh::Demand& demand) const {
  if (cores > 0) demand.expectedRunS = coreSeconds / cores;
}

void LoadReporter::addJobs(mesh::ShardLoad& load, Time now) const {
  UnfinishedWork onDemandOnly;
  UnfinishedWork spotAllowed;
  for (const auto& [_, job] : state_.jobs()) {
    demandOf(load, job.spec->spotAllowed).used += job.spec->each.cores * job.placed;
    if (!job.open()) continue;
    addOpenJob(job, load, now);
    (job.spec->spotAllowed ? spotAllowed : onDemandOnly).add(job);
  }
  onDemandOnly.describe(load.onDemandOnly);
  spotAllowed.describe(load.spotAllowed);
}

void LoadReporter::addOpenJob(const Job& job, mesh::ShardLoad& load, Time now) const {
  const auto& spec = *job.spec;
  const auto& each = spec.each;
  auto& demand = demandOf(load, spec.spotAllowed);
  double coresWithinQuota =
      job.team ? std::max(0.0, job.team->coreQuota - state_.teamUse(spec.team).cores) : 0;
  auto waiting = tasksWantingCapacity(job, now);
  auto& waitingDemand = callbacks_.avoidsSpot(job) ? load.onDemandOnly : demand;
  waitingDemand.waiting += std::min(each.cores * static_cast<double>(waiting), coresWithinQuota);
  demand.largestTask = std::max(demand.largestTask, each.cores);
  if (each.cores > 0) demand.ramPerCore = std::max(demand.ramPerCore, each.ram / each.cores);
  if (spec.types) demand.types = *spec.types;

  bool waits =
      !job.waiting.empty() && coresWithinQuota >= each.cores - kResourceSlack && now >= job.notBefore;
  if (!waits || !(spec.spread || spec.zone || spec.oneZone)) return;
  // Of several such jobs the last one's zones are reported.
  if (auto zones = stuckZones(job, now)) demand.stuckZones = std::move(*zones);
}

// A job that has never worked is tried with one task at a time, and machines are neither rented nor kept for
// it between two tries.
std::size_t LoadReporter::tasksWantingCapacity(const Job& job, Time now) const {
  if (job.maxConcurrent)
    return std::min<std::size_t>(job.waiting.size(),
                                 *job.maxConcurrent - std::min(job.placed, *job.maxConcurrent));
  if (!failures_.suspect(job.id)) return job.waiting.size();
  return now < job.notBefore ? 0 : std::min<std::size_t>(job.waiting.size(), 1);
}

std::optional<std::vector<std::string>> LoadReporter::stuckZones(const Job& job, Time now) const {
  std::vector<std::string> allowed;
  bool waitedLong = now - std::max(job.since, job.placedLast) > kZoneFullAfter;
  for (const auto& zone : settings_.zones) {
    if (!callbacks_.zoneAllows(job, zone)) continue;
    if (zoneMayTake(zone, job, waitedLong)) return std::nullopt;
    allowed.push_back(zone.value);
  }
  return allowed;
}

// Whether a machine in the zone could ever take a task of the job or, once the job has waited long, can now.
bool LoadReporter::zoneMayTake(const Zone& zone, const Job& job, bool waitedLong) const {
  const auto& spec = *job.spec;
  auto mayTake = [&](const Pool& pool) {
    bool fits = pool.zone == zone && spec.allowsType(pool.type) && spec.each.fitsIn(pool.size) &&
                (!pool.spot || spec.spotAllowed);
    if (!fits) return false;
    if (!waitedLong) return pool.machines > 0;
    // One that boots is on its way; of others only those with free capacity count.
    return pool.booting > 0 ||
           pool.hasCapacity(spec.each, kMachinesExaminedInPool, [](const Machine&) { return true; });
  };
  return std::any_of(state_.pools().begin(), state_.pools().end(), mayTake);
}

void LoadReporter::addRecentWork(mesh::ShardLoad& load, Time now) {
  while (!arrived_.empty() && now - arrived_.front().at > kArrivalWindow) arrived_.pop_front();
  for (const auto& work : arrived_) {
    auto& demand = demandOf(load, work.spotAllowed);
    demand.arriving += work.cores / inSeconds(kArrivalWindow);
    demand.largestJob = std::max(demand.largestJob, work.cores);
  }
  while (!done_.empty() && now - done_.front().at > kDoneWindow) done_.pop_front();
  for (const auto& work : done_)
    demandOf(load, work.spotAllowed).departing += work.cores / inSeconds(kDoneWindow);
}

// --- machines ---

// Machines in plain use are not named, but for the few of each kind with least on them: those are drained
// first. Replicas do not end by themselves, and where they are their images are, for new ones.
std::vector<const Machine*> LoadReporter::machinesToName() const {
  std::vector<const Machine*> named;
  std::array<std::vector<const Machine*>, 2> busyByKind;  // ordinary, spot
  for (const auto& [_, machine] : state_.machines()) {
    bool inPlainUse = machine.open() && !machine.placements.empty();
    (inPlainUse ? busyByKind.at(machine.spot() ? 1 : 0) : named).push_back(&machine);
  }
  auto drainsBefore = [](const Machine* left, const Machine* right) {
    return std::tuple(left->replicaCores > 0, left->used.cores, left->no) <
           std::tuple(right->replicaCores > 0, right->used.cores, right->no);
  };
  for (auto& busy : busyByKind) {
    auto end = busy.begin() + static_cast<std::ptrdiff_t>(std::min(kBusyMachinesNamed, busy.size()));
    std::partial_sort(busy.begin(), end, busy.end(), drainsBefore);
    named.insert(named.end(), busy.begin(), end);
  }
  return named;
}

mesh::MachineLoad LoadReporter::describe(const Machine& machine, Time now) const {
  const auto& record = machine.known.record;
  mesh::MachineLoad load;
  load.machine = machine.id.value;
  load.type = record.type;
  load.zone = machine.zone().value;
  load.spot = machine.spot();
  load.freeCores = machine.free().cores;
  load.idleS = machine.placements.empty() ? inSeconds(now - machine.idleSince) : 0;
  load.usable = machine.open();
  load.decommissioning =
      machine.decommissioning || machine.reclaimAt || record.phase != wire::MachinePhase::InUse;
  load.draining = machine.draining;
  load.pinned = load.idleS <= 0 && !callbacks_.replicasCanMove(machine);
  load.ageS = static_cast<double>(runtime_.wall().value - record.since.value) / 1000.0;
  return load;
}

}  // namespace cherryloft
