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
  unsigned starts = 0;            // all members ran at once
  unsigned checkpoints = 0;       // orderly stops that kept the progress
  unsigned lostCheckpoints = 0;   // stops that some member was told of too late, or that gave too little time
  unsigned assemblyTimeouts = 0;  // members that ended as the gang was not complete in time
  unsigned startsAfterDone = 0;   // members that were started again after their gang was done
};

class GangRendezvous {
 public:
  GangRendezvous(Clock& clock, Ms assemblyTimeout, Ms peerTimeout)
      : clock_(clock), assemblyTimeout_(assemblyTimeout), peerTimeout_(peerTimeout) {}
  // The worker's task has its image and waits for the others.
  void memberReady(Worker& worker, const JobBehavior& behavior, std::uint32_t index, std::uint64_t attempt);
  // The task is no longer there, or its machine is gone.
  void memberLeft(const std::string& job, std::uint32_t index, std::uint64_t attempt, const Worker& worker);
  // A running task is told to stop, with time enough to save.
  void memberNotified(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  const GangCounts& counts() const { return counts_; }

 private:
  using GangKey = std::pair<std::string, std::uint64_t>;  // job and attempt
  struct Member {
    Worker* worker = nullptr;
    bool notified = false;
  };
  struct Gang {
    const JobBehavior* behavior = nullptr;
    std::map<std::uint32_t, Member> members;
    Ms startedAt = -1, progressBefore = 0;
    Ms firstNotifiedAt = -1;
    bool ended = false;
  };
  void start(const GangKey& key);
  void checkProgress(const GangKey& key);
  void finish(const GangKey& key);
  void memberLost(const GangKey& key);
  void completeStop(const GangKey& key);
  void endMembers(const GangKey& key, const std::string& cause);
  Ms progress(const Gang& gang) const;
  void keepLastCheckpoint(const GangKey& key);

  Clock& clock_;
  Ms assemblyTimeout_, peerTimeout_;
  std::map<GangKey, Gang> gangs_;
  std::map<std::string, Ms> savedProgress_;  // progress of a job that is safe
  std::map<std::string, bool> done_;
  GangCounts counts_;
};

}  // namespace world
