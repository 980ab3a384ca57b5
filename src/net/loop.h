// Event loop on libev: monotonic time, one-shot timers and watched descriptors. After the process was
// suspended, pending socket input is handled before overdue timers, so that its own pause is not mistaken for
// silence of its peers.
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
  // A timer that is overdue by `stallThreshold` or more means that the process was suspended.
  explicit Loop(Duration stallThreshold = Duration{500});
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  Time now() const;
  WallTime wall() const;
  // Runs the callback once, after the delay.
  void after(Duration delay, std::function<void()> callback);
  void run();
  void stop();
  struct ev_loop* raw() {
    return loop_;
  }

 private:
  friend class Socket;
  static void onTimer(struct ev_loop*, ev_timer* watcher, int);
  void armTimer();
  bool mustReadSocketsFirst(Time now);
  void runDueTimers();

  struct ev_loop* loop_;
  ev_timer timer_;
  std::multimap<Time, std::function<void()>> timers_;  // by due time
  Duration stallThreshold_;
  std::optional<Time> deferringTimersSince_;  // set while overdue timers wait for socket input
  std::uint64_t socketEvents_ = 0;            // handled so far
  std::uint64_t socketEventsAtLastCheck_ = 0;
};

// Owns a non-blocking socket and its libev watcher; closes the socket on destruction.
class Socket {
 public:
  // Called when the socket is ready; events: EV_READ, EV_WRITE or both.
  using ReadyHandler = std::function<void(int events)>;

  Socket(Loop& loop, int fd, ReadyHandler onReady);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return fd_; }
  void watch(int events);

 private:
  static void onEvent(struct ev_loop*, ev_io* watcher, int events);

  Loop& loop_;
  int fd_;
  int events_ = 0;
  ReadyHandler onReady_;
  ev_io watcher_;
};

}  // namespace cherryloft
