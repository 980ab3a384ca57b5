// Rounds of decisions: who waits, where it may go, and who must make room.
#include <algorithm>
#include <utility>

#include "actors/scheduler.h"
#include "policy/coupling.h"
#include "policy/preempt.h"

namespace cherryloft {
namespace {

constexpr unsigned kTurn = 8;                 // tasks a job is given before the next in line has its turn
constexpr unsigned kMostEvictionsAsked = 16;  // tasks per round for which room is made
constexpr double kSlowStart = 100;    // core seconds of work that a start in time for its aim is worth
constexpr Duration kAnyStart{3'000};  // for how long a job then takes machines without its image
constexpr double kServiceLoss = 600;  // seconds of work that moving a replica counts as

double fetchS(const Host& h, const JobSpec& job) {
  return h.fetchGbPerS > 0 ? job.imageGb / h.fetchGbPerS : 0;
}

double replicaCores(const Host& h) {
  double cores = 0;
  for (const auto& [_, p] : h.placements)
    if (p.job->spec->shape == Shape::Service) cores += p.job->spec->each.cores;
  return cores;
}

}  // namespace

// Asks for a round. Machines in `at` reported; `everywhere` counts as a report of every machine with room.
void Scheduler::wake(bool everywhere, const HostId* at) {
  drawEverywhere_ |= everywhere;
  if (at) drawAt_.insert(*at);
  if (roundSet_) return;
  roundSet_ = true;
  io_.after(Duration{0}, guarded([this] {
              roundSet_ = false;
              round();
            }));
}

void Scheduler::round() {
  if (!loaded_ || !owns() || gaveUpShare_ || committing_ || flight_) {
    if (!committing_) commit();
    return;
  }
  if (!givingTo_) place();
  commit();
}

std::vector<Scheduler::Ranked> Scheduler::candidates() {
  auto now = io_.now();
  auto wall = io_.wall();
  std::vector<Ranked> out;
  std::map<TeamId, std::vector<Job*>> byTeam;
  for (auto& [_, job] : books_.jobs())
    if (job.open()) byTeam[job.spec->team].push_back(&job);
  for (auto& [team, jobs] : byTeam) {
    std::stable_sort(jobs.begin(), jobs.end(), [](Job* a, Job* b) { return a->submitted < b->submitted; });
    const Team* t = settings_.team(team);
    Resources sum;
    for (Job* job : jobs) {
      sum += job->unfinished();
      if (job->waiting.empty() || now < job->notBefore) continue;
      policy::Candidate c;
      c.rank = job->spec->rank;
      c.guaranteed = t && Resources{sum.cores, sum.gpus, 0}.fitsIn({t->cores, t->gpus, 0});
      c.ageS = static_cast<double>(wall.value - job->submitted.value) / 1000.0;
      if (job->spec->dueS) c.slackS = *job->spec->dueS - c.ageS - job->spec->expectS;
      c.workLeft = job->unfinished().cores * job->spec->expectS;
      // Owners' estimates are often wrong by half: half of one must fit.
      auto within = job->spec->dueS ? job->spec->dueS : settings_.finishWithin(job->spec->jobClass);
      c.hopeful = !within || c.ageS + 0.5 * job->spec->expectS <= *within;
      out.push_back({job, c});
    }
  }
  return out;
}

void Scheduler::place() {
  auto list = candidates();
  std::map<TeamId, unsigned> turns;
  std::vector<Ranked> blocked;
  // The batch is as wide as one transaction; what is left forms the next round.
  while (!list.empty() && dirty_.size() < settings_.txnOps) {
    for (auto& r : list) r.c.turns = turns[r.job->spec->team];
    auto best = std::min_element(list.begin(), list.end(),
                                 [](const Ranked& a, const Ranked& b) { return policy::before(a.c, b.c); });
    if (best->job->spec->shape == Shape::Gang) {
      if (!placeGang(*best->job)) blocked.push_back(*best);
      list.erase(best);
      continue;
    }
    auto most = std::min<std::size_t>(kTurn, best->job->waiting.size());
    auto got = placeSome(*best->job, static_cast<unsigned>(most));
    ++turns[best->job->spec->team];
    if (got == most && !best->job->waiting.empty()) continue;
    if (got < most && books_.withinLimit(*best->job)) blocked.push_back(*best);
    list.erase(best);
  }
  drawEverywhere_ = false;
  drawAt_.clear();
  bool roomless =
      std::any_of(blocked.begin(), blocked.end(), [&](const Ranked& r) { return !anyRoom(*r.job); });
  if (roomless && keepEmptying()) return wake(true);
  makeRoom(blocked);
  if (!list.empty()) drawEverywhere_ = true;  // these had no turn yet
}

unsigned Scheduler::placeSome(Job& job, unsigned most) {
  std::set<HostId> refused;  // by the draw, in this round
  unsigned got = 0;
  // The members of a gang find each other by their common attempt.
  bool gang = job.spec->shape == Shape::Gang;
  if (gang) ++attempts_;
  while (got < most && !job.waiting.empty() && books_.withinLimit(job)) {
    Host* h = choose(job, refused);
    if (!h) break;
    auto index = job.waiting.front();
    job.waiting.pop_front();
    auto attempt = attemptOf(taken_.epoch, gang ? attempts_ : ++attempts_);
    books_.place(job, index, *h, attempt, io_.now());
    h->images.touch(job.spec->image, job.spec->imageGb);
    dirty_.insert({job.id, index / job.chunk});
    log_->debug("{}/{} to {}", job.id.value, index, h->id.value);
    ++got;
  }
  return got;
}

// A gang is placed whole: machines for all its members in one pass, or none of them. False: it is blocked.
bool Scheduler::placeGang(Job& job) {
  if (job.placed > 0) return true;  // what is left of an earlier try must go first
  auto keys = (job.tasks.size() + job.chunk - 1) / job.chunk;
  if (!dirty_.empty() && dirty_.size() + keys > settings_.txnOps) return true;  // the next round is its own
  auto all = static_cast<unsigned>(job.waiting.size());
  if (placeSome(job, all) == all) return true;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    if (Host* h = job.tasks[i].host) books_.gone(*h, TaskId{job.id, i}, io_.now());
  dirty_.erase(dirty_.lower_bound({job.id, 0}), dirty_.upper_bound({job.id, UINT32_MAX}));
  std::sort(job.waiting.begin(), job.waiting.end());
  return false;
}

// A member is gone: the others can't go on without it and start anew with it.
void Scheduler::gangBroken(Job& job) {
  if (job.spec->shape != Shape::Gang || job.status != JobStatus::Open) return;
  std::set<HostId> on;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    Host* h = job.tasks[i].host;
    auto id = TaskId{job.id, i};
    if (!h || !h->placements.at(id).wanted) continue;
    stop(*h, id, h->placements.at(id));
    on.insert(h->id);
  }
  for (const auto& id : on)
    if (Host* h = books_.host(id)) direct(*h);
}

bool Scheduler::zoneAllows(const Job& job, const Zone& zone, const std::map<Zone, unsigned>& zones) const {
  const auto& s = *job.spec;
  if (s.zone && *s.zone != zone) return false;
  if (s.oneZone && !zones.empty() && (zones.size() > 1 || zones.begin()->first != zone)) return false;
  auto it = zones.find(zone);
  return !s.spread || it == zones.end() || it->second + 1 <= (s.tasks + 1) / 2;
}

// Whether some machine could take the job's next task now, whatever the draw says.
bool Scheduler::anyRoom(const Job& job) const {
  auto zones = books_.zonesOf(job);
  return std::any_of(books_.hosts().begin(), books_.hosts().end(), [&](const auto& h) {
    return allowed(job, h.second, zones) && job.spec->each.fitsIn(h.second.free());
  });
}

// The start on a machine without the image would miss the class's aim by the fetch alone.
bool Scheduler::tooSlow(const Job& job, const Host& h) const {
  auto within = settings_.startWithin(job.spec->jobClass);
  return within && !h.images.has(job.spec->image) && fetchS(h, *job.spec) > *within;
}

// Tasks that the job may stop on the machine, and what they are.
std::pair<std::vector<policy::Victim>, std::vector<TaskId>> Scheduler::victims(const Job& job,
                                                                               bool guaranteed,
                                                                               const Host& h) const {
  auto now = io_.now();
  std::vector<policy::Victim> offered;
  std::vector<TaskId> tasks;
  for (const auto& [task, p] : h.placements) {
    const auto& other = *p.job->spec;
    const Team* t = settings_.team(other.team);
    bool above = t && books_.teamUse(other.team).cores - other.each.cores >= t->cores - 1e-6;
    bool sameTeam = other.team == job.spec->team;
    // What this very round placed is not stopped by it: the two would take turns for ever.
    if (!p.committed || !p.wanted ||
        !policy::mayStop(job.spec->rank, guaranteed, sameTeam, other.rank, above))
      continue;
    double ran = p.shown && p.phase == wire::TaskPhase::Running ? inSeconds(now - p.runningSince) : 0;
    if (other.snapshotEveryS > 0) ran = std::min(ran, other.snapshotEveryS);
    if (other.shape == Shape::Service) ran += kServiceLoss;
    offered.push_back({other.each, ran});
    tasks.push_back(task);
  }
  return {std::move(offered), std::move(tasks)};
}

bool Scheduler::holderCouldMakeRoom(const Job& job, const std::map<Zone, unsigned>& zones) const {
  return std::any_of(books_.hosts().begin(), books_.hosts().end(), [&](const auto& x) {
    const Host& h = x.second;
    if (!h.images.has(job.spec->image) || !allowed(job, h, zones)) return false;
    auto e = policy::evict(h.free() + h.leavingRoom(), job.spec->each, victims(job, false, h).first);
    return e && e->lost <= kSlowStart;
  });
}

// Room is short: machines that were to empty themselves take work again. True if there were any.
bool Scheduler::keepEmptying() {
  bool any = false;
  for (auto& [_, h] : books_.hosts()) any |= !h.leaving && std::exchange(h.emptying, false);
  return any;
}

// Everything but room and the draw: type, kind, zone, and the zones of the job's other tasks.
bool Scheduler::allowed(const Job& job, const Host& h, const std::map<Zone, unsigned>& zones) const {
  const auto& s = *job.spec;
  if (!usable(h) || !s.allowsType(h.known.record.type) || (h.spot() && !s.lendable)) return false;
  if (!zoneAllows(job, h.zone(), zones)) return false;
  return job.failedOn.count(h.id) == 0 || job.failedOn.size() >= books_.hosts().size();
}

Host* Scheduler::choose(Job& job, std::set<HostId>& refused) {
  const auto& spec = *job.spec;
  auto zones = books_.zonesOf(job);
  std::vector<Host*> owned, holders, others;
  for (auto& [_, h] : books_.hosts()) {
    if (!usable(h)) continue;  // a machine out of sight must not keep p low
    owned.push_back(&h);
    if (!allowed(job, h, zones) || !spec.each.fitsIn(h.free())) continue;
    (h.images.has(spec.image) ? holders : others).push_back(&h);
  }
  auto better = [&](const Host* a, const Host* b) {
    if (a->spot() != b->spot()) return a->spot();  // cheap machines first for those who may use them
    if (spec.shape == Shape::Service) {
      auto za = zones.count(a->zone()) ? zones.at(a->zone()) : 0,
           zb = zones.count(b->zone()) ? zones.at(b->zone()) : 0;
      if (za != zb) return za < zb;
      // Together on few machines, small ones first, so that the others can go when the rest is done.
      auto ra = replicaCores(*a), rb = replicaCores(*b);
      if (std::abs(ra - rb) > 1e-9) return ra > rb;
      if (std::abs(a->size.cores - b->size.cores) > 1e-9) return a->size.cores < b->size.cores;
      return a->id < b->id;
    }
    if (std::abs(a->free().cores - b->free().cores) > 1e-9) return a->free().cores < b->free().cores;
    return a->id < b->id;
  };
  if (!holders.empty()) return *std::min_element(holders.begin(), holders.end(), better);
  if (others.empty()) return nullptr;
  // Where a start is to come soon, the time of the fetch decides; if even the shortest is too long, room is
  // made on a machine that has the image (DESIGN.md, exceptions).
  if (settings_.startWithin(spec.jobClass)) {
    std::stable_sort(others.begin(), others.end(), [&](const Host* a, const Host* b) {
      auto fa = fetchS(*a, spec), fb = fetchS(*b, spec);
      return fa != fb ? fa < fb : better(a, b);
    });
    bool waits = io_.now() >= job.anyStartUntil;
    if (waits && tooSlow(job, *others.front()) && holderCouldMakeRoom(job, zones)) return nullptr;
  } else {
    std::sort(others.begin(), others.end(), better);
  }
  auto picked = policy::sample(owned.size(), settings_.tuning.sample, rng_);
  policy::Peek peek;
  double withRoom = 0, holding = 0;
  for (auto i : picked) {
    if (!spec.each.fitsIn(owned[i]->free())) continue;
    ++withRoom;
    holding += owned[i]->images.has(spec.image);
  }
  if (!picked.empty()) {
    peek.holders = holding / static_cast<double>(picked.size());
    peek.withRoom = withRoom / static_cast<double>(picked.size()) * static_cast<double>(owned.size());
  }
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  for (Host* h : others) {
    if (refused.count(h->id) > 0 || !(drawEverywhere_ || drawAt_.count(h->id) > 0)) continue;
    bool zoneHolds = std::any_of(owned.begin(), owned.end(), [&](const Host* o) {
      return o->zone() == h->zone() && o->images.has(spec.image);
    });
    bool runs = std::any_of(h->placements.begin(), h->placements.end(),
                            [&](const auto& p) { return p.second.job == &job; });
    double p = policy::couplingProbability(policy::alphaOf(zoneHolds, runs), peek,
                                           static_cast<double>(job.waiting.size()));
    if (uniform(rng_) < p) return h;
    refused.insert(h->id);
  }
  return nullptr;
}

// Stops what may be stopped for those who found no room, in their order, least lost work first.
void Scheduler::makeRoom(const std::vector<Ranked>& blocked) {
  std::map<HostId, Resources> room;  // free now or soon, less what is spoken for
  for (auto& [id, h] : books_.hosts())
    if (usable(h)) room[id] = h.free() + h.leavingRoom();
  std::set<HostId> changed;
  unsigned asked = 0;
  for (const auto& r : blocked) {
    Job& job = *r.job;
    const auto& spec = *job.spec;
    auto zones = books_.zonesOf(job);
    const Team* mine = settings_.team(spec.team);
    double headroom = mine ? mine->coresMax - books_.teamUse(spec.team).cores : 0;
    for (std::size_t n = 0; n < job.waiting.size() && asked < kMostEvictionsAsked; ++n) {
      headroom -= spec.each.cores;
      if (headroom < -1e-6) break;
      ++asked;
      Host* best = nullptr;
      std::optional<policy::Eviction> cheapest;
      std::vector<TaskId> bestTasks;
      for (auto& [id, h] : books_.hosts()) {
        if (!allowed(job, h, zones)) continue;
        auto [offered, tasks] = victims(job, r.c.guaranteed, h);
        auto e = policy::evict(room[id], spec.each, offered);
        if (e && tooSlow(job, h)) e->lost += kSlowStart;
        if (e && (!cheapest || e->lost < cheapest->lost)) {
          cheapest = e;
          best = &h;
          bestTasks = tasks;
        }
      }
      if (!best) break;
      // The holders are spoken for: the rest need not wait for them.
      if (tooSlow(job, *best)) job.anyStartUntil = io_.now() + kAnyStart;
      for (auto i : cheapest->victims) {
        auto& p = best->placements.at(bestTasks[i]);
        log_->debug("{} gives way on {} to {}", wire::encodeTask(bestTasks[i]), best->id.value, job.id.value);
        room[best->id] += p.job->spec->each;
        stop(*best, bestTasks[i], p);
        changed.insert(best->id);
      }
      room[best->id] -= spec.each;
    }
  }
  for (const auto& id : changed) direct(*books_.host(id));
}

}  // namespace cherryloft
