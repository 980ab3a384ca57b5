// Rendezvous of the tasks of a gang, identified by job and attempt, across all machines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "world/clock.h"

namespace world {

class Worker;
struct JobBehavior;

// Counters of gang events.
struct GangCounts {
  unsigned starts = 0;            // gangs whose members all ran at the same time
  unsigned checkpoints = 0;       // stops that saved the progress
  unsigned lostCheckpoints = 0;   // stops that reached some member too late or left too little time to save
  unsigned assemblyTimeouts = 0;  // members that ended because the gang was not complete in time
  unsigned startsAfterDone = 0;   // members started again after their gang was done
};

class GangRendezvous {
 public:
  GangRendezvous(Clock& clock, Ms assemblyTimeout, Ms peerTimeout)
      : clock_(clock), assemblyTimeout_(assemblyTimeout), peerTimeout_(peerTimeout) {}
  // The worker's task has its image and waits for the other members.
  void memberReady(Worker& worker, const JobBehavior& behavior, std::uint32_t index, std::uint64_t attempt);
  // The task has ended, or its machine is gone.
  void memberLeft(const std::string& job, std::uint32_t index, std::uint64_t attempt, const Worker& worker);
  // A running task was commanded to stop, with enough time to save.
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
  std::map<std::string, Ms> savedProgress_;  // checkpointed progress by job
  std::map<std::string, bool> done_;
  GangCounts counts_;
};

}  // namespace world
