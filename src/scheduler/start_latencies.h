// How long things take, for the operators' line a minute: a histogram for each kind of wait.
#pragma once

#include <boost/histogram.hpp>
#include <string>

#include "base/types.h"

namespace cherryloft {

class LatencyHistogram {
 public:
  void add(Duration d);
  // "n=… p50=… p90=… max=…" in milliseconds, and begins anew.
  std::string take();

 private:
  double quantile(double q) const;

  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(1, 1, 2))) bins_ =
      boost::histogram::make_histogram(Axis(60, 1.0, 1e6));
  std::size_t count_ = 0;
  Duration most_{0};
};

// What decisions cost since the process began: the same every time in virtual time.
struct ShardCounters {
  std::size_t starts = 0;
  std::size_t machinesExamined = 0;  // machines looked at
  std::size_t quarantined = 0;       // machines given up as faulty
};

// From a task's arrival to the round that placed it, to its commit, and to the report that showed it.
struct StartLatencies {
  LatencyHistogram toPlaced, toCommitted, toShown;
  ShardCounters counts;
  std::size_t rounds = 0, widest = 0, evicted = 0;
};

}  // namespace cherryloft
