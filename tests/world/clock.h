// Virtual time: a single queue of events ordered by time, independent of real time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>

namespace world {

using Ms = std::int64_t;

class Clock {
 public:
  explicit Clock(std::uint64_t seed) : rng(seed) {}
  Ms now() const { return now_; }
  void at(Ms when, std::function<void()> callback) {
    queue_.emplace(std::max(when, now_), std::move(callback));
  }
  void after(Ms delay, std::function<void()> callback) { at(now_ + delay, std::move(callback)); }
  void run(Ms until) {
    while (!queue_.empty() && queue_.begin()->first <= until) {
      auto event = queue_.extract(queue_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = until;
  }
  double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(rng); }
  // A random duration from `least` to `most`.
  Ms between(Ms least, Ms most) {
    return static_cast<Ms>(uniform(static_cast<double>(least), static_cast<double>(most)));
  }
  bool chance(double p) { return uniform(0, 1) < p; }
  std::mt19937_64 rng;

 private:
  Ms now_ = 0;
  std::multimap<Ms, std::function<void()>> queue_;
};

// Token bucket: refills at a constant rate and holds one second's worth.
class TokenBucket {
 public:
  explicit TokenBucket(double perSecond) : perSecond_(perSecond), tokens_(perSecond) {}
  bool tryTake(Ms now, double n) {
    tokens_ = std::min(tokens_ + static_cast<double>(now - at_) * perSecond_ / 1000, perSecond_);
    at_ = now;
    if (tokens_ < n) return false;
    tokens_ -= n;
    return true;
  }

 private:
  double perSecond_, tokens_;
  Ms at_ = 0;
};

// Tracks the largest number of events within any one second.
class PeakRate {
 public:
  void add(Ms at) {
    recent_.push_back(at);
    while (at - recent_.front() >= 1000) recent_.pop_front();
    peak_ = std::max(peak_, recent_.size());
  }
  std::size_t peak() const { return peak_; }

 private:
  std::deque<Ms> recent_;
  std::size_t peak_ = 0;
};

}  // namespace world
