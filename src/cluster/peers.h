// Peers: heartbeats between controllers, asks with deadlines, and one hop around a cut link.
#pragma once

#include <map>
#include <vector>

#include "cluster/keep_alive_proxy.h"
#include "config/settings.h"
#include "runtime/runtime.h"

namespace cherryloft {

class Peers {
 public:
  struct Callbacks {
    // Something that is neither a heartbeat nor an answer came, from that controller.
    std::function<void(std::uint32_t from, const mesh::Payload&)> received;
    std::function<mesh::PeerHeartbeat()> heartbeat;  // what to say of ourselves; the rest is filled in here
  };
  using Answered = std::function<void(const mesh::Answer*)>;  // null: none in time

  Peers(const Settings& settings, Runtime& runtime, Callbacks out);
  void start();
  void frame(const mesh::Frame& f);
  void send(std::uint32_t to, mesh::Payload p);
  void send(const ControllerId& to, mesh::Payload p);
  void sendAll(const mesh::Payload& p);
  // The payload's id is set here.
  template <class Ask>
  void ask(const ControllerId& to, Ask a, Duration deadline, Answered done) {
    a.id = expect(deadline, std::move(done));
    send(to, std::move(a));
  }
  bool hears(std::uint32_t n) const;
  bool hearsAny() const;
  Time heardAt(std::uint32_t n) const { return neighbours_[n].heard; }
  // Some sibling, heard of late, holds its lease.
  bool someoneHasStore() const;
  // It is heard, or a sibling that is hears it.
  bool reaches(std::uint32_t n) const;
  bool reaches(const ControllerId& n) const { return reaches(numberOf(n)); }
  // Whether a worker of a shard of that sibling's, with a token of that epoch, may be answered in its name,
  // when we know of all jobs what was committed up to `seen`.
  bool mayAnswerFor(std::uint32_t n, ShardId shard, Epoch epoch, Version seen) const;
  void answeredFor(std::uint32_t n) { neighbours_[n].link.answered(runtime_.now()); }
  // The latest moment at which any sibling may have answered a worker in our name.
  Time answeredElsewhere() const;
  std::uint32_t self() const { return self_; }
  std::uint32_t numberOf(const ControllerId& n) const { return settings_.preferredShard(n).value; }

 private:
  struct Neighbour {
    Time heard{};
    mesh::PeerHeartbeat heartbeat;
    Time remeshed{};
    KeepAliveProxyLink link;
  };
  std::optional<std::uint32_t> via(std::uint32_t to) const;
  std::uint64_t expect(Duration deadline, Answered done);
  void sendHeartbeats();

  const Settings& settings_;
  Runtime& runtime_;
  Callbacks callbacks_;
  std::uint32_t self_;
  std::uint64_t life_;
  std::vector<Neighbour> neighbours_;
  std::map<std::uint64_t, Answered> asks_;
  std::uint64_t askCount_ = 0;
};

}  // namespace cherryloft
