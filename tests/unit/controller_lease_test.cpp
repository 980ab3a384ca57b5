// How long a controller may act while its lease is granted, joined, renewed and lost.
#include "cluster/controller_lease.h"

#include "unit/joined_controller_fixture.h"

namespace cherryloft {
namespace {

struct ControllerLeaseTest : JoinedControllerTest {};

TEST_F(ControllerLeaseTest, LeaseWithoutJoinOwnsNothing) {
  ControllerLease unjoined{
      settings,    service,
      silentLog(), store,
      view,        {[](const LeaseValidity&) {}, [] { return std::map<std::string, Version>{}; }, [] {}}};
  service.transactionStatus = [] { return 409; };
  unjoined.start();
  runFor(Duration{100});
  EXPECT_FALSE(unjoined.joined());
  EXPECT_FALSE(unjoined.mayOwn(service.now()));
  EXPECT_TRUE(unjoined.validity().answers(service.now()));
}

TEST_F(ControllerLeaseTest, WithoutRenewalsOwnsForLessThanTheTtlAndAnswersForTheGraceAfterIt) {
  service.renewalStatus = [] { return 503; };
  runFor(Duration{20});
  auto validity = lease.validity();
  EXPECT_LT(validity.ownsUntil, service.now() + settings.leaseTtl());
  EXPECT_EQ(validity.answersUntil, validity.ownsUntil + settings.grace());
  runFor(settings.leaseTtl());
  EXPECT_FALSE(lease.mayOwn(service.now()));
  EXPECT_TRUE(lease.joined());
}

TEST_F(ControllerLeaseTest, ExpiredLeaseEndsOwnershipAtOnce) {
  service.renewalStatus = [] { return 404; };
  service.transactionStatus = [] { return 409; };
  runFor(settings.leaseTtl() / 2);
  EXPECT_FALSE(lease.joined());
  EXPECT_FALSE(reportedValidity.owns(service.now()));
  EXPECT_GT(service.leasesGranted, 1);
}

}  // namespace
}  // namespace cherryloft
