// How long tasks take from their arrival to their start, and what placing them cost: a histogram for each
// kind of wait, and counters. For operators (OPERATING.md) and for scenario tests.
#pragma once

#include <boost/histogram.hpp>
#include <string>

#include "base/types.h"

namespace cherryloft {

// Waits in milliseconds, in bins that are equally wide on a logarithmic scale up to 1,000 s.
class LatencyHistogram {
 public:
  void add(Duration wait);
  // "<name>_n=… <name>_p50_ms=… <name>_p90_ms=… <name>_max_ms=…", and begins anew. A quantile is the upper
  // edge of its bin, or the longest wait if that is less.
  std::string take(const std::string& name);

 private:
  double quantile(double fraction) const;

  static constexpr unsigned kBins = 60;
  static constexpr double kShortestMs = 1.0;
  static constexpr double kLongestMs = 1e6;
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(1, 1, 2))) bins_ =
      boost::histogram::make_histogram(Axis(kBins, kShortestMs, kLongestMs));
  std::size_t count_ = 0;
  Duration longest_{0};
};

// What decisions cost since the process began: the same every time in virtual time.
struct ShardCounters {
  std::size_t starts = 0;            // placements of tasks
  std::size_t machinesExamined = 0;  // for these placements
  std::size_t quarantined = 0;       // machines released as faulty
};

// What a shard's owner decided in a span of time.
struct RoundCounters {
  std::size_t starts = 0;
  std::size_t machinesExamined = 0;
  std::size_t rounds = 0;
  std::size_t maxPlacementsPerRound = 0;  // placements of the round that made most
  std::size_t evictedTasks = 0;           // tasks preempted
};

// From a task's arrival to the round that placed it, to its commit, and to the heartbeat that showed it.
struct StartLatencies {
  LatencyHistogram arrivalToPlaced;
  LatencyHistogram placedToCommitted;
  LatencyHistogram placedToShown;
  ShardCounters counts;
  // Since the last takeRoundCounters().
  std::size_t rounds = 0;
  std::size_t maxPlacementsPerRound = 0;
  std::size_t evictedTasks = 0;
  ShardCounters countsAtLastTake;

  // What was counted since the last call.
  RoundCounters takeRoundCounters();
};

}  // namespace cherryloft
