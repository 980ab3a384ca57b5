#include "scheduler/start_latencies.h"

#include <algorithm>

namespace cherryloft {

void LatencyHistogram::add(Duration d) {
  bins_(std::max<double>(1.0, static_cast<double>(d.count())));
  ++count_;
  most_ = std::max(most_, d);
}

// The upper edge of the bin in which the quantile lies.
double LatencyHistogram::quantile(double q) const {
  double sum = 0;
  for (const auto& bin : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
    sum += *bin;
    if (sum >= q * static_cast<double>(count_))
      return std::min(bin.bin().upper(), static_cast<double>(most_.count()));
  }
  return static_cast<double>(most_.count());
}

std::string LatencyHistogram::take() {
  auto whole = [](double ms) { return std::to_string(static_cast<long>(ms)); };
  auto line = "n=" + std::to_string(count_) + " p50=" + whole(quantile(0.5)) +
              " p90=" + whole(quantile(0.9)) + " max=" + std::to_string(most_.count());
  bins_.reset();
  count_ = 0;
  most_ = Duration{0};
  return line;
}

}  // namespace cherryloft
