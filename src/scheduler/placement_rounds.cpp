// Rounds of decisions: who waits, where it may go, and who must make room.
#include <algorithm>
#include <utility>

#include "policy/coupling.h"
#include "policy/preempt.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {

constexpr unsigned kTurn = 8;     // tasks a job is given before the next in line has its turn
constexpr double kOverdueS = 90;  // a job that has not begun by then has a turn before all others
constexpr Duration kBetweenRounds{30};
constexpr Duration kBetweenTrials{15'000};  // of a job that never worked, while a task of it is somewhere
constexpr double kLongRun = 0.7;  // part of what its aim allows that makes a task too long for a spot machine
constexpr double kLostRun = 0.5;  // the same for age and run of a job that lost a task already
constexpr double kNoHope = 1.3;

}  // namespace

// Asks for a round. Machines in `at` reported; `everywhere` counts as a report of every machine with room.
void ShardScheduler::requestRound(bool everywhere, const MachineId* at) {
  considerAllMachines_ |= everywhere;
  if (at) machinesToConsider_.insert(*at);
  if (roundScheduled_) return;
  roundScheduled_ = true;
  // What comes within a moment shards a round: a fleet's reports come faster than rounds are worth it.
  runtime_.after(std::max(lastRound_ + kBetweenRounds - runtime_.now(), Duration{0}), guarded([this] {
                   roundScheduled_ = false;
                   runRound();
                 }));
}

void ShardScheduler::runRound() {
  lastRound_ = runtime_.now();
  if (!loaded_ || !owns() || ownershipTransferSent_ || committing_ || commitInFlight_) {
    if (!committing_) commit();
    return;
  }
  if (!transferringTo_) {
    auto before = unwrittenTasks_.size();
    place();
    ++latencies_.rounds;
    latencies_.widest = std::max(latencies_.widest, unwrittenTasks_.size() - before);
  }
  commit();
}

std::vector<ShardScheduler::Ranked> ShardScheduler::candidates() {
  auto now = runtime_.now();
  auto wall = runtime_.wall();
  std::vector<Ranked> out;
  for (const auto& [team, jobs] : state_.teams()) {
    const Team* t = settings_.team(team);
    Resources sum;
    for (const auto& [_, job] : jobs) {
      if (!job->open()) continue;
      sum += job->unfinished();
      if (job->waiting.empty() || now < job->notBefore) continue;
      policy::Candidate c;
      c.priority = job->spec->priority;
      // Only the owner of a delegated job knows what its team takes in all.
      c.guaranteed =
          t && !job->delegation && Resources{sum.cores, sum.gpus, 0}.fitsIn({t->cores, t->gpus, 0});
      c.ageS = static_cast<double>(wall.value - job->submitted.value) / 1000.0;
      if (job->spec->deadlineSeconds)
        c.slackS = *job->spec->deadlineSeconds - c.ageS - job->spec->expectedRunSeconds;
      c.workLeft = job->unfinished().cores * job->spec->expectedRunSeconds;
      // Owners' estimates are often wrong by half: half of one must fit.
      auto within = job->spec->deadlineSeconds ? job->spec->deadlineSeconds
                                               : settings_.finishWithin(job->spec->jobClass);
      c.hopeful = !within || c.ageS + 0.5 * job->spec->expectedRunSeconds <= *within;
      c.overdue = !job->begun && c.ageS > kOverdueS;
      out.push_back({job, c});
    }
  }
  return out;
}

void ShardScheduler::place() {
  auto list = candidates();
  std::map<TeamId, unsigned> turns;
  std::vector<Ranked> blocked;
  // The batch is as wide as one transaction; what is left forms the next round.
  while (!list.empty() && unwrittenTasks_.size() < roundWidth()) {
    for (auto& r : list) r.c.turns = turns[r.job->spec->team];
    auto best = std::min_element(list.begin(), list.end(),
                                 [](const Ranked& a, const Ranked& b) { return policy::before(a.c, b.c); });
    if (best->job->isGang()) {
      if (!placeGang(*best->job)) blocked.push_back(*best);
      list.erase(best);
      continue;
    }
    auto most = std::min<std::size_t>(kTurn, best->job->waiting.size());
    if (failures_.suspect(best->job->id)) {
      placeProbeTask(*best->job);
      list.erase(best);
      continue;
    }
    auto got = placeTasks(*best->job, static_cast<unsigned>(most));
    ++turns[best->job->spec->team];
    best->c.overdue = false;  // it has begun, or there is no room for it
    if (got == most && !best->job->waiting.empty()) continue;
    if (got < most && state_.withinLimit(*best->job)) blocked.push_back(*best);
    list.erase(best);
  }
  bool withoutCapacity =
      std::any_of(blocked.begin(), blocked.end(), [&](const Ranked& r) { return !hasCapacity(*r.job); });
  considerAllMachines_ = false;
  machinesToConsider_.clear();
  if (withoutCapacity && cancelOneDrain()) return requestRound(true);
  preempt(blocked);
  if (!list.empty()) considerAllMachines_ = true;  // these had no turn yet
}

