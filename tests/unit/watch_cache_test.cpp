// The contents of a watch cache when responses arrive late and out of order.
#include <gtest/gtest.h>

#include "kvstore/key_value_store.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

// Keeps every request until the test answers it. The clock does not advance.
struct ManualAnswerRuntime : Runtime {
  struct Call {
    std::string target;
    HttpCallback done;
  };
  std::vector<Call> calls;
  Time now() const override { return Time{Duration{5000}}; }
  WallTime wall() const override { return {1}; }
  void after(Duration, std::function<void()>) override {}
  void call(const Address&, HttpRequest request, Duration, HttpCallback done) override {
    calls.push_back({request.target, std::move(done)});
  }
  void mesh(std::uint32_t, const mesh::Frame&) override {}
  void resetPeerConnection(std::uint32_t) override {}
  void answer(std::size_t n, const std::string& body) {
    auto done = calls.at(n).done;
    done({HttpResult::Outcome::Answered, {200, body, false, 0}});
  }
};

struct WatchCacheTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  ManualAnswerRuntime runtime;
  KeyValueStore store{settings, runtime, silentLog(), 1};
  std::set<std::string> knownKeys;

  // Calls 0 and 1 are the first list and the first watch.
  void begin(const std::string& entries) {
    store.watch("node/", [this](const wire::KeyChange& change) {
      if (change.value)
        knownKeys.insert(change.key);
      else
        knownKeys.erase(change.key);
    });
    runtime.answer(0, R"({"entries":[)" + entries + R"(],"truncated":false,"ledger_rev":4})");
  }
  // Sends a transaction with one write; `answered` is called once it is known to be committed.
  void commit(const wire::Write& write, std::function<void()> answered) {
    store.transact(RequestPriority::Commit, {{}, {write}}, Duration{1000},
                   [answered = std::move(answered)](const TransactionResult& result) {
                     EXPECT_TRUE(result.committed());
                     answered();
                   });
  }
};

}  // namespace

TEST_F(WatchCacheTest, LateAnswerDoesNotRestoreADeletedKey) {
  begin("");
  store.waitUntilCurrent("node/", [](CatchUpResult) {});
  ASSERT_EQ(runtime.calls.size(), 3U);
  runtime.answer(
      2, R"({"ledger_rev":7,"news":[{"write":"node/x","value":{},"stamp":5},{"drop":"node/x","stamp":7}]})");
  EXPECT_TRUE(knownKeys.empty());
  runtime.answer(1, R"({"ledger_rev":5,"news":[{"write":"node/x","value":{},"stamp":5}]})");
  EXPECT_TRUE(knownKeys.empty());
}

TEST_F(WatchCacheTest, OutdatedListDoesNotDeleteANewerKey) {
  begin("");
  store.waitUntilCurrent("node/", [](CatchUpResult) {});
  // The watch's revision was compacted, so the cache lists all keys again. The list has the revision of its
  // first page.
  auto tooOld = runtime.calls.at(1).done;
  tooOld({HttpResult::Outcome::Answered, {410, "{}", false, 0}});
  ASSERT_EQ(runtime.calls.size(), 4U);
  runtime.answer(2, R"({"ledger_rev":9,"news":[{"write":"node/x","value":{},"stamp":9}]})");
  EXPECT_EQ(knownKeys.size(), 1U);
  runtime.answer(3, R"({"entries":[],"truncated":false,"ledger_rev":8})");
  EXPECT_EQ(knownKeys.size(), 1U);
}

// An own commit, answered before the watch reports it, is applied with its answer (read-your-writes).
TEST_F(WatchCacheTest, OwnCommitIsAppliedBeforeItsCallerLearnsOfIt) {
  begin("");
  bool seenByCaller = false;
  commit({"node/x", "{}", {}}, [&] { seenByCaller = knownKeys.count("node/x") > 0; });
  runtime.answer(2, R"({"ledger_rev":7})");
  EXPECT_TRUE(seenByCaller);
}

TEST_F(WatchCacheTest, OlderChangesDoNotUndoAnOwnDeletion) {
  begin(R"({"path":"node/x","value":{},"stamp":3})");
  commit({"node/x", std::nullopt, {}}, [] {});
  runtime.answer(2, R"({"ledger_rev":7})");
  EXPECT_TRUE(knownKeys.empty());
  runtime.answer(1, R"({"ledger_rev":6,"news":[{"write":"node/x","value":{},"stamp":6}]})");
  EXPECT_TRUE(knownKeys.empty());
  // Another controller creates the key anew.
  runtime.answer(3, R"({"ledger_rev":9,"news":[{"drop":"node/x","stamp":7},)"
                    R"({"write":"node/x","value":{},"stamp":9}]})");
  EXPECT_EQ(knownKeys.size(), 1U);
}

TEST_F(WatchCacheTest, ListOlderThanAnOwnCommitDoesNotUndoIt) {
  begin(R"({"path":"node/y","value":{},"stamp":3})");
  auto tooOld = runtime.calls.at(1).done;
  tooOld({HttpResult::Outcome::Answered, {410, "{}", false, 0}});
  commit({"node/x", "{}", {}}, [] {});
  commit({"node/y", std::nullopt, {}}, [] {});
  runtime.answer(3, R"({"ledger_rev":9})");
  runtime.answer(4, R"({"ledger_rev":10})");
  runtime.answer(2,
                 R"({"entries":[{"path":"node/y","value":{},"stamp":3}],"truncated":false,"ledger_rev":8})");
  EXPECT_EQ(knownKeys, std::set<std::string>{"node/x"});
}

TEST_F(WatchCacheTest, AnswerToACommitThatTheWatchOvertookChangesNothing) {
  begin("");
  commit({"node/x", "{}", {}}, [] {});
  runtime.answer(
      1, R"({"ledger_rev":8,"news":[{"write":"node/x","value":{},"stamp":7},{"drop":"node/x","stamp":8}]})");
  runtime.answer(2, R"({"ledger_rev":7})");
  EXPECT_TRUE(knownKeys.empty());
}
