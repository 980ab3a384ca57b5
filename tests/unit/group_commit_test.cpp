// Batching of key creations into transactions.
#include "kvstore/group_commit.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "unit/request_queue_fixture.h"

using namespace cherryloft;

namespace {

using Outcome = TransactionResult::Outcome;

struct GroupCommitTest : RequestQueueFixture {
  KeyValueClient client{queue, counters, [](const wire::KeyChange&) {}};
  GroupCommit commits{settings, runtime, client, limiter, counters};
  std::map<std::string, std::vector<Outcome>> results;

  void create(const std::string& key, Duration deadline = Duration{10'000}) {
    commits.create({key, "{}", {}}, deadline,
                   [this, key](const TransactionResult& result) { results[key].push_back(result.outcome); });
  }
  bool requestNames(std::size_t request, const std::string& key) const {
    return runtime.requests.at(request).body.find('"' + key + '"') != std::string::npos;
  }
};

const std::string kCommitted = R"({"ledger_rev":7})";

}  // namespace

TEST_F(GroupCommitTest, CreationsDuringATransactionShareTheNext) {
  for (const auto* key : {"job/a", "job/b", "job/c"}) create(key);
  ASSERT_EQ(runtime.requests.size(), 1U);
  EXPECT_TRUE(requestNames(0, "job/a"));
  EXPECT_EQ(commits.waiting(), 2U);
  runtime.answer(0, 200, kCommitted);
  ASSERT_EQ(runtime.requests.size(), 2U);
  EXPECT_TRUE(requestNames(1, "job/b") && requestNames(1, "job/c"));
  runtime.answer(1, 200, kCommitted);
  for (const auto* key : {"job/a", "job/b", "job/c"})
    EXPECT_EQ(results[key], (std::vector<Outcome>{Outcome::Committed}));
}

TEST_F(GroupCommitTest, KeyIsWrittenOnceInATransaction) {
  for (const auto* key : {"job/a", "job/b", "job/b"}) create(key);
  runtime.answer(0, 200, kCommitted);
  ASSERT_EQ(runtime.requests.size(), 2U);
  EXPECT_EQ(commits.waiting(), 1U);
}

TEST_F(GroupCommitTest, OnlyExistingKeysAreInConflict) {
  for (const auto* key : {"job/a", "job/b", "job/c"}) create(key);
  runtime.answer(0, 200, kCommitted);
  runtime.answer(1, 409, R"({"failed":["job/b"]})");
  EXPECT_EQ(results["job/b"], (std::vector<Outcome>{Outcome::Conflict}));
  EXPECT_TRUE(results["job/c"].empty());
  ASSERT_EQ(runtime.requests.size(), 3U);
  EXPECT_TRUE(requestNames(2, "job/c"));
}

TEST_F(GroupCommitTest, CreationNotSentBeforeItsDeadlineIsRefused) {
  limiter.pauseUntil(runtime.now() + Duration{1'000});
  create("job/a", Duration{100});
  runtime.clock.run(runtime.clock.now() + 500);
  EXPECT_EQ(results["job/a"], (std::vector<Outcome>{Outcome::Refused}));
  EXPECT_EQ(commits.waiting(), 0U);
  EXPECT_TRUE(runtime.requests.empty());
}
