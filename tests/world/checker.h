// Checks the protocol's rules against the true state of the simulation, without looking into the controllers.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/job.h"
#include "config/settings.h"
#include "world/clock.h"
#include "world/trace.h"

namespace world {

struct Violation {
  Ms at;
  std::string rule, what;
};

struct Machine {
  std::string id, type, zone;
  bool spot = false;
};

// The true state of a machine that is up: its free resources and its tasks, including those whose image is
// still being fetched.
struct MachineState {
  Machine machine;
  cherryloft::Resources free;
  bool schedulable = true;  // false while it hangs or has a reclaim notice
  std::vector<std::pair<std::string, std::uint32_t>> tasks;
};

// When a user's request was sent, and when and by which controller its response was sent.
struct AnswerSource {
  Ms requestedAt = 0, sentAt = 0;
  unsigned controller = 0;
};

struct TypeSize {
  std::string name;
  cherryloft::Resources size;
};

class Checker {
 public:
  Checker(Clock& clock, const cherryloft::Settings& settings, Trace& trace)
      : clock_(clock), settings_(settings), trace_(trace) {}

  // Sources of the true state, for rules that cannot be checked without it.
  void observeMachines(std::vector<TypeSize> types, std::function<std::vector<MachineState>()> states) {
    types_ = std::move(types), machineStates_ = std::move(states);
  }
  // `f` is called when the last task of a job is done.
  void onAllTasksDone(std::function<void(const std::string&)> f) { onAllTasksDone_ = std::move(f); }

  // User requests and the answers to them. Jobs with `fails` fail on every machine and may be backed off.
  void submitted(const cherryloft::JobSpec& spec, bool fails = false);
  // The submission of this job must not be accepted.
  void submittedInvalid(const std::string& job, const std::string& why) { jobs_[job].invalidReason = why; }
  void accepted(const std::string& job);
  void answeredNotFound(const std::string& job);
  void retryRejected(const std::string& job, int status);
  // Reports a status that a user received. An answer older than the job's end is a violation if it was
  // requested after the user had learned of the end, or if the controller that sent it had already reported
  // the end itself. Requests to two controllers at the same time may overtake each other.
  void statusReported(const std::string& job, const std::string& status, const AnswerSource& source);
  void cancelRequested(const std::string& job) { jobs_[job].cancelRequested = true; }
  // A query about the job was answered, with any status.
  void queryAnswered(const std::string& job) { jobs_[job].lastAnswerAt = clock_.now(); }
  // The lease of a worker with tasks expired; a report of a worker was not accepted.
  void leaseExpired() { ++leasesExpired_; }
  void reportLost() { ++reportsLost_; }
  // A worker refused a command to start or stop a task because it knew a later owner.
  void commandFenced() { ++fencedCommands_; }
  unsigned fencedCommands() const { return fencedCommands_; }
  void resetReportsLost() { reportsLost_ = 0; }
  unsigned leasesExpired() const { return leasesExpired_; }
  unsigned reportsLost() const { return reportsLost_; }
  // No injected fault lasts beyond `at`.
  void faultsEnd(Ms at) { faultsEnd_ = std::max(faultsEnd_, at); }
  // Checks at the end of the run which groups of jobs were not started in time.
  void checkStartDelays();
  // Events on machines. A task is on its machine once its image has been fetched. The command to start it was
  // sent at `commandSentAt`.
  void taskStarted(const Machine& m, const std::string& job, std::uint32_t index, Ms commandSentAt);
  // Only answers to heartbeats may start tasks, as a direct command may be executed again at any time.
  void startedByDirectCommand(const Machine& m, const std::string& task) {
    reportViolation("started_directly", task + " starts on " + m.id + " by a direct command");
  }
  void handleTaskExit(const std::string& machine, const std::string& job, std::uint32_t index, bool done);
  // Called periodically: checks everything that must have happened by now.
  void runPeriodicChecks();

  const std::vector<Violation>& violations() const { return violations_; }
  unsigned startsOf(const std::string& job) const;
  // Starts of tasks after their job's cancellation was confirmed, whenever the command was sent.
  unsigned startsAfterCancel() const { return startsAfterCancel_; }
  Ms firstStartAt(const std::string& job) const;  // -1: not started
  bool allDone(const std::string& job) const;
  double runningTasks(const std::string& job) const;
  std::set<std::string> machinesRunning(const std::string& job) const;

 private:
  struct Job {
    std::optional<cherryloft::JobSpec> spec;
    bool accepted = false, cancelRequested = false;
    Ms submittedAt = 0, acceptedAt = -1, lastAnswerAt = -1, firstStartAt = -1;
    bool lostReported = false;  // a forgotten violation was reported
    std::string final;          // "done" or "aborted", as reported to the user
    Ms finalAt = -1;
    std::map<unsigned, Ms> finalSentAt,
        lastNonFinalSentAt;  // by controller: when it first sent a final status, and last a non-final one
    std::set<std::uint32_t> done;
    std::map<std::uint32_t, Machine> running;
    unsigned starts = 0;
    std::string invalidReason;  // why it must not be accepted
    bool fails = false;
    std::uint32_t previouslyWaiting = 0;  // waiting tasks at the previous check
    Ms placeableSince = -1;               // since when a waiting task could have been placed
    bool starvationReported = false;      // a starved violation was reported
  };
  struct PlacedTasks {
    std::uint32_t tasks = 0;
    std::map<std::string, std::uint32_t> zones;
  };
  using PlacedTasksByJob = std::map<std::string, PlacedTasks>;
  std::string rejectionReason(const cherryloft::JobSpec& s) const;
  void checkStarvation();
  bool isPlaceable(const Job& j, const PlacedTasks& placed, double coresOfTeam,
                   const std::vector<MachineState>& states) const;
  void checkStartShare(const std::string& group, const std::vector<const Job*>& jobs);
  void reportViolation(const std::string& rule, const std::string& what) {
    violations_.push_back({clock_.now(), rule, what});
  }

  Clock& clock_;
  const cherryloft::Settings& settings_;
  Trace& trace_;
  std::map<std::string, Job> jobs_;
  Ms faultsEnd_ = 0;
  unsigned leasesExpired_ = 0, reportsLost_ = 0, startsAfterCancel_ = 0, fencedCommands_ = 0;
  std::vector<TypeSize> types_;
  std::function<std::vector<MachineState>()> machineStates_;
  std::function<void(const std::string&)> onAllTasksDone_;
  Ms starvationCheckedAt_ = 0;
  std::vector<Violation> violations_;
};

}  // namespace world
