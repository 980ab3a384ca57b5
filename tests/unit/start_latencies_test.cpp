// What operators are told of waits and decisions.
#include "scheduler/start_latencies.h"

#include <gtest/gtest.h>

namespace cherryloft {
namespace {

TEST(LatencyHistogram, QuantilesAreWithinABinOfTheWaits) {
  LatencyHistogram histogram;
  for (int wait = 0; wait < 9; ++wait) histogram.add(Duration{100});
  histogram.add(Duration{5'000});
  EXPECT_EQ(histogram.take("start"), "start_n=10 start_p50_ms=125 start_p90_ms=125 start_max_ms=5000");
}

TEST(LatencyHistogram, BeginsAnewOnceItIsTaken) {
  LatencyHistogram histogram;
  histogram.add(Duration{100});
  histogram.take("start");
  EXPECT_EQ(histogram.take("start"), "start_n=0 start_p50_ms=0 start_p90_ms=0 start_max_ms=0");
}

TEST(StartLatencies, AMinuteCountsWhatCameSinceTheLastOne) {
  StartLatencies latencies;
  latencies.counts.starts = 5;
  latencies.rounds = 2;
  EXPECT_EQ(latencies.takeRoundCounters().starts, 5U);
  latencies.counts.starts = 7;
  auto minute = latencies.takeRoundCounters();
  EXPECT_EQ(minute.starts, 2U);
  EXPECT_EQ(minute.rounds, 0U);
}

}  // namespace
}  // namespace cherryloft
