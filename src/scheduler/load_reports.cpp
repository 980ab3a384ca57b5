// What the scheduler tells of its shard: to the leader once a second, and to operators once a minute.
#include <algorithm>
#include <array>
#include <utility>

#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {
constexpr std::size_t kBusyNamed = 16;
constexpr Duration kArrivalsKept{120'000};
constexpr Duration kLeavingKept{20'000};
constexpr Duration kZoneIsFull{
    10'000};  // a job that waits so long for its zone is not helped by what is there
constexpr unsigned kLooked = 64;
}  // namespace

std::string ShardScheduler::summarizeLastMinute() {
  std::size_t open = 0, waiting = 0;
  for (const auto& [_, j] : state_.jobs()) open += j.open(), waiting += j.waiting.size();
  std::size_t booting = 0, silent = 0, suspected = 0, draining = 0,
              decommissioning = 0;  // why machines are not open
  for (const auto& [_, h] : state_.machines()) {
    if (h.open()) continue;
    bool goes = h.decommissioning || h.reclaimAt || h.known.record.phase != wire::MachinePhase::InUse;
    (goes                                         ? decommissioning
     : h.draining                                 ? draining
     : !h.heard && h.known.record.address.empty() ? booting
     : !h.heard || h.cordoned                     ? silent
                                                  : suspected) += 1;
  }
  auto n = latencies_.counts.starts - summarized_.starts,
       looked = latencies_.counts.machinesExamined - summarized_.machinesExamined;
  summarized_ = latencies_.counts;
  return fmt::format(
      "share {}: {} jobs, {} tasks waiting, {} machines ({} open, {} booting, {} silent, {} in doubt, {} "
      "emptying, {} "
      "leaving), {} pages; {} starts in {} rounds, widest "
      "{}, "
      "{} machines looked at, {} stopped for others; ms to placed {}; to committed {}; to shown {}",
      takeover_.shard.value, open, waiting, state_.machines().size(), state_.openMachines().size(), booting,
      silent, suspected, draining, decommissioning, state_.pages().count(), n,
      std::exchange(latencies_.rounds, 0), std::exchange(latencies_.widest, 0), looked,
      std::exchange(latencies_.evicted, 0), latencies_.toPlaced.take(), latencies_.toCommitted.take(),
      latencies_.toShown.take());
}

// Zones that the job's next task may go to, if no machine in any of them could ever take it or, once it has
// waited for a while, can take it now.
void ShardScheduler::stuckZones(const Job& job, mesh::Demand& d) const {
  std::vector<std::string> open;
  bool full = runtime_.now() - std::max(job.since, job.placedLast) > kZoneIsFull;
  for (const auto& z : settings_.zones) {
    if (!constraints_.allowsZone(job, z)) continue;
    for (const auto& p : state_.pools()) {
      const auto& s = *job.spec;
      bool fits = p.zone == z && s.allowsType(p.type) && s.each.fitsIn(p.size) && (!p.spot || s.spotAllowed);
      // One that boots is on its way; of others, after a while, only those with room count.
      if (fits && (full ? p.booting > 0 || p.hasCapacity(s.each, kLooked, [](const Machine&) { return true; })
                        : p.machines > 0))
        return;
    }
    open.push_back(z.value);
  }
  d.stuckZones = std::move(open);
}

// Tasks that are to be placed as soon as there is room. A job that has never worked is tried with one at a
// time, and machines are neither rented nor kept for it between two tries.
std::size_t ShardScheduler::tasksWantingCapacity(const Job& job, Time now) const {
  if (job.maxConcurrent)
    return std::min<std::size_t>(job.waiting.size(),
                                 *job.maxConcurrent - std::min(job.placed, *job.maxConcurrent));
  if (!failures_.suspect(job.id)) return job.waiting.size();
  return now < job.notBefore ? 0 : std::min<std::size_t>(job.waiting.size(), 1);
}

void ShardScheduler::sendLoad() {
  auto now = runtime_.now();
  mesh::ShardLoad load;
  load.shard = takeover_.shard.value;
  load.epoch = takeover_.epoch.value;
  for (auto& p : state_.pools()) p.booting = 0;
  for (auto& [_, h] : state_.machines())
    h.pool->booting +=
        !h.heard && h.known.record.address.empty() && h.known.record.phase == wire::MachinePhase::InUse;
  std::map<const mesh::Demand*, std::pair<double, double>> left;  // core seconds and cores not done yet
  for (auto& [id, job] : state_.jobs()) {
    auto& d = job.spec->spotAllowed ? load.spotAllowed : load.onDemandOnly;
    const auto& each = job.spec->each;
    d.used += each.cores * job.placed;
    if (!job.open()) continue;
    double limit = job.team ? std::max(0.0, job.team->coreQuota - state_.teamUse(job.spec->team).cores) : 0;
    auto& w = constraints_.shouldAvoidSpot(job) ? load.onDemandOnly : d;
    auto waiting = tasksWantingCapacity(job, now);
    w.waiting += std::min(each.cores * static_cast<double>(waiting), limit);
    d.largestTask = std::max(d.largestTask, each.cores);
    auto cores = job.unfinished().cores;
    left[&d].first += cores * job.spec->expectedRunSeconds;
    left[&d].second += cores;
    if (each.cores > 0) d.ramPerCore = std::max(d.ramPerCore, each.ram / each.cores);
    if (job.spec->types) d.types = *job.spec->types;
    bool waits = !job.waiting.empty() && limit >= each.cores - kResourceSlack && now >= job.notBefore;
    if (waits && (job.spec->spread || job.spec->zone || job.spec->oneZone)) stuckZones(job, d);
  }
  while (!arrivals_.empty() && now - arrivals_.front().at > kArrivalsKept) arrivals_.pop_front();
  for (const auto& a : arrivals_) {
    auto& d = a.spotAllowed ? load.spotAllowed : load.onDemandOnly;
    d.arriving += a.cores / inSeconds(kArrivalsKept);
    d.largestJob = std::max(d.largestJob, a.cores);
  }
  for (auto* d : {&load.onDemandOnly, &load.spotAllowed})
    if (auto l = left.find(d); l != left.end() && l->second.second > 0)
      d->runS = l->second.first / l->second.second;
  while (!departures_.empty() && now - departures_.front().at > kLeavingKept) departures_.pop_front();
  for (const auto& l : departures_)
    (l.spotAllowed ? load.spotAllowed : load.onDemandOnly).departing += l.cores / inSeconds(kLeavingKept);
  // Machines in plain use are not named, but for the few of each kind with least on them: those are let go of
  // first. Replicas do not end by themselves, and where they are their images are, for new ones.
  std::vector<const Machine*> named;
  std::array<std::vector<const Machine*>, 2> busy;
  for (const auto& [_, h] : state_.machines())
    (!h.open() || h.placements.empty() ? named : busy[h.spot()]).push_back(&h);
  for (auto& kind : busy) {
    auto few = std::min(kBusyNamed, kind.size());
    std::partial_sort(kind.begin(), kind.begin() + static_cast<std::ptrdiff_t>(few), kind.end(),
                      [](const Machine* a, const Machine* b) {
                        return std::tuple(a->replicaCores > 0, a->used.cores, a->no) <
                               std::tuple(b->replicaCores > 0, b->used.cores, b->no);
                      });
    named.insert(named.end(), kind.begin(), kind.begin() + static_cast<std::ptrdiff_t>(few));
  }
  for (const Machine* h : named) {
    double idle = h->placements.empty() ? inSeconds(now - h->idleSince) : 0;
    bool decommissioning =
        h->decommissioning || h->reclaimAt || h->known.record.phase != wire::MachinePhase::InUse;
    load.machines.push_back(
        {h->id.value, h->known.record.type, h->zone().value, h->spot(), h->free().cores, idle, h->open(),
         decommissioning, h->draining, idle <= 0 && !movableReplicas(*h),
         static_cast<double>(runtime_.wall().value - h->known.record.since.value) / 1000.0});
  }
  callbacks_.load(load);
}

}  // namespace cherryloft
