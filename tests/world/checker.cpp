#include "world/checker.h"

#include <algorithm>
#include <optional>

namespace world {
namespace {
constexpr Ms kForgotten = 75'000;  // without an answer, once all troubles are over
constexpr Ms kToBegin = 240'000;   // within which half of every kind of job is to begin
}  // namespace

void Checker::submitted(const cherryloft::JobSpec& spec, bool fails) {
  auto& j = jobs_[spec.id.value];
  j.fails = fails;
  j.spec = spec;
  j.submittedAt = clock_.now();
}

void Checker::accepted(const std::string& job) {
  auto& j = jobs_[job];
  if (!j.accepted) {
    j.acceptedAt = clock_.now();
    auto why = j.wrong.empty() && j.spec ? whyWrong(*j.spec) : j.wrong;
    if (!why.empty()) breaks("accepted_invalid", job + " was accepted: " + why);
  }
  j.accepted = true;
}

void Checker::asked404(const std::string& job) {
  if (jobs_[job].accepted) breaks("lost_job", job + " was accepted and got 404");
}

void Checker::refusedRetry(const std::string& job, int status) {
  if (jobs_[job].accepted)
    breaks("lost_job", job + " was accepted and its retry got " + std::to_string(status));
}

void Checker::told(const std::string& job, const std::string& status, const Said& said) {
  auto it = jobs_.find(job);
  if (it == jobs_.end() || !it->second.spec) return breaks("unknown_job", job + " was never submitted");
  auto& j = it->second;
  if (status == "done" && !allDone(job))
    breaks("done_too_early", job + " is called done before its tasks are");
  if (status == "aborted" && !j.cancelAsked)
    breaks("status_reverted", job + " is called cancelled, which nobody asked for");
  bool final = status == "done" || status == "aborted";
  if (!j.final.empty() && status != j.final && (final || said.askedAt >= j.finalAt))
    breaks("status_reverted", job + " was " + j.final + " and is now " + status);
  auto& given = final ? j.endGiven : j.lastOpenGiven;
  auto& at = given.emplace(said.by, said.givenAt).first->second;
  at = final ? std::min(at, said.givenAt) : std::max(at, said.givenAt);
  auto end = j.endGiven.find(said.by), open = j.lastOpenGiven.find(said.by);
  if (end != j.endGiven.end() && open != j.lastOpenGiven.end() && open->second > end->second) {
    breaks("status_reverted", job + ": controller " + std::to_string(said.by) + " gave an older answer " +
                                  std::to_string(open->second - end->second) + " ms after its end");
    j.lastOpenGiven.erase(open);
  }
  if (j.final.empty() && final) {
    j.final = status;
    j.finalAt = clock_.now();
  }
}

void Checker::started(const Machine& m, const std::string& job, std::uint32_t index, Ms givenAt) {
  trace_.taskStarted(clock_.now(), m.id, job, index);
  auto it = jobs_.find(job);
  if (it == jobs_.end() || !it->second.spec)
    return breaks("unknown_job", job + " runs and was never submitted");
  auto& j = it->second;
  const auto& s = *j.spec;
  auto name = job + "/" + std::to_string(index);
  ++j.starts;
  j.roomSince = -1;  // it has its turns
  if (j.begunAt < 0) j.begunAt = clock_.now();
  if (j.on.count(index))
    breaks("duplicate_execution", name + " starts on " + m.id + " while on " + j.on[index].id);
  if (j.final == "aborted" && clock_.now() - j.finalAt > static_cast<Ms>(settings_.cancelS * 1000))
    breaks("ran_after_cancel", name + " starts after its cancellation");
  if (j.final == "aborted") {
    ++startsAfterCancel_;
    if (givenAt > j.finalAt)
      breaks("started_after_cancel", name + " starts by a command given " +
                                         std::to_string(givenAt - j.finalAt) + " ms after its cancellation");
  }
  if (!s.allowsType(m.type) || (m.spot && !s.spotAllowed) || (s.zone && s.zone->value != m.zone))
    breaks("placement_violated", name + " on " + m.id);
  std::map<std::string, unsigned> zones;
  for (const auto& [i, other] : j.on)
    if (i != index) ++zones[other.zone];
  if (s.oneZone && !zones.empty() && (zones.size() > 1 || zones.begin()->first != m.zone))
    breaks("placement_violated", name + " in a second zone");
  if (s.spread && zones[m.zone] + 1 > (s.tasks + 1) / 2)
    breaks("placement_violated", name + " crowds its zone");
  j.on[index] = m;
  const auto* team = settings_.team(s.team);
  double cores = 0;
  for (const auto& [_, other] : jobs_)
    if (other.spec && other.spec->team == s.team)
      cores += other.spec->each.cores * static_cast<double>(other.on.size());
  if (team && cores > team->coreQuota + 1e-6)
    breaks("quota_exceeded", s.team.value + " uses " + std::to_string(cores));
}

void Checker::left(const std::string& machine, const std::string& job, std::uint32_t index, bool done) {
  trace_.taskLeft(clock_.now(), machine, job, index, done);
  auto& j = jobs_[job];
  auto it = j.on.find(index);
  if (it != j.on.end() && it->second.id == machine) j.on.erase(it);
  if (done && j.done.insert(index).second && whenAllDone_ && allDone(job)) whenAllDone_(job);
}

void Checker::review() {
  for (auto& [id, j] : jobs_) {
    auto since = std::max({j.acceptedAt, j.answeredAt, troublesEnd_});
    if (j.accepted && !j.cancelAsked && !j.silent && clock_.now() - since > kForgotten) {
      j.silent = true;
      breaks("lost_job", id + " was asked about in vain for " + std::to_string(kForgotten / 1000) + " s");
    }
    if (j.final != "aborted" || j.on.empty()) continue;
    if (clock_.now() - j.finalAt <= static_cast<Ms>(settings_.cancelS * 1000)) continue;
    breaks("ran_after_cancel", id + " is still on " + j.on.begin()->second.id);
    j.on.clear();
  }
  reviewWaiting();
}

void Checker::judge(const std::string& whom, const std::vector<const Job*>& jobs) {
  auto begun = std::count_if(jobs.begin(), jobs.end(), [](const Job* j) {
    return j->begunAt >= 0 && j->begunAt - j->submittedAt <= kToBegin;
  });
  if (2 * static_cast<std::size_t>(begun) < jobs.size())
    breaks("delayed_start", whom + ": only " + std::to_string(begun) + " of " + std::to_string(jobs.size()) +
                                " jobs began within four minutes");
}

// Of each class, of each team and of the largest tenth of each class, those that had four minutes to begin.
void Checker::judgeService() {
  std::map<std::string, std::vector<const Job*>> classes, teams;
  for (const auto& [id, j] : jobs_) {
    if (!j.accepted || j.cancelAsked || clock_.now() - j.submittedAt < kToBegin) continue;
    classes["class " + j.spec->jobClass].push_back(&j);
    teams["team " + j.spec->team.value].push_back(&j);
  }
  for (const auto& [name, jobs] : teams) judge(name, jobs);
  for (auto& [name, jobs] : classes) {
    judge(name, jobs);
    auto size = [](const Job* j) { return j->spec->each.cores * j->spec->tasks; };
    std::stable_sort(jobs.begin(), jobs.end(), [&](auto* a, auto* b) { return size(a) > size(b); });
    jobs.resize((jobs.size() + 9) / 10);
    judge("largest of " + name, jobs);
  }
}

unsigned Checker::startsOf(const std::string& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : it->second.starts;
}

Ms Checker::begunAt(const std::string& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? -1 : it->second.begunAt;
}

bool Checker::allDone(const std::string& job) const {
  auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.spec && it->second.done.size() == it->second.spec->tasks;
}

double Checker::tasksOn(const std::string& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : static_cast<double>(it->second.on.size());
}

std::set<std::string> Checker::machinesOf(const std::string& job) const {
  std::set<std::string> out;
  if (auto it = jobs_.find(job); it != jobs_.end())
    for (const auto& [_, m] : it->second.on) out.insert(m.id);
  return out;
}

}  // namespace world
