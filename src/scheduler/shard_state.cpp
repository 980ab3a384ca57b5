#include "scheduler/shard_state.h"

#include <algorithm>
#include <utility>

namespace cherryloft {

std::vector<ImageId> ImageCache::touch(const ImageId& image, double gb) {
  recent_.remove_if([&](const auto& e) { return e.first == image; });
  recent_.emplace_front(image, gb);
  std::vector<ImageId> markGone;
  double sum = 0;
  for (auto it = recent_.begin(); it != recent_.end();) {
    sum += it->second;
    if (sum <= capacity_ || it == recent_.begin()) {
      ++it;
      continue;
    }
    markGone.push_back(it->first);
    it = recent_.erase(it);
  }
  return markGone;
}

Resources Machine::capacityBeingFreed() const {
  Resources r;
  for (const auto& [_, p] : placements)
    if (!p.wanted) r += p.job->spec->each;
  return r;
}

// --- jobs ---

Job& ShardState::addJob(const JobId& id, const JobEntry& known, const Delegation* delegation) {
  auto& j = jobs_[id];
  j.id = id;
  j.spec = known.spec;
  j.team = settings_.team(j.spec->team);
  j.holders = &holders_[j.spec->image];
  j.version = known.version;
  j.submitted = known.submitted;
  j.status = known.status;
  j.tasks.assign(known.tasks, Task{});
  byTeam_[j.spec->team][{j.submitted, id}] = &j;
  if (delegation)
    takeDelegated(j, *delegation);
  else
    takeOwn(j, known);
  if (j.status == JobStatus::Open)
    for (std::uint32_t i = 0; i < known.tasks; ++i)
      if (j.tasks[i].state == TaskState::Waiting) j.waiting.push_back(i);
  return j;
}

void ShardState::takeOwn(Job& job, const JobEntry& known) {
  job.maxConcurrent = known.maxConcurrent;
  job.delegations = known.delegations;
  for (const auto& d : known.delegations)
    for (auto i : d.tasks)
      if (i < job.tasks.size()) makeRemote(job, i, d.zone);
  for (auto i : known.doneRemotely) {
    if (i >= job.tasks.size() || job.tasks[i].state != TaskState::Waiting) continue;
    job.tasks[i].state = TaskState::Done;
    job.tasks[i].doneCommitted = true;
    ++job.done;
  }
}

void ShardState::takeDelegated(Job& job, const Delegation& delegation) {
  job.delegation = delegation;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    if (delegation.covers(i)) continue;
    job.tasks[i].state = TaskState::Remote;
    ++job.remote;
  }
}

void ShardState::makeRemote(Job& job, std::uint32_t index, const std::optional<Zone>& zone) {
  job.tasks[index].state = TaskState::Remote;
  ++job.remote;
  if (zone) ++job.zones[*zone];
  use_[job.spec->team] += job.spec->each;
}

void ShardState::remoteBack(Job& job, std::uint32_t index, const std::optional<Zone>& zone, bool done) {
  --job.remote;
  if (zone) {
    auto count = job.zones.find(*zone);
    if (--count->second == 0) job.zones.erase(count);
  }
  use_[job.spec->team] -= job.spec->each;
  auto& task = job.tasks[index];
  task.state = done ? TaskState::Done : TaskState::Waiting;
  if (done)
    ++job.done;
  else
    job.waiting.push_back(index);
}

void ShardState::removeJob(const JobId& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  for (auto& t : it->second.tasks) forgetFact(t);
  byTeam_[it->second.spec->team].erase({it->second.submitted, id});
  jobs_.erase(it);
}

Job* ShardState::job(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

// --- machines ---

Machine& ShardState::addMachine(const MachineId& id, const MachineEntry& known, const MachineType* type,
                                Time now) {
  auto& h = machines_[id];
  h.id = id;
  h.no = ++machineCount_;
  h.known = known;
  h.address = known.record.address;
  if (type) {
    h.size = type->size;
    h.fetchGbPerS = type->fetchGbPerS;
    h.images = ImageCache(type->cacheGb);
  }
  const auto& r = known.record;
  auto pool = std::find_if(pools_.begin(), pools_.end(), [&](const Pool& p) {
    return p.type == r.type && p.zone == r.zone && p.spot == r.spot;
  });
  if (pool == pools_.end())
    pool = pools_.insert(pools_.end(), {r.type, r.zone, r.spot, h.size, h.fetchGbPerS, 0, 0, {}});
  ++pool->machines;
  h.pool = &*pool;
  h.idleSince = h.lastHeard = now;
  return h;
}

void ShardState::learnType(Machine& h, const MachineType& type) {
  h.size = type.size;
  h.fetchGbPerS = type.fetchGbPerS;
  h.images = ImageCache(type.cacheGb);
  h.pool->size = h.size;
  h.pool->fetchGbPerS = h.fetchGbPerS;
  reindex(h);
}

void ShardState::removeMachine(const MachineId& id) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  auto& h = it->second;
  h.decommissioning = true;
  reindex(h);
  --h.pool->machines;
  for (auto& [_, set] : holders_) set.erase(h.no);
  machines_.erase(it);
}

