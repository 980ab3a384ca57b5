#include "world/checker.h"

#include <algorithm>
#include <optional>

namespace world {
namespace {
constexpr Ms kMaxUnanswered = 75'000;   // longest time without an answer, once all faults are over
constexpr Ms kStartDeadline = 240'000;  // time within which half of the jobs of each group must start
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
    auto why = j.invalidReason.empty() && j.spec ? rejectionReason(*j.spec) : j.invalidReason;
    if (!why.empty()) reportViolation("accepted_wrong", job + " was accepted: " + why);
  }
  j.accepted = true;
}

void Checker::answeredNotFound(const std::string& job) {
  if (jobs_[job].accepted) reportViolation("forgotten", job + " was accepted but a query got 404");
}

void Checker::retryRejected(const std::string& job, int status) {
  if (jobs_[job].accepted)
    reportViolation("forgotten", job + " was accepted but its retry got " + std::to_string(status));
}

void Checker::statusReported(const std::string& job, const std::string& status, const AnswerSource& source) {
  auto it = jobs_.find(job);
  if (it == jobs_.end() || !it->second.spec) return reportViolation("invented", job + " was never submitted");
  auto& j = it->second;
  if (status == "done" && !allDone(job))
    reportViolation("not_done", job + " was reported done before its tasks were");
  if (status == "aborted" && !j.cancelRequested)
    reportViolation("went_back", job + " was reported cancelled without a cancellation request");
  bool final = status == "done" || status == "aborted";
  if (!j.final.empty() && status != j.final && (final || source.requestedAt >= j.finalAt))
    reportViolation("went_back", job + " was " + j.final + " and is now " + status);
  auto& given = final ? j.finalSentAt : j.lastNonFinalSentAt;
  auto& at = given.emplace(source.controller, source.sentAt).first->second;
  at = final ? std::min(at, source.sentAt) : std::max(at, source.sentAt);
  auto end = j.finalSentAt.find(source.controller), open = j.lastNonFinalSentAt.find(source.controller);
  if (end != j.finalSentAt.end() && open != j.lastNonFinalSentAt.end() && open->second > end->second) {
    reportViolation("went_back", job + ": controller " + std::to_string(source.controller) +
                                     " sent a non-final status " +
                                     std::to_string(open->second - end->second) + " ms after the final one");
    j.lastNonFinalSentAt.erase(open);
  }
  if (j.final.empty() && final) {
    j.final = status;
    j.finalAt = clock_.now();
  }
}

void Checker::taskStarted(const Machine& m, const std::string& job, std::uint32_t index, Ms commandSentAt) {
  trace_.taskStarted(clock_.now(), m.id, job, index);
  auto it = jobs_.find(job);
  if (it == jobs_.end() || !it->second.spec)
    return reportViolation("invented", job + " runs but was never submitted");
  auto& j = it->second;
  const auto& s = *j.spec;
  auto name = job + "/" + std::to_string(index);
  ++j.starts;
  j.placeableSince = -1;  // the job is being scheduled
  if (j.firstStartAt < 0) j.firstStartAt = clock_.now();
  if (j.running.count(index))
    reportViolation("ran_twice", name + " starts on " + m.id + " while still on " + j.running[index].id);
  if (j.final == "aborted" && clock_.now() - j.finalAt > static_cast<Ms>(settings_.cancelDeadlineS * 1000))
    reportViolation("ran_cancelled", name + " starts after its cancellation");
  if (j.final == "aborted") {
    ++startsAfterCancel_;
    if (commandSentAt > j.finalAt)
      reportViolation("started_cancelled", name + " starts by a command sent " +
                                               std::to_string(commandSentAt - j.finalAt) +
                                               " ms after its cancellation");
  }
  if (!s.allowsType(m.type) || (m.spot && !s.spotAllowed) || (s.zone && s.zone->value != m.zone))
    reportViolation("wrong_place", name + " is not allowed on " + m.id);
  std::map<std::string, unsigned> zones;
  for (const auto& [i, other] : j.running)
    if (i != index) ++zones[other.zone];
  if (s.oneZone && !zones.empty() && (zones.size() > 1 || zones.begin()->first != m.zone))
    reportViolation("wrong_place", name + " starts in a second zone");
  if (s.spread && zones[m.zone] + 1 > (s.tasks + 1) / 2)
    reportViolation("wrong_place", name + " exceeds its share of one zone");
  j.running[index] = m;
  const auto* team = settings_.team(s.team);
  double cores = 0;
  for (const auto& [_, other] : jobs_)
    if (other.spec && other.spec->team == s.team)
      cores += other.spec->each.cores * static_cast<double>(other.running.size());
  if (team && cores > team->coreQuota + 1e-6)
    reportViolation("quota", s.team.value + " uses " + std::to_string(cores));
}

