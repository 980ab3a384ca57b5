#include "actors/books.h"

#include <algorithm>

namespace cherryloft {

bool ImageCache::has(const ImageId& image) const {
  return std::any_of(recent_.begin(), recent_.end(), [&](const auto& e) { return e.first == image; });
}

void ImageCache::touch(const ImageId& image, double gb) {
  recent_.remove_if([&](const auto& e) { return e.first == image; });
  recent_.emplace_front(image, gb);
  double sum = 0;
  for (auto it = recent_.begin(); it != recent_.end();) {
    sum += it->second;
    it = sum > capacity_ && it != recent_.begin() ? recent_.erase(it) : std::next(it);
  }
}

Resources Host::leavingRoom() const {
  Resources r;
  for (const auto& [_, p] : placements)
    if (!p.wanted) r += p.job->spec->each;
  return r;
}

Job& Books::addJob(const JobId& id, const KnownJob& known) {
  auto& j = jobs_[id];
  j.id = id;
  j.spec = known.spec;
  j.stamp = known.stamp;
  j.submitted = known.submitted;
  j.chunk = known.chunk;
  j.status = known.status;
  j.tasks.assign(known.tasks, Task{});
  if (j.status == JobStatus::Open)
    for (std::uint32_t i = 0; i < known.tasks; ++i) j.waiting.push_back(i);
  return j;
}

void Books::removeJob(const JobId& id) { jobs_.erase(id); }

Job* Books::job(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Host& Books::addHost(const HostId& id, const KnownHost& known, const MachineType* type, Time now) {
  auto& h = hosts_[id];
  h.id = id;
  h.known = known;
  if (type) {
    h.size = type->size;
    h.fetchGbPerS = type->fetchGbPerS;
    h.images = ImageCache(type->cacheGb);
  }
  h.idleSince = h.lastHeard = now;
  return h;
}

void Books::removeHost(const HostId& id) { hosts_.erase(id); }

Host* Books::host(const HostId& id) {
  auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : &it->second;
}

Placement& Books::place(Job& job, std::uint32_t index, Host& host, Attempt attempt, Time now) {
  auto& p = host.placements[TaskId{job.id, index}];
  p.job = &job;
  p.attempt = attempt;
  p.placedAt = now;
  host.used += job.spec->each;
  use_[job.spec->team] += job.spec->each;
  job.tasks[index] = {TaskState::Placed, false, &host};
  ++job.placed;
  return p;
}

void Books::release(Host& host, std::map<TaskId, Placement>::iterator it, Time now) {
  Job& job = *it->second.job;
  host.used -= job.spec->each;
  use_[job.spec->team] -= job.spec->each;
  --job.placed;
  if (it->second.phase == wire::TaskPhase::Running && it->second.shown) --job.running;
  host.placements.erase(it);
  if (host.placements.empty()) {
    host.used = {};
    host.idleSince = now;
  }
}

void Books::gone(Host& host, const TaskId& task, Time now) {
  auto it = host.placements.find(task);
  if (it == host.placements.end()) return;
  Job& job = *it->second.job;
  release(host, it, now);
  job.tasks[task.index] = {TaskState::Waiting, false, nullptr};
  // What was running before comes before what never ran.
  job.waiting.push_front(task.index);
}

void Books::taskDone(Host& host, const TaskId& task, Time now) {
  auto it = host.placements.find(task);
  if (it == host.placements.end()) return;
  Job& job = *it->second.job;
  release(host, it, now);
  job.tasks[task.index] = {TaskState::Done, false, nullptr};
  ++job.done;
}

void Books::setPhase(Placement& p, wire::TaskPhase phase, Time now) {
  using wire::TaskPhase;
  bool ran = p.shown && p.phase == TaskPhase::Running, runs = phase == TaskPhase::Running;
  if (runs && !ran) {
    ++p.job->running;
    p.runningSince = now;
  }
  if (ran && !runs) --p.job->running;
  p.shown = true;
  p.phase = phase;
}

Resources Books::teamUse(const TeamId& team) const {
  auto it = use_.find(team);
  return it == use_.end() ? Resources{} : it->second;
}

bool Books::withinLimit(const Job& job) const {
  const Team* t = settings_.team(job.spec->team);
  if (!t) return false;
  auto sum = teamUse(job.spec->team) + job.spec->each;
  sum.ram = 0;
  return sum.fitsIn({t->coresMax, t->gpusMax, 0});
}

std::map<Zone, unsigned> Books::zonesOf(const Job& job) const {
  std::map<Zone, unsigned> zones;
  for (const auto& t : job.tasks)
    if (t.host) ++zones[t.host->zone()];
  return zones;
}

wire::RunRecord Books::runRecord(const Job& job, std::uint32_t chunk) const {
  wire::RunRecord r;
  auto first = chunk * job.chunk;
  auto last = std::min<std::uint32_t>(first + job.chunk, static_cast<std::uint32_t>(job.tasks.size()));
  for (auto i = first; i < last; ++i) {
    const auto& t = job.tasks[i];
    if (t.state == TaskState::Done) r.done.push_back(i);
    if (t.host) r.placed.push_back({i, t.host->placements.at(TaskId{job.id, i}).attempt, t.host->id});
  }
  return r;
}

}  // namespace cherryloft
