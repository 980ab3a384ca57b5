// Attributes task failures to faulty machines or to faulty jobs. Does no I/O and reads no clock.
//
// A single failed task is inconclusive: its machine may be faulty, or its job may fail everywhere. A failure
// is attributed to the machine once the job has succeeded on another machine, which completed a task of it or
// kept one running for well longer than the failed one lasted. It is attributed to the job once the job
// failed on several machines and succeeded on none, or once a single task of it failed on several. Until then
// the job avoids that machine, and the machine stays in service.
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

  // Records that a task failed after running for `ranFor`. Returns the delay before its job should be
  // retried, or nullopt for none. `machines` is the number of machines available to try.
  std::optional<Duration> recordFailure(const TaskId& task, const MachineId& machine, Duration ranFor,
                                        std::size_t machines, Time now);
  // Records that the machine completed a task of the job.
  void recordCompletion(const JobId& job, const MachineId& machine, Time now);
  // Records that the machine has kept a task of the job running for at least sustainedRunThreshold().
  void recordSustainedRun(const JobId& job, const MachineId& machine, Time now);

  // Jobs that failed and have not yet succeeded on any machine.
  std::vector<JobId> unattributedJobs() const;
  // How long a task of the job must run to count as a success of the job.
  Duration sustainedRunThreshold(const JobId& job) const;
  // The job failed several times in a row and succeeded on no machine: only one task of it should be tried at
  // a time.
  bool isSuspect(const JobId& job) const;
  // The job should preferably be tried on other machines.
  bool shouldAvoid(const JobId& job, const MachineId& machine, std::size_t machines, Time now) const;
  // Machines that failed this job and have recently failed enough jobs that succeed elsewhere.
  std::vector<MachineId> faultyMachines(const JobId& job, Time now) const;

  // The machine has recently failed a task and completed none since. The failure may be attributed soon, but
  // only by the machine's current owner.
  bool hasUnattributedFailure(const MachineId& machine, Time now) const;

  void forget(const JobId& job);
  void forget(const MachineId& machine);

 private:
  struct JobRecord {
    std::map<MachineId, Time> failedOn;                   // with the time of the last failure
    std::map<std::uint32_t, std::set<MachineId>> byTask;  // machines on which each task failed
    std::set<MachineId> succeededOn;                      // at most kMaxSuccessMachines
    Duration longestFailedRun{};
    unsigned consecutiveFailures = 0;
  };
  const JobRecord* find(const JobId& job) const;
  void recordSuccess(const JobId& job, const MachineId& machine, Time now);
  static bool failsEverywhere(const JobRecord& record);
  void updateAttribution(const JobId& job, const JobRecord& record, Time now);

  Duration reportInterval_;
  std::map<JobId, JobRecord> jobs_;
  // Jobs whose failures are attributed to a machine, with the time of the attribution. Entries outlive their
  // jobs, as small jobs end before enough failures have accumulated.
  std::map<MachineId, std::map<JobId, Time>> attributedFailures_;
  std::map<MachineId, Time> lastFailure_;  // of machines that have completed no task since
};

}  // namespace cherryloft
