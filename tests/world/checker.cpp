#include "world/checker.h"

#include <optional>

namespace world {

void Checker::asked404(const std::string& job) {
  if (jobs_[job].accepted) breaks("forgotten", job + " was accepted and got 404");
}

void Checker::refusedRetry(const std::string& job, int status) {
  if (jobs_[job].accepted)
    breaks("forgotten", job + " was accepted and its retry got " + std::to_string(status));
}

void Checker::told(const std::string& job, const std::string& status) {
  auto it = jobs_.find(job);
  if (it == jobs_.end() || !it->second.spec) return breaks("invented", job + " was never submitted");
  auto& j = it->second;
  if (status == "done" && !allDone(job)) breaks("not_done", job + " is called done before its tasks are");
  if (status == "aborted" && !j.cancelAsked)
    breaks("went_back", job + " is called cancelled, which nobody asked for");
  if (!j.final.empty() && status != j.final)
    breaks("went_back", job + " was " + j.final + " and is now " + status);
  if (j.final.empty() && (status == "done" || status == "aborted")) {
    j.final = status;
    j.finalAt = clock_.now();
  }
}

void Checker::started(const Machine& m, const std::string& job, std::uint32_t index) {
  auto it = jobs_.find(job);
  if (it == jobs_.end() || !it->second.spec) return breaks("invented", job + " runs and was never submitted");
  auto& j = it->second;
  const auto& s = *j.spec;
  auto name = job + "/" + std::to_string(index);
  ++j.starts;
  if (j.on.count(index)) breaks("ran_twice", name + " starts on " + m.id + " while on " + j.on[index].id);
  if (j.final == "aborted" && clock_.now() - j.finalAt > static_cast<Ms>(settings_.cancelS * 1000))
    breaks("ran_cancelled", name + " starts after its cancellation");
  if (!s.allowsType(m.type) || (m.spot && !s.lendable) || (s.zone && s.zone->value != m.zone))
    breaks("wrong_place", name + " on " + m.id);
  std::map<std::string, unsigned> zones;
  for (const auto& [i, other] : j.on)
    if (i != index) ++zones[other.zone];
  if (s.oneZone && !zones.empty() && (zones.size() > 1 || zones.begin()->first != m.zone))
    breaks("wrong_place", name + " in a second zone");
  if (s.spread && zones[m.zone] + 1 > (s.tasks + 1) / 2) breaks("wrong_place", name + " crowds its zone");
  j.on[index] = m;
  const auto* team = settings_.team(s.team);
  double cores = 0;
  for (const auto& [_, other] : jobs_)
    if (other.spec && other.spec->team == s.team)
      cores += other.spec->each.cores * static_cast<double>(other.on.size());
  if (team && cores > team->coresMax + 1e-6) breaks("quota", s.team.value + " uses " + std::to_string(cores));
}

void Checker::left(const std::string& machine, const std::string& job, std::uint32_t index, bool done) {
  auto& j = jobs_[job];
  auto it = j.on.find(index);
  if (it != j.on.end() && it->second.id == machine) j.on.erase(it);
  if (done) j.done.insert(index);
}

void Checker::review() {
  for (auto& [id, j] : jobs_) {
    if (j.final != "aborted" || j.on.empty()) continue;
    if (clock_.now() - j.finalAt <= static_cast<Ms>(settings_.cancelS * 1000)) continue;
    breaks("ran_cancelled", id + " is still on " + j.on.begin()->second.id);
    j.on.clear();
  }
}

unsigned Checker::startsOf(const std::string& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : it->second.starts;
}

bool Checker::allDone(const std::string& job) const {
  auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.spec && it->second.done.size() == it->second.spec->tasks;
}

std::set<std::string> Checker::machinesOf(const std::string& job) const {
  std::set<std::string> out;
  if (auto it = jobs_.find(job); it != jobs_.end())
    for (const auto& [_, m] : it->second.on) out.insert(m.id);
  return out;
}

}  // namespace world
