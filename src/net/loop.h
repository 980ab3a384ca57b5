// The libev loop: steady time, one-shot timers and watched descriptors. What sockets hold is read before
// timers run: a process that stood still must not take its own stillness for silence of others.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/types.h"

namespace cherryloft {

class Loop {
 public:
  // Timers later than that had no chance to run: the process stood still.
  explicit Loop(Duration stoodStill = Duration{500});
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  Time now() const;
  WallTime wall() const;
  void after(Duration d, std::function<void()> f);
  void run();
  void stop();
  struct ev_loop* raw() {
    return loop_;
  }

 private:
  friend class Socket;
  static void fired(struct ev_loop*, ev_timer* w, int);
  void arm();
  bool socketsFirst(Time now);
  void runDue();

  struct ev_loop* loop_;
  ev_timer timer_;
  std::multimap<Time, std::function<void()>> due_;
  // After the process stood still: since when sockets are read before timers are run, and what they showed.
  Duration stoodStill_;
  std::optional<Time> lateSince_;
  std::uint64_t socketEvents_ = 0, seenEvents_ = 0;
};

// A non-blocking socket with its watcher; closes with its owner.
class Socket {
 public:
  // The owner's reaction to readiness: EV_READ, EV_WRITE or both.
  using Ready = std::function<void(int events)>;

  Socket(Loop& loop, int fd, Ready ready);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return fd_; }
  void watch(int events);

 private:
  static void fired(struct ev_loop*, ev_io* w, int events);

  Loop& loop_;
  int fd_;
  int events_ = 0;
  Ready ready_;
  ev_io runtime_;
};

}  // namespace cherryloft
