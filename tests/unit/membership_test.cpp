// A controller's hold at the state service.
#include <gtest/gtest.h>

#include "actors/membership.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

// A state service with nothing in it; each request is answered after 5 ms as the test says.
struct ServiceIo : Io {
  world::Clock clock{1};
  int holds = 0, renewals = 0, txns = 0;
  std::function<int()> txnStatus = [] { return 200; };
  std::function<int()> renewStatus = [] { return 200; };
  Time now() const override { return Time{Duration{clock.now() + 5000}}; }
  WallTime wall() const override { return {clock.now()}; }
  void after(Duration d, std::function<void()> f) override { clock.after(d.count(), std::move(f)); }
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
  void mesh(std::uint32_t, const mesh::Frame&) override {}
  void remesh(std::uint32_t) override {}
};

struct Held : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsOf(0), {});
  ServiceIo io;
  StateStore store{settings, io, silentLog(), 1};
  Directory dir;
  Membership membership{
      settings,
      io,
      silentLog(),
      store,
      dir,
      {[](const Standing&) {}, [](const Taken&) {}, [](ShareNo) {}, [](bool) {}, [](ShareNo, NodeId) {}}};
  Held() {
    for (const auto& p : {keys::kJobs, keys::kHosts, keys::kShares, keys::kNodes})
      store.mirror(p, [](const wire::KeyChange&) {});
  }
};

}  // namespace

// The store says now and then that a hold is gone before a renewal does: the next hold is renewed as often.
TEST_F(Held, AHoldIsRenewedOnceAtATime) {
  int refused = 0;
  io.txnStatus = [&refused] { return ++refused <= 4 ? 400 : 409; };
  membership.start();
  io.clock.run(10'000);
  EXPECT_EQ(io.holds, 5);
  auto before = io.renewals;
  io.clock.run(20'000);
  // Four in a time to live of 3 s.
  EXPECT_LE(io.renewals - before, 14);
}

// Holds go while a join under them is still to come about: there is one join at a time, under the last.
TEST_F(Held, AHoldIsJoinedOnceAtATime) {
  io.txnStatus = [] { return 409; };
  int gone = 0;
  io.renewStatus = [&gone] { return ++gone <= 4 ? 404 : 200; };
  membership.start();
  io.clock.run(10'000);
  EXPECT_EQ(io.holds, 5);
  auto before = io.txns;
  io.clock.run(20'000);
  EXPECT_LE(io.txns - before, 100);
}
