// The result that each response of the state service, or its absence, is mapped to.
#include "kvstore/key_value_client.h"

#include <gtest/gtest.h>

#include "unit/request_queue_fixture.h"

using namespace cherryloft;

namespace {

struct KeyValueClientTest : RequestQueueFixture {
  KeyValueClient client{queue, counters, [](const wire::KeyChange&) {}};

  TransactionResult transact(const wire::Transaction& transaction, const HttpResult& answer) {
    TransactionResult received;
    client.transact(RequestPriority::Control, transaction, Duration{1'000},
                    [&](const TransactionResult& result) { received = result; });
    runtime.open.back()(answer);
    return received;
  }
  TransactionResult transactAnswered(int status, const std::string& body) {
    return transact({{}, {{"job/a", "{}", {}}}}, answered(status, body));
  }
  static HttpResult answered(int status, const std::string& body) {
    return {HttpResult::Outcome::Answered, {status, body, false, 0}};
  }
};

using Outcome = TransactionResult::Outcome;

}  // namespace

TEST_F(KeyValueClientTest, CommittedTransactionReturnsItsRevision) {
  auto result = transactAnswered(200, R"({"ledger_rev":7})");
  EXPECT_EQ(result.outcome, Outcome::Committed);
  EXPECT_EQ(result.revision, Version{7});
}

TEST_F(KeyValueClientTest, UnreadableAnswerToATransactionLeavesItsOutcomeUnknown) {
  EXPECT_EQ(transactAnswered(200, "{").outcome, Outcome::Unknown);
  EXPECT_EQ(transactAnswered(500, "{}").outcome, Outcome::Unknown);
}

TEST_F(KeyValueClientTest, ConflictNamesItsKeys) {
  auto result = transactAnswered(409, R"({"failed":["job/a"]})");
  EXPECT_EQ(result.outcome, Outcome::Conflict);
  EXPECT_EQ(result.conflictingKeys, (std::vector<std::string>{"job/a"}));
}

TEST_F(KeyValueClientTest, ThrottledOrUnavailableServiceRefuses) {
  EXPECT_EQ(transactAnswered(429, "{}").outcome, Outcome::Refused);
  // Wait until the sending pause after the 429 is over.
  runtime.clock.run(runtime.clock.now() + 1'000);
  EXPECT_EQ(transactAnswered(503, "{}").outcome, Outcome::Refused);
}

TEST_F(KeyValueClientTest, BadRequestMeansTooLargeWithoutALease) {
  EXPECT_EQ(transactAnswered(400, "{}").outcome, Outcome::TooLarge);
}

TEST_F(KeyValueClientTest, BadRequestMeansAnExpiredLeaseWithOne) {
  wire::Transaction transaction{{}, {{"node/a", "{}", LeaseId{3}}}};
  EXPECT_EQ(transact(transaction, answered(400, "{}")).outcome, Outcome::LeaseExpired);
}

TEST_F(KeyValueClientTest, UnsentTransactionIsRefusedAndAnUnansweredOneUnknown) {
  wire::Transaction transaction{{}, {{"job/a", "{}", {}}}};
  EXPECT_EQ(transact(transaction, {HttpResult::Outcome::NotSent, {}}).outcome, Outcome::Refused);
  EXPECT_EQ(transact(transaction, {HttpResult::Outcome::Unknown, {}}).outcome, Outcome::Unknown);
}

TEST_F(KeyValueClientTest, ListJoinsPagesUnderTheRevisionOfTheFirst) {
  ListResult listed;
  client.list(RequestPriority::Control, "job/", [&](const ListResult& result) { listed = result; });
  runtime.answer(0, 200,
                 R"({"entries":[{"path":"job/a","stamp":1,"value":{}}],"truncated":true,"ledger_rev":4})");
  runtime.answer(1, 200, R"({"entries":[{"path":"job/b","stamp":5,"value":{}}],"ledger_rev":6})");
  EXPECT_EQ(runtime.targets().back(), "/keys?prefix=job/&limit=1000&since=job/a");
  ASSERT_TRUE(listed.complete());
  EXPECT_EQ(listed.entries.size(), 2U);
  EXPECT_EQ(listed.revision, Version{4});
}

TEST_F(KeyValueClientTest, ListFailsWithItsFirstFailedPage) {
  ListResult listed;
  listed.outcome = ListResult::Outcome::Complete;
  client.list(RequestPriority::Control, "job/", [&](const ListResult& result) { listed = result; });
  runtime.answer(0, 503, "{}");
  EXPECT_FALSE(listed.complete());
}

TEST_F(KeyValueClientTest, ExpiredLeaseIsDistinguishedFromNoAnswer) {
  std::vector<LeaseRenewal> renewals;
  for (int status : {200, 404, 500}) {
    client.renewLease(LeaseId{3}, Duration{500}, [&](LeaseRenewal renewal) { renewals.push_back(renewal); });
    runtime.open.back()(answered(status, "{}"));
  }
  EXPECT_EQ(renewals, (std::vector<LeaseRenewal>{LeaseRenewal::Renewed, LeaseRenewal::Expired,
                                                 LeaseRenewal::NoAnswer}));
}

TEST_F(KeyValueClientTest, GrantWithoutALeaseIdFails) {
  LeaseGrant grant;
  client.grantLease(Duration{4'000}, [&](const LeaseGrant& result) { grant = result; });
  EXPECT_EQ(runtime.requests.back().body, R"({"ttl_ms":4000})");
  runtime.answer(0, 200, "{}");
  EXPECT_FALSE(grant.granted());
}
