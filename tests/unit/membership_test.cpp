// A controller's lease at the state service.
#include <gtest/gtest.h>

#include "cluster/membership.h"
#include "unit/clock_runtime.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

// A state service with nothing in it; each request is answered after 5 ms as the test says.
struct ServiceIo : ClockRuntime {
  int holds = 0, renewals = 0, txns = 0;
  std::function<int()> txnStatus = [] { return 200; };
  std::function<int()> renewStatus = [] { return 200; };
  void call(const Address&, HttpRequest r, Duration, HttpDone done) override {
    HttpResponse out{200, R"({"entries":[],"news":[],"truncated":false,"ledger_rev":1})", false, 0};
    if (r.target.ends_with("/renew")) {
      ++renewals;
      out.status = renewStatus();
    } else if (r.target == "/holds") {
      out.body = "{\"tenancy\":" + std::to_string(++holds) + "}";
    } else if (r.target == "/txn") {
      ++txns;
      out.status = txnStatus();
      out.body = R"({"ledger_rev":2,"failed":["share/epoch"]})";
    } else if (r.target.find("wait_ms=0") == std::string::npos && r.target.find("/follow") == 0) {
      return;
    }
    clock.after(5, [done = std::move(done), out] { done({HttpResult::Outcome::Answered, out}); });
  }
};

struct Held : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsOf(0), {});
  ServiceIo runtime;
  KeyValueStore store{settings, runtime, silentLog(), 1};
  ClusterView view;
  Membership membership{settings,
                        runtime,
                        silentLog(),
                        store,
                        view,
                        {[](const LeaseValidity&) {}, [](const ShardTakeover&) {}, [](ShardId) {},
                         [](bool) {}, [](ShardId, ControllerId) {}}};
  Held() {
    for (const auto& p : {keys::kJobs, keys::kMachines, keys::kShards, keys::kControllers})
      store.watch(p, [](const wire::KeyChange&) {});
  }
  // What the counter gains in 10 s, once four holds are gone.
  int inTenSecondsAfterFourHolds(const int& counter) {
    membership.start();
    runtime.clock.run(10'000);
    EXPECT_EQ(runtime.holds, 5);
    auto before = counter;
    runtime.clock.run(20'000);
    return counter - before;
  }
};

}  // namespace

// The store says now and then that a lease is gone before a renewal does: the next hold is renewed as often.
TEST_F(Held, AHoldIsRenewedOnceAtATime) {
  int refused = 0;
  runtime.txnStatus = [&refused] { return ++refused <= 4 ? 400 : 409; };
  // Four in a time to live of 3 s.
  EXPECT_LE(inTenSecondsAfterFourHolds(runtime.renewals), 14);
}

// Holds go while a join under them is still to come about: there is one join at a time, under the last.
TEST_F(Held, AHoldIsJoinedOnceAtATime) {
  runtime.txnStatus = [] { return 409; };
  int gone = 0;
  runtime.renewStatus = [&gone] { return ++gone <= 4 ? 404 : 200; };
  EXPECT_LE(inTenSecondsAfterFourHolds(runtime.txns), 100);
}