// A job that has failed wherever it was tried takes room for one task at a time, and nobody gives way to it.
void ShardScheduler::placeProbeTask(Job& job) {
  if (job.placed == 0 || runtime_.now() - job.placedLast >= kBetweenTrials) placeTasks(job, 1);
}

unsigned ShardScheduler::placeTasks(Job& job, unsigned most) {
  if (!state_.withinLimit(job) || !anyFreeCores(job)) return 0;
  job.avoidSpot = fragile(job);
  auto turn = beginTurn(job);
  unsigned got = 0;
  // The members of a gang find each other by their common attempt.
  bool gang = job.isGang();
  auto common = job.delegation ? job.delegation->attempt : job.gangAttempt;
  if (gang && !common) common = attemptOf(takeover_.epoch, ++attempts_);
  while (got < most && !job.waiting.empty() && state_.withinLimit(job)) {
    Machine* h = choose(job, turn);
    if (!h && std::exchange(job.avoidSpot, false)) {
      turn = beginTurn(job);
      continue;
    }
    if (!h) break;
    auto index = job.waiting.front();
    job.waiting.pop_front();
    auto attempt = gang ? *common : attemptOf(takeover_.epoch, ++attempts_);
    state_.place(job, index, *h, attempt, runtime_.now());
    state_.cached(*h, job.spec->image, job.spec->imageGb);
    h->contactDue = true;
    unwrittenTasks_.push_back({job.id, index});
    placementsUnwritten_ = true;
    latencies_.toPlaced.add(runtime_.now() - job.since);
    ++latencies_.counts.starts;
    log_->debug("{}/{} to {}", job.id.value, index, h->id.value);
    ++got;
  }
  job.avoidSpot = false;
  return got;
}

// Some pool has a machine with cores enough. While none has, no holder need be looked at either.
bool ShardScheduler::anyFreeCores(const Job& job) const {
  return std::any_of(state_.pools().begin(), state_.pools().end(), [&](const Pool& p) {
    return !p.byFreeCores.empty() &&
           p.byFreeCores.rbegin()->first.first >= job.spec->each.cores - kResourceSlack && allowedIn(job, p);
  });
}

// One more loss of a cheap machine and the job is late: it rather goes to ordinary ones, while it has hope.
bool ShardScheduler::fragile(const Job& job) const {
  const auto& s = *job.spec;
  auto within = settings_.finishWithin(s.jobClass);
  if (!s.spotAllowed || !within) return false;
  double ageS = static_cast<double>(runtime_.wall().value - job.submitted.value) / 1000.0;
  if (ageS + s.expectedRunSeconds > kNoHope * *within) return false;
  return s.expectedRunSeconds > kLongRun * *within ||
         (job.lost > 0 && ageS + s.expectedRunSeconds > kLostRun * *within);
}

bool ShardScheduler::zoneAllows(const Job& job, const Zone& zone, unsigned come) const {
  const auto& s = *job.spec;
  if (s.zone && *s.zone != zone) return false;
  if (job.onlyZone && *job.onlyZone != zone) return false;
  // The owner's shard keeps to the rules about zones.
  if (job.delegation) return !job.delegation->zone || *job.delegation->zone == zone;
  if (s.oneZone && !job.zones.empty() && (job.zones.size() > 1 || job.zones.begin()->first != zone))
    return false;
  if (!s.spread) return true;
  auto it = job.zones.find(zone);
  return (it == job.zones.end() ? 0 : it->second) + come + 1 <= (s.tasks + 1) / 2;
}

// Whether some machine could take the job's next task now, whatever the draw says.
bool ShardScheduler::hasCapacity(const Job& job) const {
  return std::any_of(state_.pools().begin(), state_.pools().end(), [&](const Pool& p) {
    return allowedIn(job, p) && p.hasCapacity(job.spec->each, settings_.tuning.sampleSize,
                                              [&](const Machine& h) { return allowed(job, h); });
  });
}

