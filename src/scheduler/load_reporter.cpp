#include "scheduler/load_reporter.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kReportInterval{1'000};
// Maximum number of busy machines of each kind (on-demand, spot) in a report: enough drain candidates to
// choose from.
constexpr std::size_t kMaxBusyMachinesReported = 16;
// Time windows over which the rates of arriving and of completed work are measured.
constexpr Duration kArrivalWindow{120'000};
constexpr Duration kCompletionWindow{20'000};
// Once a job has waited this long, full machines in its zones no longer count as able to take it.
constexpr Duration kZoneFullAfter{10'000};
// Limits the cost of a report in a shard with many full machines.
constexpr unsigned kMaxMachinesExaminedPerPool = 64;

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

void LoadReporter::recordArrivedWork(Time at, double cores, bool spotAllowed) {
  arrived_.push_back({at, cores, spotAllowed});
}

void LoadReporter::recordCompletedWork(Time at, double cores, bool spotAllowed) {
  completed_.push_back({at, cores, spotAllowed});
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
  for (const Machine* machine : machinesToReport()) load.machines.push_back(describe(*machine, now));
  return load;
}

void LoadReporter::countBootingMachines() {
  for (auto& pool : state_.pools()) pool.booting = 0;
  for (auto& [_, machine] : state_.machines())
    machine.pool->booting += !machine.registered && machine.known.record.address.empty() &&
                             machine.known.record.phase == wire::MachinePhase::InUse;
}

// --- work ---

void LoadReporter::UnfinishedWork::add(const Job& job) {
  auto unfinished = job.unfinished().cores;
  coreSeconds += unfinished * job.spec->expectedRunSeconds;
  cores += unfinished;
}

void LoadReporter::UnfinishedWork::setRunTime(mesh::Demand& demand) const {
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
  onDemandOnly.setRunTime(load.onDemandOnly);
  spotAllowed.setRunTime(load.spotAllowed);
}

void LoadReporter::addOpenJob(const Job& job, mesh::ShardLoad& load, Time now) const {
  const auto& spec = *job.spec;
  const auto& each = spec.each;
  auto& demand = demandOf(load, spec.spotAllowed);
  double coresWithinQuota =
      job.team ? std::max(0.0, job.team->coreQuota - state_.teamUsage(spec.team).cores) : 0;
  auto waiting = tasksNeedingCapacity(job, now);
  auto& waitingDemand = callbacks_.avoidsSpot(job) ? load.onDemandOnly : demand;
  waitingDemand.waiting += std::min(each.cores * static_cast<double>(waiting), coresWithinQuota);
  demand.largestTask = std::max(demand.largestTask, each.cores);
  if (each.cores > 0) demand.ramPerCore = std::max(demand.ramPerCore, each.ram / each.cores);
  if (spec.types) demand.types = *spec.types;

  bool waits =
      !job.waiting.empty() && coresWithinQuota >= each.cores - kResourceTolerance && now >= job.notBefore;
  if (!waits || !(spec.spread || spec.zone || spec.oneZone)) return;
  // If there are several such jobs, the zones of the last one are reported.
  if (auto zones = zonesLackingCapacity(job, now)) demand.stuckZones = std::move(*zones);
}

// A job that has failed repeatedly and never succeeded is tried with one task at a time, and between two
// tries it causes no demand, so that no machines are rented or kept for it.
std::size_t LoadReporter::tasksNeedingCapacity(const Job& job, Time now) const {
  if (job.maxConcurrent)
    return std::min<std::size_t>(job.waiting.size(),
                                 *job.maxConcurrent - std::min(job.placed, *job.maxConcurrent));
  if (!failures_.isSuspect(job.id)) return job.waiting.size();
  return now < job.notBefore ? 0 : std::min<std::size_t>(job.waiting.size(), 1);
}

std::optional<std::vector<std::string>> LoadReporter::zonesLackingCapacity(const Job& job, Time now) const {
  std::vector<std::string> allowed;
  bool hasWaitedLong = now - std::max(job.since, job.lastPlacedAt) > kZoneFullAfter;
  for (const auto& zone : settings_.zones) {
    if (!callbacks_.zoneAllows(job, zone)) continue;
    if (zoneMayTake(zone, job, hasWaitedLong)) return std::nullopt;
    allowed.push_back(zone.value);
  }
  return allowed;
}

// Whether a machine in the zone could ever take a task of the job or, once the job has waited too long,
// whether one can take it now or is booting.
bool LoadReporter::zoneMayTake(const Zone& zone, const Job& job, bool hasWaitedLong) const {
  const auto& spec = *job.spec;
  auto mayTake = [&](const MachinePool& pool) {
    bool fits = pool.zone == zone && spec.allowsType(pool.type) && spec.each.fitsIn(pool.size) &&
                (!pool.spot || spec.spotAllowed);
    if (!fits) return false;
    if (!hasWaitedLong) return pool.machines > 0;
    // A booting machine will be available soon; other machines count only if they have free capacity.
    return pool.booting > 0 ||
           pool.hasCapacity(spec.each, kMaxMachinesExaminedPerPool, [](const Machine&) { return true; });
  };
  return std::any_of(state_.pools().begin(), state_.pools().end(), mayTake);
}

void LoadReporter::addRecentWork(mesh::ShardLoad& load, Time now) {
  while (!arrived_.empty() && now - arrived_.front().at > kArrivalWindow) arrived_.pop_front();
  for (const auto& work : arrived_) {
    auto& demand = demandOf(load, work.spotAllowed);
    demand.arriving += work.cores / toSeconds(kArrivalWindow);
    demand.largestJob = std::max(demand.largestJob, work.cores);
  }
  while (!completed_.empty() && now - completed_.front().at > kCompletionWindow) completed_.pop_front();
  for (const auto& work : completed_)
    demandOf(load, work.spotAllowed).departing += work.cores / toSeconds(kCompletionWindow);
}

// --- machines ---

// Returns all machines that are idle or take no work, and of the busy ones only the least loaded of each
// kind, as those are drained first. Machines without replicas come first: replicas don't end by themselves,
// and their machines have the images cached that new replicas need.
std::vector<const Machine*> LoadReporter::machinesToReport() const {
  std::vector<const Machine*> reported;
  std::array<std::vector<const Machine*>, 2> busyByKind;  // on-demand, spot
  for (const auto& [_, machine] : state_.machines()) {
    bool isBusy = machine.open() && !machine.placements.empty();
    (isBusy ? busyByKind.at(machine.spot() ? 1 : 0) : reported).push_back(&machine);
  }
  auto drainsBefore = [](const Machine* left, const Machine* right) {
    return std::tuple(left->replicaCores > 0, left->used.cores, left->no) <
           std::tuple(right->replicaCores > 0, right->used.cores, right->no);
  };
  for (auto& busy : busyByKind) {
    auto end = busy.begin() + static_cast<std::ptrdiff_t>(std::min(kMaxBusyMachinesReported, busy.size()));
    std::partial_sort(busy.begin(), end, busy.end(), drainsBefore);
    reported.insert(reported.end(), busy.begin(), end);
  }
  return reported;
}

mesh::MachineLoad LoadReporter::describe(const Machine& machine, Time now) const {
  const auto& record = machine.known.record;
  mesh::MachineLoad load;
  load.machine = machine.id.value;
  load.type = record.type;
  load.zone = machine.zone().value;
  load.spot = machine.spot();
  load.freeCores = machine.free().cores;
  load.idleS = machine.placements.empty() ? toSeconds(now - machine.idleSince) : 0;
  load.usable = machine.open();
  load.decommissioning =
      machine.decommissioning || machine.reclaimAt || record.phase != wire::MachinePhase::InUse;
  load.draining = machine.draining;
  load.pinned = load.idleS <= 0 && !callbacks_.replicasCanMove(machine);
  load.ageS = static_cast<double>(runtime_.wall().value - record.since.value) / 1000.0;
  return load;
}

}  // namespace cherryloft
