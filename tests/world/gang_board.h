// How the tasks of gangs find each other: by their job and attempt, whatever machine they are on.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "world/clock.h"

namespace world {

class Worker;
struct JobBehavior;

// What the gangs of a world did.
struct GangCounts {
  unsigned starts = 0;      // all members ran at once
  unsigned saves = 0;       // orderly stops that kept the progress
  unsigned lostSaves = 0;   // stops that some member was told of too late, or that gave too little time
  unsigned gaveUp = 0;      // members that ended as the gang was not complete in time
  unsigned startsDone = 0;  // members that were started again after their gang was done
};

class GangBoard {
 public:
  GangBoard(Clock& clock, Ms wait, Ms peer) : clock_(clock), wait_(wait), peer_(peer) {}
  // The worker's task has its image and waits for the others.
  void gather(Worker& worker, const JobBehavior& nature, std::uint32_t index, std::uint64_t attempt);
  // The task is no longer there, or its machine is gone.
  void left(const std::string& job, std::uint32_t index, std::uint64_t attempt, const Worker& worker);
  // A running task is told to stop, with time enough to save.
  void told(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  const GangCounts& counts() const { return counts_; }

 private:
  using Name = std::pair<std::string, std::uint64_t>;  // job and attempt
  struct Member {
    Worker* worker = nullptr;
    bool told = false;
  };
  struct Gang {
    const JobBehavior* nature = nullptr;
    std::map<std::uint32_t, Member> members;
    Ms startedAt = -1, progressBefore = 0;
    Ms firstToldAt = -1;
    bool over = false;
  };
  void start(const Name& name);
  void review(const Name& name);
  void finish(const Name& name);
  void taskLost(const Name& name);
  void settleStop(const Name& name);
  void endAll(const Name& name, const std::string& cause);
  Ms progress(const Gang& gang) const;
  void fallBack(const Name& name);

  Clock& clock_;
  Ms wait_, peer_;
  std::map<Name, Gang> gangs_;
  std::map<std::string, Ms> kept_;  // progress of a job that is safe
  std::map<std::string, bool> done_;
  GangCounts counts_;
};

}  // namespace world
