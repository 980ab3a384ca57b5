// An Io in virtual time that records what is called and leaves it to the test when, and how, each call is
// answered.
#pragma once

#include <string>
#include <vector>

#include "unit/clock_runtime.h"

namespace cherryloft {

struct HeldCallsRuntime : ClockRuntime {
  std::vector<HttpRequest> requests;
  std::vector<HttpCallback> open;  // how to answer each of them

  void call(const Address&, HttpRequest request, Duration, HttpCallback done) override {
    requests.push_back(std::move(request));
    open.push_back(std::move(done));
  }
  void answer(std::size_t n, int status, const std::string& body) {
    auto done = open.at(n);
    done({HttpResult::Outcome::Answered, {status, body, false, 0}});
  }
  std::vector<std::string> targets() const {
    std::vector<std::string> out;
    for (const auto& request : requests) out.push_back(request.target);
    return out;
  }
};

}  // namespace cherryloft
