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