// The start on a machine without the image would miss the class's aim by the fetch alone.
bool ShardScheduler::tooSlow(const Job& job, const Machine& h) const {
  auto within = settings_.startWithin(job.spec->jobClass);
  return within && job.holders->count(h.no) == 0 && h.fetchS(*job.spec) > *within;
}

// Room is short: machines that were to empty themselves take work again. True if there were any.
bool ShardScheduler::cancelOneDrain() {
  bool any = false;
  for (auto& [_, h] : state_.machines()) {
    if (h.decommissioning || !std::exchange(h.draining, false)) continue;
    state_.reindex(h);
    any = true;
  }
  return any;
}

// Everything but room and the draw: type, kind, zone, and the zones of the job's other tasks.
bool ShardScheduler::allowed(const Job& job, const Machine& h) const {
  return h.open() && zoneAllows(job, h.zone()) && allowedKind(job, h);
}

// Type, kind and zone, for all machines of a pool at once.
bool ShardScheduler::allowedIn(const Job& job, const Pool& p) const {
  const auto& s = *job.spec;
  return s.allowsType(p.type) && (!p.spot || (s.spotAllowed && !job.avoidSpot)) && zoneAllows(job, p.zone);
}

bool ShardScheduler::allowedKind(const Job& job, const Machine& h) const {
  const auto& s = *job.spec;
  if (!s.allowsType(h.known.record.type) || (h.spot() && (!s.spotAllowed || job.avoidSpot))) return false;
  return !failures_.avoids(job.id, h.id, state_.machines().size(), runtime_.now());
}

// Which of two machines with room a task should rather go to, the image aside.
bool ShardScheduler::better(const Job& job, const Machine& a, const Machine& b) const {
  if (a.spot() != b.spot()) return a.spot();  // cheap machines first for those who may use them
  if (job.spec->kind == JobKind::Service) {
    auto in = [&](const Machine& h) {
      auto it = job.zones.find(h.zone());
      return it == job.zones.end() ? 0U : it->second;
    };
    if (in(a) != in(b)) return in(a) < in(b);
    // Together on few machines, small ones first, so that the others can go when the rest is done.
    if (std::abs(a.replicaCores - b.replicaCores) > 1e-9) return a.replicaCores > b.replicaCores;
    if (std::abs(a.size.cores - b.size.cores) > 1e-9) return a.size.cores < b.size.cores;
    return a.no < b.no;
  }
  if (std::abs(a.free().cores - b.free().cores) > 1e-9) return a.free().cores < b.free().cores;
  return a.no < b.no;
}

// A turn's look at the machines that cache the image. They stay in order while the turn fills them: the
// fullest that still fits comes first.
ShardScheduler::PlacementTurn ShardScheduler::beginTurn(const Job& job) {
  PlacementTurn turn;
  latencies_.counts.machinesExamined += job.holders->size();
  for (const auto& [_, h] : *job.holders)
    if (job.spec->each.fitsIn(h->free()) && allowed(job, *h)) turn.holders.push_back(h);
  std::sort(turn.holders.begin(), turn.holders.end(),
            [&](const Machine* a, const Machine* b) { return better(job, *a, *b); });
  return turn;
}

Machine* ShardScheduler::holder(const Job& job, PlacementTurn& turn) const {
  auto fits = [&](const Machine* h) { return job.spec->each.fitsIn(h->free()) && allowed(job, *h); };
  if (job.spec->kind == JobKind::Service) {
    Machine* best = nullptr;
    for (Machine* h : turn.holders)
      if (fits(h) && (!best || better(job, *h, *best))) best = h;
    return best;
  }
  auto it = std::find_if(turn.holders.begin(), turn.holders.end(), fits);
  turn.holders.erase(turn.holders.begin(), it);
  return turn.holders.empty() ? nullptr : turn.holders.front();
}

