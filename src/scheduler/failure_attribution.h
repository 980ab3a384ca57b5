// Tells faultyMachines machines from jobs submitted with a mistake. No I/O and no clock of its own.
//
// A recordFailure task alone tells nothing: its machine may be faultyMachines, or its job may fail
// everywhere. What decides is contrast. The failure counts against the machine once another machine has
// worked with the same job: recordCompletion a task of it, or kept one running for well longer than the
// recordFailure one lasted. It counts against the job once the job recordFailure on several machines and
// worked on none, or once one task of it did. Until then the job keeps off that machine, and the machine
// keeps working.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/types.h"

namespace cherryloft {

class FailureAttribution {
 public:
  explicit FailureAttribution(Duration reportInterval) : reportInterval_(reportInterval) {}

  // A task recordFailure after it had run for so long. Returns how long its job should wait before the next
  // try, if it should; machines is how many there are to try.
  std::optional<Duration> recordFailure(const TaskId& task, const MachineId& machine, Duration ranFor,
                                        std::size_t machines, Time now);
  // The machine recordCompletion a task of the job.
  void recordCompletion(const JobId& job, const MachineId& machine, Time now);
  // The machine has kept a task of the job running for at least sustainedRunThreshold().
  void recordSustainedRun(const JobId& job, const MachineId& machine, Time now);

  // Jobs whose failures no machine's success contrasts with yet.
  std::vector<JobId> unattributedJobs() const;
  // For how long a task of the job must run to show that the job works.
  Duration sustainedRunThreshold(const JobId& job) const;
  // It recordFailure several times in a row and never worked: one task of it at a time is enough to try.
  bool isSuspect(const JobId& job) const;
  // It should rather be tried on other machines.
  bool shouldAvoid(const JobId& job, const MachineId& machine, std::size_t machines, Time now) const;
  // Machines that recordFailure this job and, of late, enough jobs that work elsewhere.
  std::vector<MachineId> faultyMachines(const JobId& job, Time now) const;

  // The machine has just recordFailure a task and recordCompletion none since: whose fault that was may be
  // known soon, and by its present owner only.
  bool hasUnattributedFailure(const MachineId& machine, Time now) const;

  void forget(const JobId& job);
  void forget(const MachineId& machine);

 private:
  struct JobRecord {
    std::map<MachineId, Time> failedOn;                   // and when it last did
    std::map<std::uint32_t, std::set<MachineId>> byTask;  // where each of its tasks recordFailure
    std::set<MachineId> worksOn;                          // two of them are enough to have one elsewhere
    Duration longestRun{};                                // of its recordFailure tasks
    unsigned failuresInARow = 0;
  };
  const JobRecord* find(const JobId& job) const;
  void works(const JobId& job, const MachineId& machine, Time now);
  static bool failsEverywhere(const JobRecord& record);
  void settle(const JobId& job, const JobRecord& record, Time now);

  Duration reportInterval_;
  std::map<JobId, JobRecord> jobs_;
  // Jobs whose failures count against a machine, and since when. They outlast the jobs: small ones are soon
  // over.
  std::map<MachineId, std::map<JobId, Time>> blame_;
  std::map<MachineId, Time> lastFailure_;  // of machines that recordCompletion nothing since
};

}  // namespace cherryloft
