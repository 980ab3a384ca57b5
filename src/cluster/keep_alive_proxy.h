// Answering for a sibling that is out of reach (invariant 15). A controller that is cut off together with
// workers of another's shards may answer their heartbeats, without commands, for as long as that other itself
// might after losing its lease; and the other, or whoever owns the shard after it, counts those workers'
// leases from the last moment at which that may have happened. It must have seen every cancellation that the
// other had committed when it said its last word (invariant 16). One link holds both sides' knowledge of one
// sibling. No I/O and no clock of its own.
#pragma once

#include <map>
#include <optional>

#include "base/types.h"
#include "mesh/messages.h"

namespace cherryloft {

class KeepAliveProxyLink {
 public:
  // most: how long it may answer after a word of the owner (Settings::blindFor).
  KeepAliveProxyLink(Time started, Duration grace, Duration most)
      : started_(started), grace_(grace), most_(most) {
    lastQuiet_ = started;
  }

  // Completes a heartbeat to the sibling; hears: we have heard it of late.
  void fill(mesh::PeerHeartbeat& p, bool hears, Time now);
  // False if the heartbeat is older than one that came before.
  bool came(const mesh::PeerHeartbeat& p, Time now);

  // As its keep-alive proxy: whether we may answer a worker of that shard that holds a token of that epoch,
  // when we know of all jobs what was committed up to `seen`.
  bool mayAnswer(ShardId shard, Epoch epoch, Version seen, bool hears, Time now) const;
  void answered(Time now) { lastAnswer_ = now; }

  // As an owner: the latest moment until now at which the sibling may have answered a worker of ours.
  Time mayHaveAnswered(Time now) const;

 private:
  Time started_;
  Duration grace_, most_;
  std::uint64_t life_ = 0;   // of the sibling's process
  std::int64_t seenAt_ = 0;  // by its clock, when it sent the latest heartbeat that came

  // As its keep-alive proxy.
  Time lastQuiet_{};  // our last word to it that we answer nobody in its name
  struct Word {
    Epoch epoch;
    Version cancelled;
  };
  std::map<ShardId, Word> shards_;
  Time allowedUntil_{};
  std::optional<Time> lastAnswer_;

  // As an owner.
  Time quietAt_{};    // at some moment since then it answered nobody in our name
  Time told_{};       // it did so until then, by its own word or at the latest
  Time allowance_{};  // beyond this it may not, having heard from us
};

}  // namespace cherryloft
