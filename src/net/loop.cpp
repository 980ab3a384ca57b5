#include "net/loop.h"

#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace cherryloft {
namespace {
// The longest time for which overdue timers are deferred while sockets still have input.
constexpr Duration kMaxTimerDeferral{300};
}  // namespace

Loop::Loop(Duration stallThreshold) : loop_(ev_loop_new(EVFLAG_AUTO)), stallThreshold_(stallThreshold) {
  if (!loop_) throw std::runtime_error("cannot create an event loop");
  ev_init(&timer_, &Loop::onTimer);
  timer_.data = this;
  ev_set_priority(&timer_, EV_MINPRI);
}

Loop::~Loop() {
  timers_.clear();
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

void Loop::after(Duration delay, std::function<void()> callback) {
  auto it = timers_.emplace(now() + std::max(delay, Duration{0}), std::move(callback));
  if (it == timers_.begin()) armTimer();
}

void Loop::armTimer() {
  ev_timer_stop(loop_, &timer_);
  if (timers_.empty()) return;
  ev_now_update(loop_);
  double wait = toSeconds(timers_.begin()->first - now());
  ev_timer_set(&timer_, std::max(wait, 0.0), 0.0);
  ev_timer_start(loop_, &timer_);
}

// Whether overdue timers must wait for socket input. A single poll is not enough: it reads only part of what
// is pending, and nothing from connections accepted in the same poll.
bool Loop::mustReadSocketsFirst(Time now) {
  bool hadInput = socketEvents_ != std::exchange(socketEventsAtLastCheck_, socketEvents_);
  if (timers_.empty() || now - timers_.begin()->first < stallThreshold_) {
    deferringTimersSince_.reset();
    return false;
  }
  if (!deferringTimersSince_) {
    deferringTimersSince_ = now;
    return true;
  }
  return hadInput && now - *deferringTimersSince_ < kMaxTimerDeferral;
}

void Loop::runDueTimers() {
  if (mustReadSocketsFirst(now())) return armTimer();
  // Only timers that were due at the start, so that timers cannot starve sockets.
  auto until = now();
  while (!timers_.empty() && timers_.begin()->first <= until) {
    auto callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
  }
  armTimer();
}

void Loop::onTimer(struct ev_loop*, ev_timer* watcher, int) {
  static_cast<Loop*>(watcher->data)->runDueTimers();
}

void Loop::run() { ev_run(loop_, 0); }
void Loop::stop() { ev_break(loop_, EVBREAK_ALL); }

Socket::Socket(Loop& loop, int fd, ReadyHandler onReady)
    : loop_(loop), fd_(fd), onReady_(std::move(onReady)) {
  ev_init(&watcher_, &Socket::onEvent);
  watcher_.data = this;
}

Socket::~Socket() {
  ev_io_stop(loop_.raw(), &watcher_);
  ::close(fd_);
}

void Socket::watch(int events) {
  if (events == events_) return;
  ev_io_stop(loop_.raw(), &watcher_);
  events_ = events;
  if (events == 0) return;
  ev_io_set(&watcher_, fd_, events);
  ev_io_start(loop_.raw(), &watcher_);
}

void Socket::onEvent(struct ev_loop*, ev_io* watcher, int events) {
  auto* self = static_cast<Socket*>(watcher->data);
  ++self->loop_.socketEvents_;
  // A copy: the handler may destroy the socket.
  auto handler = self->onReady_;
  handler(events);
}

}  // namespace cherryloft
