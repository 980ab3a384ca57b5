// What the parts of Fleet have in common: the surroundings, the current leadership, the calls to the cloud.
#pragma once

#include <algorithm>
#include <compare>
#include <utility>

#include "cluster/cluster_view.h"
#include "config/settings.h"
#include "kvstore/key_value_store.h"
#include "log/log.h"
#include "runtime/runtime.h"

namespace cherryloft {

// Whether this controller leads, and since when. A later leadership of the same controller has another start.
struct Leadership {
  bool active = false;
  Time since{};

  // Whether what was begun under the leadership of that start still counts.
  bool continues(Time start) const { return active && since == start; }
};

// How many calls to the cloud may be made now. Only the leader speaks to the cloud, and so it has nearly all
// of the limit; a rest is left for a rival that has not yet noticed that it leads no more.
class CallBudget {
 public:
  CallBudget(double callsPerSecond, Time now)
      : callsPerSecond_(callsPerSecond), calls_(callsPerSecond), refilled_(now) {}

  void refill(Time now) {
    calls_ = std::min(calls_ + inSeconds(now - refilled_) * callsPerSecond_ * kOfLimit, callsPerSecond_);
    refilled_ = now;
  }
  // Takes one call if there is one.
  bool tryTake() {
    if (calls_ < 1) return false;
    take();
    return true;
  }
  void take() { calls_ -= 1; }
  void giveBack() { calls_ += 1; }
  // Compares the calls that are left.
  friend std::partial_ordering operator<=>(const CallBudget& budget, double calls) {
    return budget.calls_ <=> calls;
  }

 private:
  static constexpr double kOfLimit = 0.7;
  double callsPerSecond_;
  double calls_;
  Time refilled_;
};

inline constexpr Duration kCloudDeadline{4'000};
inline constexpr Duration kSettle{5'000};  // a new leader looks before it acts

// Everything in it outlives the parts.
struct AutoscalerContext {
  const Settings& settings;
  Runtime& runtime;
  Log log;
  KeyValueStore& store;
  const ClusterView& clusterView;
  const Leadership& leadership;

  void callCloud(HttpRequest request, HttpCallback done) const {
    runtime.call(settings.cloud, std::move(request), kCloudDeadline, std::move(done));
  }
};

}  // namespace cherryloft
