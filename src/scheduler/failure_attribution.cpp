#include "scheduler/failure_attribution.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr unsigned kFailuresBeforeBackoff = 3;  // consecutive failures before retries of a job are delayed
constexpr Duration kInitialBackoff{1'000};      // doubled with each further failure
constexpr Duration kMaxBackoff{60'000};
constexpr unsigned kMaxBackoffDoublings = 6;  // enough to reach kMaxBackoff
constexpr Duration kAvoidanceTime{45'000};    // how long a job avoids a machine that failed it
// Number of machines that must fail a job, or a task of it, for the failures to be attributed to the job.
constexpr std::size_t kMachinesToBlameJob = 3;
// Number of jobs failed by a machine and succeeding elsewhere that make the machine count as faulty.
constexpr std::size_t kJobsToBlameMachine = 2;
// With two entries, at least one differs from any given machine.
constexpr std::size_t kMaxSuccessMachines = 2;
// A run counts as a success if it lasts this many times as long as the longest failed run.
constexpr int kSustainedRunFactor = 2;
// Time in which a failure is usually attributed: by then the job has kept running elsewhere, or failed.
constexpr Duration kAttributionTime{15'000};
// How long an attributed failure counts against a machine that completes nothing.
constexpr Duration kAttributionLifetime{600'000};

}  // namespace

bool FailureAttribution::failsEverywhere(const JobRecord& record) {
  if (record.succeededOn.empty()) return record.failedOn.size() >= kMachinesToBlameJob;
  return std::any_of(record.byTask.begin(), record.byTask.end(),
                     [](const auto& task) { return task.second.size() >= kMachinesToBlameJob; });
}

std::optional<Duration> FailureAttribution::recordFailure(const TaskId& task, const MachineId& machine,
                                                          Duration ranFor, std::size_t machines, Time now) {
  auto& record = jobs_[task.job];
  // Several tasks that fail together on one machine count as one failure.
  bool newMachine = record.failedOn.insert_or_assign(machine, now).second;
  record.byTask[task.index].insert(machine);
  record.succeededOn.erase(machine);
  record.longestFailedRun = std::max(record.longestFailedRun, ranFor);
  if (newMachine || record.failedOn.size() >= machines) ++record.consecutiveFailures;
  lastFailure_[machine] = now;
  updateAttribution(task.job, record, now);
  if (record.consecutiveFailures < kFailuresBeforeBackoff) return std::nullopt;
  auto doublings = std::min(record.consecutiveFailures - kFailuresBeforeBackoff, kMaxBackoffDoublings);
  return std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
}

void FailureAttribution::recordCompletion(const JobId& job, const MachineId& machine, Time now) {
  attributedFailures_.erase(machine);
  lastFailure_.erase(machine);
  recordSuccess(job, machine, now);
}

void FailureAttribution::recordSustainedRun(const JobId& job, const MachineId& machine, Time now) {
  recordSuccess(job, machine, now);
}

void FailureAttribution::recordSuccess(const JobId& job, const MachineId& machine, Time now) {
  auto& record = jobs_[job];
  record.consecutiveFailures = 0;
  if (record.succeededOn.size() < kMaxSuccessMachines) record.succeededOn.insert(machine);
  if (!record.failedOn.empty()) updateAttribution(job, record, now);
}

// Re-evaluates whether the failures of the job are attributed to the machines that failed it.
void FailureAttribution::updateAttribution(const JobId& job, const JobRecord& record, Time now) {
  for (const auto& failure : record.failedOn) {
    const MachineId& machine = failure.first;
    bool succeedsElsewhere = std::any_of(record.succeededOn.begin(), record.succeededOn.end(),
                                         [&](const MachineId& other) { return other != machine; });
    if (succeedsElsewhere && !failsEverywhere(record))
      attributedFailures_[machine].try_emplace(job, now);
    else if (auto attributed = attributedFailures_.find(machine); attributed != attributedFailures_.end())
      attributed->second.erase(job);
  }
}

std::vector<JobId> FailureAttribution::unattributedJobs() const {
  std::vector<JobId> jobs;
  for (const auto& [id, record] : jobs_)
    if (!record.failedOn.empty() && record.succeededOn.empty()) jobs.push_back(id);
  return jobs;
}

Duration FailureAttribution::sustainedRunThreshold(const JobId& job) const {
  const auto* record = find(job);
  return (record ? kSustainedRunFactor * record->longestFailedRun : Duration{}) + 2 * reportInterval_;
}

bool FailureAttribution::isSuspect(const JobId& job) const {
  const auto* record = find(job);
  return record && record->succeededOn.empty() && record->consecutiveFailures >= kFailuresBeforeBackoff;
}

bool FailureAttribution::shouldAvoid(const JobId& job, const MachineId& machine, std::size_t machines,
                                     Time now) const {
  const auto* record = find(job);
  if (!record || record->failedOn.size() >= machines) return false;
  auto failure = record->failedOn.find(machine);
  return failure != record->failedOn.end() && now - failure->second <= kAvoidanceTime;
}

std::vector<MachineId> FailureAttribution::faultyMachines(const JobId& job, Time now) const {
  std::vector<MachineId> machines;
  const auto* record = find(job);
  if (!record) return machines;
  for (const auto& [machine, _] : record->failedOn) {
    auto attributed = attributedFailures_.find(machine);
    if (attributed == attributedFailures_.end()) continue;
    auto recent = std::count_if(attributed->second.begin(), attributed->second.end(), [&](const auto& entry) {
      return now - entry.second <= kAttributionLifetime;
    });
    if (static_cast<std::size_t>(recent) >= kJobsToBlameMachine) machines.push_back(machine);
  }
  return machines;
}

void FailureAttribution::forget(const JobId& job) { jobs_.erase(job); }

bool FailureAttribution::hasUnattributedFailure(const MachineId& machine, Time now) const {
  auto failure = lastFailure_.find(machine);
  return failure != lastFailure_.end() && now - failure->second <= kAttributionTime;
}

void FailureAttribution::forget(const MachineId& machine) {
  attributedFailures_.erase(machine);
  lastFailure_.erase(machine);
  for (auto& [_, record] : jobs_) {
    record.failedOn.erase(machine);
    record.succeededOn.erase(machine);
  }
}

const FailureAttribution::JobRecord* FailureAttribution::find(const JobId& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

}  // namespace cherryloft