void Checker::handleTaskExit(const std::string& machine, const std::string& job, std::uint32_t index,
                             bool done) {
  trace_.handleTaskExit(clock_.now(), machine, job, index, done);
  auto& j = jobs_[job];
  auto it = j.running.find(index);
  if (it != j.running.end() && it->second.id == machine) j.running.erase(it);
  if (done && j.done.insert(index).second && onAllTasksDone_ && allDone(job)) onAllTasksDone_(job);
}

void Checker::runPeriodicChecks() {
  for (auto& [id, j] : jobs_) {
    auto since = std::max({j.acceptedAt, j.lastAnswerAt, faultsEnd_});
    if (j.accepted && !j.cancelRequested && !j.lostReported && clock_.now() - since > kMaxUnanswered) {
      j.lostReported = true;
      reportViolation("forgotten",
                      id + " got no answer to queries for " + std::to_string(kMaxUnanswered / 1000) + " s");
    }
    if (j.final != "aborted" || j.running.empty()) continue;
    if (clock_.now() - j.finalAt <= static_cast<Ms>(settings_.cancelDeadlineS * 1000)) continue;
    reportViolation("ran_cancelled", id + " is still on " + j.running.begin()->second.id);
    j.running.clear();
  }
  checkStarvation();
}

void Checker::checkStartShare(const std::string& group, const std::vector<const Job*>& jobs) {
  auto startedInTime = std::count_if(jobs.begin(), jobs.end(), [](const Job* j) {
    return j->firstStartAt >= 0 && j->firstStartAt - j->submittedAt <= kStartDeadline;
  });
  if (2 * static_cast<std::size_t>(startedInTime) < jobs.size())
    reportViolation("unserved", group + ": only " + std::to_string(startedInTime) + " of " +
                                    std::to_string(jobs.size()) + " jobs began within four minutes");
}

// Checks each job class, each team and the largest tenth of each class, counting jobs submitted at least four
// minutes ago.
void Checker::checkStartDelays() {
  std::map<std::string, std::vector<const Job*>> classes, teams;
  for (const auto& [id, j] : jobs_) {
    if (!j.accepted || j.cancelRequested || clock_.now() - j.submittedAt < kStartDeadline) continue;
    classes["class " + j.spec->jobClass].push_back(&j);
    teams["team " + j.spec->team.value].push_back(&j);
  }
  for (const auto& [name, jobs] : teams) checkStartShare(name, jobs);
  for (auto& [name, jobs] : classes) {
    checkStartShare(name, jobs);
    auto size = [](const Job* j) { return j->spec->each.cores * j->spec->tasks; };
    std::stable_sort(jobs.begin(), jobs.end(), [&](auto* a, auto* b) { return size(a) > size(b); });
    jobs.resize((jobs.size() + 9) / 10);
    checkStartShare("largest of " + name, jobs);
  }
}

unsigned Checker::startsOf(const std::string& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : it->second.starts;
}

Ms Checker::firstStartAt(const std::string& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? -1 : it->second.firstStartAt;
}

bool Checker::allDone(const std::string& job) const {
  auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.spec && it->second.done.size() == it->second.spec->tasks;
}

double Checker::runningTasks(const std::string& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : static_cast<double>(it->second.running.size());
}

std::set<std::string> Checker::machinesRunning(const std::string& job) const {
  std::set<std::string> out;
  if (auto it = jobs_.find(job); it != jobs_.end())
    for (const auto& [_, m] : it->second.running) out.insert(m.id);
  return out;
}

}  // namespace world
