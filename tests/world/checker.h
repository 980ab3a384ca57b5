// Checks the protocol's rules on what truly happens in the world, without a look into the controllers.
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

// A machine that is up, by the true state of the world: what is free on it and what it holds, tasks whose
// image is still on its way included.
struct MachineState {
  Machine machine;
  cherryloft::Resources free;
  bool schedulable = true;  // it neither hangs nor has a notice
  std::vector<std::pair<std::string, std::uint32_t>> tasks;
};

// When a user's question was asked, and when and by which controller it was answered.
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

  // The true state of the world, for what can be judged by it only.
  void observeMachines(std::vector<TypeSize> types, std::function<std::vector<MachineState>()> states) {
    types_ = std::move(types), machineStates_ = std::move(states);
  }
  // To be called when the last task of a job is done.
  void onAllTasksDone(std::function<void(const std::string&)> f) { onAllTasksDone_ = std::move(f); }

  // What users did and were told. A job that fails everywhere may wait.
  void submitted(const cherryloft::JobSpec& spec, bool fails = false);
  // Its submission is none that may be accepted.
  void submittedInvalid(const std::string& job, const std::string& why) { jobs_[job].invalidReason = why; }
  void accepted(const std::string& job);
  void answeredNotFound(const std::string& job);
  void retryRejected(const std::string& job, int status);
  // An older answer than the job's end is broken if its question was asked after the user had heard of the
  // end, or if the controller that gives it had given the end itself. Questions to two controllers at once
  // may cross.
  void statusReported(const std::string& job, const std::string& status, const AnswerSource& source);
  void cancelRequested(const std::string& job) { jobs_[job].cancelRequested = true; }
  // A question about it was answered, whatever the answer.
  void queryAnswered(const std::string& job) { jobs_[job].lastAnswerAt = clock_.now(); }
  // A worker's lease ran out with tasks on it; a report of one was not taken.
  void leaseExpired() { ++leasesExpired_; }
  void reportLost() { ++reportsLost_; }
  // A worker refused a command to start or stop a task, as it had heard a later owner before.
  void commandFenced() { ++fencedCommands_; }
  unsigned fencedCommands() const { return fencedCommands_; }
  void resetReportsLost() { reportsLost_ = 0; }
  unsigned leasesExpired() const { return leasesExpired_; }
  unsigned reportsLost() const { return reportsLost_; }
  // All troubles are over from then on.
  void faultsEnd(Ms at) { faultsEnd_ = std::max(faultsEnd_, at); }
  // To be called at the end: who was not served.
  void checkStartDelays();
  // What machines did. A task is on its machine from the moment its image is there.
  // The command to start it was given at `givenAt`.
  void taskStarted(const Machine& m, const std::string& job, std::uint32_t index, Ms commandSentAt);
  void taskEnded(const std::string& machine, const std::string& job, std::uint32_t index, bool done);
  // To be called often: what must have ended by now.
  void runPeriodicChecks();

  const std::vector<Violation>& violations() const { return violations_; }
  unsigned startsOf(const std::string& job) const;
  // Of tasks of a job that was confirmed as cancelled, whenever the command was given.
  unsigned startsAfterCancel() const { return startsAfterCancel_; }
  Ms firstStartAt(const std::string& job) const;  // -1: it has not
  bool allDone(const std::string& job) const;
  double runningTasks(const std::string& job) const;
  std::set<std::string> machinesRunning(const std::string& job) const;

 private:
  struct Job {
    std::optional<cherryloft::JobSpec> spec;
    bool accepted = false, cancelRequested = false;
    Ms submittedAt = 0, acceptedAt = -1, lastAnswerAt = -1, firstStartAt = -1;
    bool lostReported = false;  // was found to be forgotten
    std::string final;          // done or cancelled, as told
    Ms finalAt = -1;
    std::map<unsigned, Ms> finalSentAt,
        lastNonFinalSentAt;  // by controller: its first word of the end, its last before
    std::set<std::uint32_t> done;
    std::map<std::uint32_t, Machine> running;
    unsigned starts = 0;
    std::string invalidReason;  // why it can't be accepted
    bool fails = false;
    std::uint32_t previouslyWaiting = 0;  // tasks that waited when last looked at
    Ms placeableSince = -1;               // since when there is room for what waits
    bool starvationReported = false;      // was found to be left waiting
  };
  struct PlacedTasks {
    std::uint32_t tasks = 0;
    std::map<std::string, std::uint32_t> zones;
  };
  using PlacedTasksByJob = std::map<std::string, PlacedTasks>;
  std::string rejectionReason(const cherryloft::JobSpec& s) const;
  void checkStarvation();
  bool isPlaceable(const Job& j, const PlacedTasks& placed, double teamUses,
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
