// Runtime on a virtual clock that records each call and leaves it pending until the test answers it.
#pragma once

#include <string>
#include <vector>

#include "unit/virtual_clock_runtime.h"

namespace cherryloft {

struct PendingCallsRuntime : VirtualClockRuntime {
  std::vector<HttpRequest> requests;
  std::vector<HttpCallback> open;  // their callbacks, in the same order

  void call(const Address&, HttpRequest request, Duration, HttpCallback done) override {
    requests.push_back(std::move(request));
    open.push_back(std::move(done));
  }
  void answer(std::size_t index, int status, const std::string& body) {
    auto done = open.at(index);
    done({HttpResult::Outcome::Answered, {status, body, false, 0}});
  }
  std::vector<std::string> targets() const {
    std::vector<std::string> out;
    for (const auto& request : requests) out.push_back(request.target);
    return out;
  }
};

}  // namespace cherryloft
