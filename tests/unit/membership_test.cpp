// A controller's lease at the state service.
#include "cluster/membership.h"

#include <gtest/gtest.h>

#include "unit/fake_state_service.h"
#include "world/world.h"

namespace cherryloft {
namespace {

struct MembershipTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  FakeStateService service;
  KeyValueStore store{settings, service, silentLog(), 1};
  ClusterView view;
  Membership membership{settings,
                        service,
                        silentLog(),
                        store,
                        view,
                        {[](const LeaseValidity&) {}, [](const ShardTakeover&) {}, [](ShardId) {},
                         [](bool) {}, [](ShardId, const ControllerId&) {}}};

  MembershipTest() {
    for (const auto& prefix : {keys::kJobs, keys::kMachines, keys::kShards, keys::kControllers})
      store.watch(prefix, [](const wire::KeyChange&) {});
  }
  // What the count of requests gains in 10 s, once four leases have expired.
  int requestsInTenSecondsAfterFourLeases(const std::function<int()>& count) {
    membership.start();
    service.clock.run(10'000);
    EXPECT_EQ(service.leasesGranted, 5);
    auto before = count();
    service.clock.run(20'000);
    return count() - before;
  }
};

// The store says now and then that a lease is gone before a renewal does: the next lease is renewed as often.
TEST_F(MembershipTest, ALeaseIsRenewedOnceAtATime) {
  int refused = 0;
  service.transactionStatus = [&refused] { return ++refused <= 4 ? 400 : 409; };
  // Four in a time to live of 3 s.
  EXPECT_LE(requestsInTenSecondsAfterFourLeases([this] { return service.renewals; }), 14);
}

// Leases expire while a join under them is still to come about: there is one join at a time, under the last.
TEST_F(MembershipTest, ALeaseIsJoinedOnceAtATime) {
  service.transactionStatus = [] { return 409; };
  int gone = 0;
  service.renewalStatus = [&gone] { return ++gone <= 4 ? 404 : 200; };
  auto transactions = [this] { return static_cast<int>(service.transactions.size()); };
  EXPECT_LE(requestsInTenSecondsAfterFourLeases(transactions), 100);
}

}  // namespace
}  // namespace cherryloft
