// Latency histograms for the phases from a task's arrival to its start, and counters of the placement effort.
// For operators (OPERATING.md) and for scenario tests.
#pragma once

#include <boost/histogram.hpp>
#include <string>

#include "base/types.h"

namespace cherryloft {

// Histogram of latencies in milliseconds, with logarithmically spaced bins up to 1,000 s.
class LatencyHistogram {
 public:
  void add(Duration latency);
  // Returns "<name>_n=… <name>_p50_ms=… <name>_p90_ms=… <name>_max_ms=…" and clears the histogram. A quantile
  // is the upper edge of its bin, or the maximum latency if that is less.
  std::string summarizeAndReset(const std::string& name);

 private:
  double quantile(double fraction) const;

  static constexpr unsigned kBins = 60;
  static constexpr double kMinMs = 1.0;
  static constexpr double kMaxMs = 1e6;
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(1, 1, 2))) bins_ =
      boost::histogram::make_histogram(Axis(kBins, kMinMs, kMaxMs));
  std::size_t count_ = 0;
  Duration max_{0};
};

// Totals since the process started; deterministic in virtual time.
struct ShardCounters {
  std::size_t starts = 0;            // task placements
  std::size_t machinesExamined = 0;  // machines examined for these placements
  std::size_t quarantined = 0;       // machines released as faulty
  std::size_t tokenRaises = 0;       // of machines' fencing tokens, for any reason
  // Attempts that a worker reported although they were known to be gone from it.
  std::size_t attemptsReappeared = 0;
};

// Scheduling activity of a shard's owner between two calls of takeRoundCounters().
struct RoundCounters {
  std::size_t starts = 0;
  std::size_t machinesExamined = 0;
  std::size_t rounds = 0;
  std::size_t maxPlacementsPerRound = 0;  // placements in the largest round
  std::size_t evictedTasks = 0;           // tasks preempted
};

// Latencies from a task's arrival to its placement, and from there to its commit and to the first heartbeat
// that reports it.
struct StartLatencies {
  LatencyHistogram arrivalToPlaced;
  LatencyHistogram placedToCommitted;
  LatencyHistogram placedToShown;
  ShardCounters counts;
  // Counts since the last takeRoundCounters().
  std::size_t rounds = 0;
  std::size_t maxPlacementsPerRound = 0;
  std::size_t evictedTasks = 0;
  ShardCounters countsAtLastCall;

  // Returns the counts since the last call and resets them.
  RoundCounters takeRoundCounters();
};

}  // namespace cherryloft
