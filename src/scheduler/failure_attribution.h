// Tells faulty machines from jobs submitted with a mistake. No I/O and no clock of its own.
//
// A failed task alone tells nothing: its machine may be faulty, or its job may fail everywhere. What decides
// is contrast. The failure counts against the machine once another machine has worked with the same job:
// completed a task of it, or kept one running for well longer than the failed one lasted. It counts against
// the job once the job failed on several machines and worked on none, or once one task of it did. Until then
// the job keeps off that machine, and the machine keeps working.
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

  // A task failed after it had run for so long. Returns how long its job should wait before the next try, if
  // it should; machines is how many there are to try.
  std::optional<Duration> failed(const TaskId& task, const MachineId& machine, Duration ranFor,
                                 std::size_t machines, Time now);
  // The machine completed a task of the job.
  void completed(const JobId& job, const MachineId& machine, Time now);
  // The machine has kept a task of the job running for at least contrastAfter().
  void keptRunning(const JobId& job, const MachineId& machine, Time now);

  // Jobs whose failures no machine's success contrasts with yet.
  std::vector<JobId> undecided() const;
  // For how long a task of the job must run to show that the job works.
  Duration contrastAfter(const JobId& job) const;
  // It failed several times in a row and never worked: one task of it at a time is enough to try.
  bool suspect(const JobId& job) const;
  // It should rather be tried on other machines.
  bool avoids(const JobId& job, const MachineId& machine, std::size_t machines, Time now) const;
  // Machines that failed this job and, of late, enough jobs that work elsewhere.
  std::vector<MachineId> faulty(const JobId& job, Time now) const;

  // The machine has just failed a task and completed none since: whose fault that was may be known soon, and
  // by its present owner only.
  bool undecidedAbout(const MachineId& machine, Time now) const;

  void forget(const JobId& job);
  void forget(const MachineId& machine);

 private:
  struct JobRecord {
    std::map<MachineId, Time> failedOn;                   // and when it last did
    std::map<std::uint32_t, std::set<MachineId>> byTask;  // where each of its tasks failed
    std::set<MachineId> worksOn;                          // two of them are enough to have one elsewhere
    Duration longestRun{};                                // of its failed tasks
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
  std::map<MachineId, Time> lastFailure_;  // of machines that completed nothing since
};

}  // namespace cherryloft