Machine* ShardState::machine(const MachineId& id) {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

void ShardState::reindex(Machine& h) {
  std::optional<double> should;
  if (h.open()) should = h.free().cores;
  if (h.indexedFree == should) return;
  if (h.indexedFree) h.pool->byFreeCores.erase({*h.indexedFree, h.no});
  if (should) h.pool->byFreeCores[{*should, h.no}] = &h;
  if (!h.indexedFree) {
    h.openAt = open_.size();
    open_.push_back(&h);
  } else if (!should) {
    open_[h.openAt] = open_.back();
    open_[h.openAt]->openAt = h.openAt;
    open_.pop_back();
  }
  h.indexedFree = should;
}

void ShardState::cached(Machine& h, const ImageId& image, double gb) {
  for (const auto& markGone : h.images.touch(image, gb)) holders_[markGone].erase(h.no);
  holders_[image][h.no] = &h;
}

// --- placements ---

Placement& ShardState::place(Job& job, std::uint32_t index, Machine& machine, Attempt attempt, Time now) {
  auto& p = machine.placements[TaskId{job.id, index}];
  p.job = &job;
  p.attempt = attempt;
  p.placedAt = now;
  const auto& s = *job.spec;
  machine.used += s.each;
  if (s.kind == JobKind::Service) machine.replicaCores += s.each.cores;
  use_[s.team] += s.each;
  usedByPriority_[static_cast<std::size_t>(s.priority)] += s.each.cores;
  ++job.zones[machine.zone()];
  auto& t = job.tasks[index];
  t.state = TaskState::Placed;
  t.machine = &machine;
  ++job.placed;
  job.begun = true;
  job.placedLast = now;
  reindex(machine);
  return p;
}

void ShardState::release(Machine& machine, std::map<TaskId, Placement>::iterator it, Time now) {
  Job& job = *it->second.job;
  const auto& s = *job.spec;
  machine.used -= s.each;
  if (s.kind == JobKind::Service) machine.replicaCores -= s.each.cores;
  use_[s.team] -= s.each;
  usedByPriority_[static_cast<std::size_t>(s.priority)] -= s.each.cores;
  auto zone = job.zones.find(machine.zone());
  if (--zone->second == 0) job.zones.erase(zone);
  --job.placed;
  if (it->second.committed) --job.committed;
  if (it->second.phase == wire::TaskPhase::Running && it->second.shown) --job.running;
  job.tasks[it->first.index].machine = nullptr;
  machine.placements.erase(it);
  if (machine.placements.empty()) {
    machine.used = {};
    machine.replicaCores = 0;
    machine.idleSince = now;
  }
  reindex(machine);
}

void ShardState::markGone(Machine& machine, const TaskId& task, Time now) {
  auto it = machine.placements.find(task);
  if (it == machine.placements.end()) return;
  Job& job = *it->second.job;
  job.lost += it->second.shown && machine.spot();
  release(machine, it, now);
  auto& t = job.tasks[task.index];
  t.state = TaskState::Waiting;
  forgetFact(t);
  // What was running before comes before what never ran.
  job.waiting.push_front(task.index);
}

void ShardState::taskDone(Machine& machine, const TaskId& task, Time now) {
  auto it = machine.placements.find(task);
  if (it == machine.placements.end()) return;
  Job& job = *it->second.job;
  release(machine, it, now);
  job.tasks[task.index].state = TaskState::Done;
  ++job.done;
}

void ShardState::commit(Placement& p) {
  if (std::exchange(p.committed, true)) return;
  ++p.job->committed;
}

void ShardState::doneWaiting(Job& job) {
  for (auto index : job.waiting) job.tasks[index].state = TaskState::Done;
  job.done += static_cast<std::uint32_t>(job.waiting.size());
  job.waiting.clear();
}

void ShardState::setPhase(Placement& p, wire::TaskPhase phase, Time now) {
  using wire::TaskPhase;
  bool ran = p.shown && p.phase == TaskPhase::Running, placementPages = phase == TaskPhase::Running;
  if (placementPages && !ran) {
    ++p.job->running;
    p.runningSince = now;
  }
  if (ran && !placementPages) --p.job->running;
  p.shown = true;
  p.phase = phase;
}

// --- limits ---

Resources ShardState::teamUse(const TeamId& team) const {
  auto it = use_.find(team);
  return it == use_.end() ? Resources{} : it->second;
}

bool ShardState::withinLimit(const Job& job) const {
  if (!job.team) return false;
  if (job.delegation) return true;  // the owner's shard counts it (invariant 18)
  if (job.maxConcurrent)
    return job.placed + job.remote < *job.maxConcurrent;  // its team's own shard counts it (invariant 17)
  auto sum = teamUse(job.spec->team) + job.spec->each;
  sum.ram = 0;
  return sum.fitsIn({job.team->coreQuota, job.team->gpuQuota, 0});
}

bool ShardState::aboveGuarantee(const Team& team) const {
  return teamUse(team.name).cores > team.cores + kResourceSlack;
}

bool ShardState::mayPreempt(PriorityClass claimant, bool guaranteed) const {
  for (std::size_t r = 0; r < static_cast<std::size_t>(claimant); ++r)
    if (usedByPriority_[r] > kResourceSlack) return true;
  return guaranteed && usedByPriority_[static_cast<std::size_t>(claimant)] > kResourceSlack &&
         std::any_of(byTeam_.begin(), byTeam_.end(), [&](const auto& t) {
           const Team* team = settings_.team(t.first);
           return team && aboveGuarantee(*team);
         });
}

// --- pages ---

void ShardState::forgetFact(Task& t) {
  if (t.page == kNoPage) return;
  auto& live = pages_.at(t.page).live;
  live -= std::min<std::size_t>(live, 1);
  t.page = kNoPage;
}

void ShardState::restored(const TaskId& task, PageNumber page) {
  auto& t = jobs_.at(task.job).tasks[task.index];
  forgetFact(t);
  t.page = page;
  pages_.at(page).members.push_back(task);
  ++pages_.at(page).live;
}

// The task's latest state is on that page and still worth keeping: what is placed counts until it is known
// gone (invariant 1), what is done until its job is over.
bool ShardState::stands(const TaskId& id, PageNumber page) {
  Job* j = job(id.job);
  if (!j || j->tasks[id.index].page != page) return false;
  const auto& t = j->tasks[id.index];
  return t.state == TaskState::Placed || (t.state == TaskState::Done && j->status == JobStatus::Open);
}

std::optional<PageUpdate> ShardState::composePage(std::deque<TaskId>& unwritten,
                                                  std::set<PageNumber>& taken) {
  // What was done, lost or written meanwhile needs no writing.
  auto needed = [&](const TaskId& id) {
    Job* j = job(id.job);
    if (!j || j->tasks[id.index].writeInFlight) return false;
    const auto& t = j->tasks[id.index];
    // When the whole job is done, its own record says so.
    if (t.state == TaskState::Done) return j->status == JobStatus::Open && !t.doneCommitted && !j->finished();
    return t.state == TaskState::Placed && !t.machine->placements.at(id).committed;
  };
  while (!unwritten.empty() && !needed(unwritten.front())) unwritten.pop_front();
  if (unwritten.empty()) return std::nullopt;

  PageUpdate d;
  d.number = pages_.next(taken);
  taken.insert(d.number);
  std::size_t weight = wire::kEmptyPageBytes;
  auto add = [&](const TaskId& id) {
    const auto& t = job(id.job)->tasks[id.index];
    auto known = d.record.jobs.find(id.job);
    std::size_t more = known == d.record.jobs.end() ? wire::maxBytesOfJob(id.job) : 0;
    std::optional<wire::PlacementEntry> entry;
    if (t.state == TaskState::Placed) entry = {id.index, t.machine->placements.at(id).attempt, t.machine->id};
    more += entry ? wire::maxBytesOf(*entry) : wire::maxBytesOfDoneTask(id.index);
    if (weight + more > settings_.valueBytes) return false;
    weight += more;
    auto& facts = d.record.jobs[id.job];
    if (entry)
      facts.placed.push_back(std::move(*entry));
    else
      facts.done.push_back(id.index);
    d.members.push_back(id);
    return true;
  };
  auto& page = pages_.at(d.number);
  // What still stands of a page that was written under a larger limit may not fit any more: it stays as it
  // is.
  for (const auto& id : page.members)
    if (stands(id, d.number) && !add(id)) return std::nullopt;
  auto old = d.members.size();
  while (!unwritten.empty()) {
    auto id = unwritten.front();
    if (needed(id)) {
      if (!add(id)) break;
      auto& t = job(id.job)->tasks[id.index];
      forgetFact(t);
      t.page = d.number;
      t.writeInFlight = true;
    }
    unwritten.pop_front();
  }
  page.members = d.members;
  page.live = d.members.size();
  for (auto& [_, facts] : d.record.jobs) std::sort(facts.done.begin(), facts.done.end());
  if (d.members.size() == old) return std::nullopt;  // it is full after all
  return d;
}

}  // namespace cherryloft
