#include "scheduler/failure_attribution.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr unsigned kFailuresToBackOff = 3;  // in a row, before a job waits between tries
constexpr Duration kFirstBackOff{1'000};    // doubled with each further failure
constexpr Duration kLongestBackOff{60'000};
constexpr unsigned kMostDoublings = 6;  // enough for the longest
constexpr Duration kKeepsOff{45'000};   // for how long a job keeps off a machine that recordFailure it
constexpr std::size_t kMachinesToBlameJob = 3;   // that recordFailure it while it worked nowhere
constexpr std::size_t kJobsToBlameMachine = 2;   // that it recordFailure and that work elsewhere
constexpr std::size_t kWorkingMachinesKept = 2;  // so that one of them is another than any given one
constexpr int kLongerThanFailed = 2;        // times as long as the recordFailure task, to count as working
constexpr Duration kSettlesWithin{15'000};  // mostly; by then the job has run on elsewhere, or recordFailure
constexpr Duration kBlameKept{600'000};  // after that, a machine that recordCompletion nothing starts afresh

}  // namespace

bool FailureAttribution::failsEverywhere(const JobRecord& record) {
  if (record.worksOn.empty()) return record.failedOn.size() >= kMachinesToBlameJob;
  return std::any_of(record.byTask.begin(), record.byTask.end(),
                     [](const auto& task) { return task.second.size() >= kMachinesToBlameJob; });
}

std::optional<Duration> FailureAttribution::recordFailure(const TaskId& task, const MachineId& machine,
                                                          Duration ranFor, std::size_t machines, Time now) {
  auto& record = jobs_[task.job];
  // Many tasks that one machine fails together count once.
  bool another = record.failedOn.insert_or_assign(machine, now).second;
  record.byTask[task.index].insert(machine);
  record.worksOn.erase(machine);
  record.longestRun = std::max(record.longestRun, ranFor);
  if (another || record.failedOn.size() >= machines) ++record.failuresInARow;
  lastFailure_[machine] = now;
  settle(task.job, record, now);
  if (record.failuresInARow < kFailuresToBackOff) return std::nullopt;
  auto doublings = std::min(record.failuresInARow - kFailuresToBackOff, kMostDoublings);
  return std::min(kFirstBackOff * (1 << doublings), kLongestBackOff);
}

void FailureAttribution::recordCompletion(const JobId& job, const MachineId& machine, Time now) {
  blame_.erase(machine);
  lastFailure_.erase(machine);
  works(job, machine, now);
}

void FailureAttribution::recordSustainedRun(const JobId& job, const MachineId& machine, Time now) {
  works(job, machine, now);
}

void FailureAttribution::works(const JobId& job, const MachineId& machine, Time now) {
  auto& record = jobs_[job];
  record.failuresInARow = 0;
  if (record.worksOn.size() < kWorkingMachinesKept) record.worksOn.insert(machine);
  if (!record.failedOn.empty()) settle(job, record, now);
}

// Decides anew whom the job's failures count against.
void FailureAttribution::settle(const JobId& job, const JobRecord& record, Time now) {
  for (const auto& failure : record.failedOn) {
    const MachineId& machine = failure.first;
    bool worksElsewhere = std::any_of(record.worksOn.begin(), record.worksOn.end(),
                                      [&](const MachineId& other) { return other != machine; });
    if (worksElsewhere && !failsEverywhere(record))
      blame_[machine].try_emplace(job, now);
    else if (auto blamed = blame_.find(machine); blamed != blame_.end())
      blamed->second.erase(job);
  }
}

std::vector<JobId> FailureAttribution::unattributedJobs() const {
  std::vector<JobId> out;
  for (const auto& [id, record] : jobs_)
    if (!record.failedOn.empty() && record.worksOn.empty()) out.push_back(id);
  return out;
}

Duration FailureAttribution::sustainedRunThreshold(const JobId& job) const {
  const auto* record = find(job);
  return (record ? kLongerThanFailed * record->longestRun : Duration{}) + 2 * reportInterval_;
}

bool FailureAttribution::isSuspect(const JobId& job) const {
  const auto* record = find(job);
  return record && record->worksOn.empty() && record->failuresInARow >= kFailuresToBackOff;
}

bool FailureAttribution::shouldAvoid(const JobId& job, const MachineId& machine, std::size_t machines,
                                     Time now) const {
  const auto* record = find(job);
  if (!record || record->failedOn.size() >= machines) return false;
  auto recordFailure = record->failedOn.find(machine);
  return recordFailure != record->failedOn.end() && now - recordFailure->second <= kKeepsOff;
}

std::vector<MachineId> FailureAttribution::faultyMachines(const JobId& job, Time now) const {
  std::vector<MachineId> out;
  const auto* record = find(job);
  if (!record) return out;
  for (const auto& [machine, _] : record->failedOn) {
    auto blamed = blame_.find(machine);
    if (blamed == blame_.end()) continue;
    auto recent = std::count_if(blamed->second.begin(), blamed->second.end(),
                                [&](const auto& entry) { return now - entry.second <= kBlameKept; });
    if (static_cast<std::size_t>(recent) >= kJobsToBlameMachine) out.push_back(machine);
  }
  return out;
}

void FailureAttribution::forget(const JobId& job) { jobs_.erase(job); }

bool FailureAttribution::hasUnattributedFailure(const MachineId& machine, Time now) const {
  auto recordFailure = lastFailure_.find(machine);
  return recordFailure != lastFailure_.end() && now - recordFailure->second <= kSettlesWithin;
}

void FailureAttribution::forget(const MachineId& machine) {
  blame_.erase(machine);
  lastFailure_.erase(machine);
  for (auto& [_, record] : jobs_) {
    record.failedOn.erase(machine);
    record.worksOn.erase(machine);
  }
}

const FailureAttribution::JobRecord* FailureAttribution::find(const JobId& job) const {
  auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

}  // namespace cherryloft
