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

struct Broken {
  Ms at;
  std::string rule, what;
};

struct Machine {
  std::string id, type, zone;
  bool spot = false;
};

// A machine that is up, by the true state of the world: what is free on it and what it holds, tasks whose
// image is still on its way included.
struct Room {
  Machine machine;
  cherryloft::Resources free;
  bool takesWork = true;  // it neither hangs nor has a notice
  std::vector<std::pair<std::string, std::uint32_t>> held;
};

// When a user's question was asked, and when and by which controller it was answered.
struct Said {
  Ms askedAt = 0, givenAt = 0;
  unsigned by = 0;
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
  void watch(std::vector<TypeSize> types, std::function<std::vector<Room>()> rooms) {
    types_ = std::move(types), rooms_ = std::move(rooms);
  }
  // To be called when the last task of a job is done.
  void whenAllDone(std::function<void(const std::string&)> f) { whenAllDone_ = std::move(f); }

  // What users did and were told. A job that fails everywhere may wait.
  void submitted(const cherryloft::JobSpec& spec, bool fails = false);
  // Its submission is none that may be accepted.
  void submittedWrong(const std::string& job, const std::string& why) { jobs_[job].wrong = why; }
  void accepted(const std::string& job);
  void asked404(const std::string& job);
  void refusedRetry(const std::string& job, int status);
  // An older answer than the job's end is broken if its question was asked after the user had heard of the
  // end, or if the controller that gives it had given the end itself. Questions to two controllers at once
  // may cross.
  void told(const std::string& job, const std::string& status, const Said& said);
  void cancelAsked(const std::string& job) { jobs_[job].cancelAsked = true; }
  // A question about it was answered, whatever the answer.
  void answered(const std::string& job) { jobs_[job].answeredAt = clock_.now(); }
  // A worker's lease ran out with tasks on it; a report of one was not taken.
  void leaseEnded() { ++leasesEnded_; }
  void reportLost() { ++reportsLost_; }
  // A worker refused a command to start or stop a task, as it had heard a later owner before.
  void commandOutdated() { ++commandsOutdated_; }
  unsigned commandsOutdated() const { return commandsOutdated_; }
  void countReportsLost() { reportsLost_ = 0; }
  unsigned leasesEnded() const { return leasesEnded_; }
  unsigned reportsLost() const { return reportsLost_; }
  // All troubles are over from then on.
  void troublesEnd(Ms at) { troublesEnd_ = std::max(troublesEnd_, at); }
  // To be called at the end: who was not served.
  void judgeService();
  // What machines did. A task is on its machine from the moment its image is there.
  // The command to start it was given at `givenAt`.
  void started(const Machine& m, const std::string& job, std::uint32_t index, Ms givenAt);
  void left(const std::string& machine, const std::string& job, std::uint32_t index, bool done);
  // To be called often: what must have ended by now.
  void review();

  const std::vector<Broken>& broken() const { return broken_; }
  unsigned startsOf(const std::string& job) const;
  // Of tasks of a job that was confirmed as cancelled, whenever the command was given.
  unsigned startsAfterCancel() const { return startsAfterCancel_; }
  Ms begunAt(const std::string& job) const;  // -1: it has not
  bool allDone(const std::string& job) const;
  double tasksOn(const std::string& job) const;
  std::set<std::string> machinesOf(const std::string& job) const;

 private:
  struct Job {
    std::optional<cherryloft::JobSpec> spec;
    bool accepted = false, cancelAsked = false;
    Ms submittedAt = 0, acceptedAt = -1, answeredAt = -1, begunAt = -1;
    bool silent = false;  // was found to be forgotten
    std::string final;    // done or cancelled, as told
    Ms finalAt = -1;
    std::map<unsigned, Ms> endGiven,
        lastOpenGiven;  // by controller: its first word of the end, its last before
    std::set<std::uint32_t> done;
    std::map<std::uint32_t, Machine> on;
    unsigned starts = 0;
    std::string wrong;  // why it can't be accepted
    bool fails = false;
    std::uint32_t waited = 0;  // tasks that waited when last looked at
    Ms roomSince = -1;         // since when there is room for what waits
    bool left = false;         // was found to be left waiting
  };
  struct Held {
    std::uint32_t tasks = 0;
    std::map<std::string, std::uint32_t> zones;
  };
  using HeldOf = std::map<std::string, Held>;
  std::string whyWrong(const cherryloft::JobSpec& s) const;
  void reviewWaiting();
  bool hasRoom(const Job& j, const Held& held, double teamUses, const std::vector<Room>& rooms) const;
  void judge(const std::string& whom, const std::vector<const Job*>& jobs);
  void breaks(const std::string& rule, const std::string& what) {
    broken_.push_back({clock_.now(), rule, what});
  }

  Clock& clock_;
  const cherryloft::Settings& settings_;
  Trace& trace_;
  std::map<std::string, Job> jobs_;
  Ms troublesEnd_ = 0;
  unsigned leasesEnded_ = 0, reportsLost_ = 0, startsAfterCancel_ = 0, commandsOutdated_ = 0;
  std::vector<TypeSize> types_;
  std::function<std::vector<Room>()> rooms_;
  std::function<void(const std::string&)> whenAllDone_;
  Ms waitingReviewedAt_ = 0;
  std::vector<Broken> broken_;
};

}  // namespace world
