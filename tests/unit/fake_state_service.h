// An empty state service that answers each request after 5 ms with the status set by the test.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "unit/virtual_clock_runtime.h"

namespace cherryloft {

struct FakeStateService : VirtualClockRuntime {
  int leasesGranted = 0;
  int renewals = 0;
  std::vector<std::string> transactions;  // request bodies in order of arrival
  std::function<int()> transactionStatus = [] { return 200; };
  std::function<int()> renewalStatus = [] { return 200; };

  void call(const Address&, HttpRequest request, Duration, HttpCallback done) override {
    HttpResponse response{200, R"({"entries":[],"news":[],"truncated":false,"ledger_rev":1})", false, 0};
    if (request.target.ends_with("/renew")) {
      ++renewals;
      response.status = renewalStatus();
    } else if (request.target == "/holds") {
      response.body = "{\"tenancy\":" + std::to_string(++leasesGranted) + "}";
    } else if (request.target == "/txn") {
      transactions.push_back(request.body);
      response.status = transactionStatus();
      response.body = R"({"ledger_rev":2,"failed":["share/epoch"]})";
    } else if (request.target.find("wait_ms=0") == std::string::npos && request.target.find("/follow") == 0) {
      return;  // a watch without changes stays open
    }
    clock.after(5, [done = std::move(done), response] { done({HttpResult::Outcome::Answered, response}); });
  }
};

}  // namespace cherryloft
