#include "scheduler/load_reporter.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "scheduler/demand_summary.h"

namespace cherryloft {
namespace {
constexpr Duration kReportInterval{1'000};
// Maximum number of busy machines of each kind (on-demand, spot) in a report: enough drain candidates to
// choose from.
constexpr std::size_t kMaxBusyMachinesReported = 16;
// Time windows over which the rates of arriving and of completed work are measured.
constexpr Duration kArrivalWindow{120'000};
constexpr Duration kCompletionWindow{20'000};

mesh::Demand& demandOf(mesh::LoadDetails& load, bool spotAllowed) {
  return spotAllowed ? load.spotAllowed : load.onDemandOnly;
}
}  // namespace

LoadReporter::LoadReporter(const Settings& settings, const Catalog& catalog, const Runtime& runtime,
                           ShardTakeover takeover, const ShardState& state,
                           const FailureAttribution& failures, CapacityDemand::Rules rules,
                           Callbacks callbacks)
    : catalog_(catalog),
      runtime_(runtime),
      takeover_(takeover),
      state_(state),
      demand_(settings, catalog, runtime, state, failures, std::move(rules)),
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
  auto& details = load.details.emplace();
  addJobs(details);
  addRecentWork(details, now);
  details.machinesVersion = machinesVersion();
  load.onDemandOnly = demandForOlderLeader(details, false);
  load.spotAllowed = demandForOlderLeader(details, true);
  for (const Machine* machine : machinesToReport()) load.machines.push_back(describe(*machine, now));
  ++reportsSent_;
  return load;
}

// --- work ---

void LoadReporter::addJobs(mesh::LoadDetails& load) {
  std::array<DemandSummary, 2> summaries{DemandSummary{catalog_}, DemandSummary{catalog_}};
  for (const auto& [_, job] : state_.jobs()) {
    const auto& spec = *job.spec;
    demandOf(load, spec.spotAllowed).used += spec.each.cores * job.placed;
    if (!job.open()) continue;
    summaries.at(spec.spotAllowed ? 1 : 0).addOpen(spec, job.unfinished().cores, demand_.suitableTypes(spec));
  }
  auto waitingJobs = demand_.waitingJobs();
  for (const auto& waiting : waitingJobs) {
    const auto& spec = *waiting.job->spec;
    bool mayUseSpot = spec.spotAllowed && !waiting.avoidsSpot;
    double cores = spec.each.cores * waiting.tasks;
    demandOf(load, mayUseSpot).waiting += cores;
    summaries.at(mayUseSpot ? 1 : 0).addWaiting(spec, cores, waiting.types);
  }
  summaries[0].writeTo(load.onDemandOnly);
  summaries[1].writeTo(load.spotAllowed);
  load.waiting = demand_.groups(waitingJobs);
}

// A leader that does not know the details rents for a task of the sizes, types and zones given here: those of
// one group that lacks capacity, a different one in each report.
mesh::Demand LoadReporter::demandForOlderLeader(const mesh::LoadDetails& load, bool spotAllowed) const {
  auto demand = spotAllowed ? load.spotAllowed : load.onDemandOnly;
  std::vector<const mesh::WaitingTaskGroup*> lacking;
  for (const auto& group : load.waiting)
    if (group.lacking > 0 && group.spotAllowed == spotAllowed && group.cores > 0) lacking.push_back(&group);
  if (lacking.empty()) return demand;
  const auto& group = *lacking[reportsSent_ % lacking.size()];
  demand.largestTask = group.cores;
  demand.ramPerCore = group.ramGb / group.cores;
  demand.types = group.types;
  for (const auto& zone : group.zones) demand.stuckZones.push_back(zone.zone);
  return demand;
}

std::uint64_t LoadReporter::machinesVersion() const {
  std::uint64_t latest = 0;
  for (const auto& [_, machine] : state_.machines()) latest = std::max(latest, machine.known.version.value);
  return latest;
}

void LoadReporter::addRecentWork(mesh::LoadDetails& load, Time now) {
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
