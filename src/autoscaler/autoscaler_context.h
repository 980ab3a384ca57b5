// State shared by the components of the autoscaler: dependencies, current leadership, cloud call budget.
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

// Whether this controller is the leader, and since when. The start time identifies the term: each later term
// of the same controller has a different one.
struct Leadership {
  bool active = false;
  Time since{};

  // Whether the term that started at `start` is still the current one, so that an operation begun in it is
  // valid.
  bool isCurrentTerm(Time start) const { return active && since == start; }
};

// Token bucket that limits calls to the cloud API. Only the leader calls the cloud, so it uses most of the
// rate limit; the remainder is reserved for a former leader that has not yet noticed that it lost leadership.
class CloudCallBudget {
 public:
  CloudCallBudget(double callsPerSecond, Time now)
      : callsPerSecond_(callsPerSecond), available_(callsPerSecond), refilled_(now) {}

  void refill(Time now) {
    available_ = std::min(available_ + toSeconds(now - refilled_) * callsPerSecond_ * kFractionOfLimit,
                          callsPerSecond_);
    refilled_ = now;
  }
  // Consumes one call if one is available.
  bool tryConsume() {
    if (available_ < 1) return false;
    consume();
    return true;
  }
  void consume() { available_ -= 1; }
  void refund() { available_ += 1; }
  // Compares the number of calls available.
  friend std::partial_ordering operator<=>(const CloudCallBudget& budget, double calls) {
    return budget.available_ <=> calls;
  }

 private:
  static constexpr double kFractionOfLimit = 0.7;
  double callsPerSecond_;
  double available_;
  Time refilled_;
};

inline constexpr Duration kCloudCallTimeout{4'000};
// A new leader observes the cluster for this long before acting.
inline constexpr Duration kNewLeaderSettleTime{5'000};

// All references must outlive the components that use the context.
struct AutoscalerContext {
  const Settings& settings;
  Runtime& runtime;
  Log log;
  KeyValueStore& store;
  const ClusterView& clusterView;
  const Leadership& leadership;

  void callCloud(HttpRequest request, HttpCallback done) const {
    runtime.call(settings.cloud, std::move(request), kCloudCallTimeout, std::move(done));
  }
};

}  // namespace cherryloft
