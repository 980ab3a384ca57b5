#include "scheduler/start_latencies.h"

#include <algorithm>
#include <utility>

namespace cherryloft {

void LatencyHistogram::add(Duration wait) {
  bins_(std::max<double>(1.0, static_cast<double>(wait.count())));
  ++count_;
  longest_ = std::max(longest_, wait);
}

// The upper edge of the bin in which the quantile lies.
double LatencyHistogram::quantile(double fraction) const {
  double sum = 0;
  for (const auto& bin : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
    sum += *bin;
    if (sum >= fraction * static_cast<double>(count_))
      return std::min(bin.bin().upper(), static_cast<double>(longest_.count()));
  }
  return static_cast<double>(longest_.count());
}

std::string LatencyHistogram::take(const std::string& name) {
  auto pair = [&](const std::string& key, long value) {
    return name + "_" + key + "=" + std::to_string(value);
  };
  auto line = pair("n", static_cast<long>(count_)) + " " + pair("p50_ms", static_cast<long>(quantile(0.5))) +
              " " + pair("p90_ms", static_cast<long>(quantile(0.9))) + " " +
              pair("max_ms", static_cast<long>(longest_.count()));
  bins_.reset();
  count_ = 0;
  longest_ = Duration{0};
  return line;
}

RoundCounters StartLatencies::takeRoundCounters() {
  RoundCounters minute;
  minute.starts = counts.starts - countsAtLastTake.starts;
  minute.machinesExamined = counts.machinesExamined - countsAtLastTake.machinesExamined;
  minute.rounds = std::exchange(rounds, 0);
  minute.maxPlacementsPerRound = std::exchange(maxPlacementsPerRound, 0);
  minute.evictedTasks = std::exchange(evictedTasks, 0);
  countsAtLastTake = counts;
  return minute;
}

}  // namespace cherryloft
