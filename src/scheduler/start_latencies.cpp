#include "scheduler/start_latencies.h"

#include <algorithm>
#include <utility>

namespace cherryloft {

void LatencyHistogram::add(Duration latency) {
  bins_(std::max<double>(1.0, static_cast<double>(latency.count())));
  ++count_;
  max_ = std::max(max_, latency);
}

// The upper edge of the bin in which the quantile lies.
double LatencyHistogram::quantile(double fraction) const {
  double sum = 0;
  for (const auto& bin : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
    sum += *bin;
    if (sum >= fraction * static_cast<double>(count_))
      return std::min(bin.bin().upper(), static_cast<double>(max_.count()));
  }
  return static_cast<double>(max_.count());
}

std::string LatencyHistogram::summarizeAndReset(const std::string& name) {
  auto field = [&](const std::string& key, long value) {
    return name + "_" + key + "=" + std::to_string(value);
  };
  auto line = field("n", static_cast<long>(count_)) + " " +
              field("p50_ms", static_cast<long>(quantile(0.5))) + " " +
              field("p90_ms", static_cast<long>(quantile(0.9))) + " " +
              field("max_ms", static_cast<long>(max_.count()));
  bins_.reset();
  count_ = 0;
  max_ = Duration{0};
  return line;
}

RoundCounters StartLatencies::takeRoundCounters() {
  RoundCounters activity;
  activity.starts = counts.starts - countsAtLastCall.starts;
  activity.machinesExamined = counts.machinesExamined - countsAtLastCall.machinesExamined;
  activity.rounds = std::exchange(rounds, 0);
  activity.maxPlacementsPerRound = std::exchange(maxPlacementsPerRound, 0);
  activity.evictedTasks = std::exchange(evictedTasks, 0);
  countsAtLastCall = counts;
  return activity;
}

}  // namespace cherryloft
