// Tests the latency histograms and activity counters reported to operators.
#include "scheduler/start_latencies.h"

#include <gtest/gtest.h>

namespace cherryloft {
namespace {

TEST(LatencyHistogram, QuantilesAreWithinOneBinOfTheLatencies) {
  LatencyHistogram histogram;
  for (int count = 0; count < 9; ++count) histogram.add(Duration{100});
  histogram.add(Duration{5'000});
  EXPECT_EQ(histogram.summarizeAndReset("start"),
            "start_n=10 start_p50_ms=125 start_p90_ms=125 start_max_ms=5000");
}

TEST(LatencyHistogram, IsEmptyAfterASummary) {
  LatencyHistogram histogram;
  histogram.add(Duration{100});
  histogram.summarizeAndReset("start");
  EXPECT_EQ(histogram.summarizeAndReset("start"), "start_n=0 start_p50_ms=0 start_p90_ms=0 start_max_ms=0");
}

TEST(StartLatencies, RoundCountersCoverTheTimeSinceTheLastCall) {
  StartLatencies latencies;
  latencies.counts.starts = 5;
  latencies.rounds = 2;
  EXPECT_EQ(latencies.takeRoundCounters().starts, 5U);
  latencies.counts.starts = 7;
  auto activity = latencies.takeRoundCounters();
  EXPECT_EQ(activity.starts, 2U);
  EXPECT_EQ(activity.rounds, 0U);
}

}  // namespace
}  // namespace cherryloft
