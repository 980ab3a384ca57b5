#include "net/loop.h"

#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kReadingFirst{300};  // for how long sockets go first, as long as they have something
}  // namespace

Loop::Loop(Duration stoodStill) : loop_(ev_loop_new(EVFLAG_AUTO)), stoodStill_(stoodStill) {
  if (!loop_) throw std::runtime_error("cannot create an event loop");
  ev_init(&timer_, &Loop::fired);
  timer_.data = this;
  ev_set_priority(&timer_, EV_MINPRI);
}

Loop::~Loop() {
  due_.clear();
  ev_timer_stop(loop_, &timer_);
  ev_loop_destroy(loop_);
}

Time Loop::now() const {
  return Time{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

WallTime Loop::wall() const {
  return WallTime{std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count()};
}

void Loop::after(Duration d, std::function<void()> f) {
  auto it = due_.emplace(now() + std::max(d, Duration{0}), std::move(f));
  if (it == due_.begin()) arm();
}

void Loop::arm() {
  ev_timer_stop(loop_, &timer_);
  if (due_.empty()) return;
  ev_now_update(loop_);
  double wait = toSeconds(due_.begin()->first - now());
  ev_timer_set(&timer_, std::max(wait, 0.0), 0.0);
  ev_timer_start(loop_, &timer_);
}

// One look at the sockets shows only some of what waits in them, and what is newly accepted not at all.
bool Loop::socketsFirst(Time now) {
  bool more = socketEvents_ != std::exchange(seenEvents_, socketEvents_);
  if (due_.empty() || now - due_.begin()->first < stoodStill_) {
    lateSince_.reset();
    return false;
  }
  if (!lateSince_) {
    lateSince_ = now;
    return true;
  }
  return more && now - *lateSince_ < kReadingFirst;
}

void Loop::runDue() {
  if (socketsFirst(now())) return arm();
  // Only what was due when the turn began, so that timers cannot starve sockets.
  auto until = now();
  while (!due_.empty() && due_.begin()->first <= until) {
    auto f = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    f();
  }
  arm();
}

void Loop::fired(struct ev_loop*, ev_timer* w, int) { static_cast<Loop*>(w->data)->runDue(); }

void Loop::run() { ev_run(loop_, 0); }
void Loop::stop() { ev_break(loop_, EVBREAK_ALL); }

Socket::Socket(Loop& loop, int fd, Ready ready) : loop_(loop), fd_(fd), ready_(std::move(ready)) {
  ev_init(&runtime_, &Socket::fired);
  runtime_.data = this;
}

Socket::~Socket() {
  ev_io_stop(loop_.raw(), &runtime_);
  ::close(fd_);
}

void Socket::watch(int events) {
  if (events == events_) return;
  ev_io_stop(loop_.raw(), &runtime_);
  events_ = events;
  if (events == 0) return;
  ev_io_set(&runtime_, fd_, events);
  ev_io_start(loop_.raw(), &runtime_);
}

void Socket::fired(struct ev_loop*, ev_io* w, int events) {
  // A copy, as the reaction may destroy the socket.
  auto* self = static_cast<Socket*>(w->data);
  ++self->loop_.socketEvents_;
  auto ready = self->ready_;
  ready(events);
}

}  // namespace cherryloft