// Up to K machines with room that do not cache the image, in the order in which they should be tried.
std::vector<Machine*> ShardScheduler::others(const Job& job, const PlacementTurn& turn) {
  const auto& spec = *job.spec;
  // Where a start is to come soon, the time of the fetch decides (DESIGN.md, exceptions).
  bool hasObjective = settings_.startWithin(spec.jobClass).has_value();
  auto sortOthers = [&](std::vector<Machine*>& list) {
    std::stable_sort(list.begin(), list.end(), [&](const Machine* a, const Machine* b) {
      auto fa = hasObjective ? a->fetchS(spec) : 0, fb = hasObjective ? b->fetchS(spec) : 0;
      return fa != fb ? fa < fb : better(job, *a, *b);
    });
  };
  auto takes = [&](const Machine& h) {
    return spec.each.fitsIn(h.free()) && job.holders->count(h.no) == 0 && turn.refused.count(h.no) == 0 &&
           allowed(job, h);
  };
  std::vector<Machine*> out;
  if (!considerAllMachines_) {
    for (const auto& id : machinesToConsider_)
      if (auto it = state_.machines().find(id); it != state_.machines().end() && takes(it->second))
        out.push_back(&it->second);
    sortOthers(out);
    return out;
  }
  struct Walk {
    const Pool* pool;
    decltype(Pool::byFreeCores)::const_iterator at;
  };
  std::vector<Walk> walks;
  for (const auto& p : state_.pools()) {
    if (!allowedIn(job, p)) continue;
    auto at = p.withFreeCores(spec.each.cores);
    if (at != p.byFreeCores.end()) walks.push_back({&p, at});
  }
  auto key = [&](const Walk& w) {
    double fetch = hasObjective && w.pool->fetchGbPerS > 0 ? spec.imageGb / w.pool->fetchGbPerS : 0;
    return std::tuple(fetch, !w.pool->spot, w.at->first);
  };
  // As many again may be looked at in vain: holders that are full for their memory, or refused before.
  for (unsigned looked = 0;
       !walks.empty() && out.size() < settings_.tuning.sampleSize && looked < 4 * settings_.tuning.sampleSize;
       ++looked, ++latencies_.counts.machinesExamined) {
    auto w = std::min_element(walks.begin(), walks.end(),
                              [&](const Walk& a, const Walk& b) { return key(a) < key(b); });
    Machine* h = w->at->second;
    if (takes(*h)) out.push_back(h);
    if (++w->at == w->pool->byFreeCores.end()) walks.erase(w);
  }
  sortOthers(out);
  return out;
}

policy::SampleEstimate ShardScheduler::sample(const Job& job) {
  const auto& owned = state_.openMachines();
  auto picked = policy::sampleIndices(owned.size(), settings_.tuning.sampleSize, rng_);
  policy::SampleEstimate sample;
  latencies_.counts.machinesExamined += picked.size();
  double withFreeCores = 0, holding = 0;
  for (auto i : picked) {
    if (!job.spec->each.fitsIn(owned[i]->free()) || !allowed(job, *owned[i])) continue;
    ++withFreeCores;
    holding += job.holders->count(owned[i]->no) > 0;
  }
  if (!picked.empty()) {
    sample.holders = holding / static_cast<double>(picked.size());
    sample.withFreeCores =
        withFreeCores / static_cast<double>(picked.size()) * static_cast<double>(owned.size());
  }
  return sample;
}

Machine* ShardScheduler::choose(Job& job, PlacementTurn& turn) {
  if (Machine* h = holder(job, turn)) return h;
  auto list = others(job, turn);
  if (list.empty()) return nullptr;
  // If even the shortest fetch is too long, room is made on a machine that has the image.
  // A gang starts with its slowest member: it is placed whole on what there is.
  bool waits = runtime_.now() >= job.anyStartUntil && !job.isGang();
  if (waits && tooSlow(job, *list.front()) && holderCouldPreempt(job)) return nullptr;
  if (!turn.sample) turn.sample = sample(job);
  if (!turn.holdingZones) {
    turn.holdingZones.emplace();
    for (const auto& [_, h] : *job.holders)
      if (h->open()) turn.holdingZones->insert(h->zone());
  }
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  for (Machine* h : list) {
    auto first = h->placements.lower_bound({job.id, 0});
    bool placementPages = first != h->placements.end() && first->first.job == job.id;
    double p =
        policy::couplingProbability(policy::alphaOf(turn.holdingZones->count(h->zone()) > 0, placementPages),
                                    *turn.sample, static_cast<double>(job.waiting.size()));
    if (uniform(rng_) < p) {
      // From now on it counts as a holder: the rest of the turn may fill it.
      turn.holders.push_back(h);
      return h;
    }
    turn.refused.insert(h->no);
  }
  return nullptr;
}

}  // namespace cherryloft
