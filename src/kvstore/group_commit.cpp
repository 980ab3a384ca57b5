#include "kvstore/group_commit.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace cherryloft {
namespace {

// Until the rate limiter is asked again when it hasTokensFor no write.
constexpr Duration kPollInterval{20};
// For the answer to one transaction, however long its creations may wait: the next ones wait for it.
constexpr Duration kMaxTransactionDeadline{2'000};

}  // namespace

void GroupCommit::create(wire::Write write, Duration deadline, std::function<void(TransactionResult)> done) {
  waiting_.push_back({std::move(write), runtime_.now() + deadline, std::move(done)});
  commitNext();
}

void GroupCommit::commitNext() {
  if (commitInFlight_ || waiting_.empty()) return;
  limiter_.refill(runtime_.now());
  // No more than can be afforded at once: all other requests would overtake a batch that waits for more.
  auto affordable = static_cast<std::size_t>(std::max(limiter_.writes(), 0.0));
  auto maxCreations = std::min<std::size_t>(settings_.txnOps, affordable);
  if (maxCreations == 0 || limiter_.paused(runtime_.now())) {
    refuseExpired();
    return commitLater();
  }
  auto batch = takeBatch(maxCreations);
  commitInFlight_ = true;
  auto deadline = std::clamp(batch->expiresAt - runtime_.now(), Duration{1}, kMaxTransactionDeadline);
  client_.transact(RequestPriority::Control, batch->transaction, deadline,
                   [this, batch](const TransactionResult& result) { finish(*batch, result); });
}

std::shared_ptr<GroupCommit::Batch> GroupCommit::takeBatch(std::size_t maxCreations) {
  auto batch = std::make_shared<Batch>();
  auto& transaction = batch->transaction;
  batch->expiresAt = waiting_.front().expiresAt;
  std::size_t bytes = 0;
  std::deque<Creation> remaining;
  for (auto& creation : std::exchange(waiting_, {})) {
    const auto& write = creation.write;
    bytes += wire::estimatedBytes(write);
    bool full = batch->creations.size() >= maxCreations ||
                (!batch->creations.empty() && bytes > wire::kMaxTransactionBytes);
    // The service takes a key only once in a transaction.
    bool duplicate = transaction.conditions.count(write.key) > 0;
    if (full || duplicate) {
      remaining.push_back(std::move(creation));
      continue;
    }
    batch->expiresAt = std::max(batch->expiresAt, creation.expiresAt);
    transaction.conditions[write.key] = Version{0};
    transaction.operations.push_back(write);
    batch->creations.push_back(std::move(creation));
  }
  waiting_ = std::move(remaining);
  return batch;
}

// After a conflict, the creations whose keys are free go into the next transaction, before all others.
void GroupCommit::finish(Batch& batch, const TransactionResult& result) {
  commitInFlight_ = false;
  bool conflict = result.outcome == TransactionResult::Outcome::Conflict;
  std::set<std::string> takenKeys(result.conflictingKeys.begin(), result.conflictingKeys.end());
  std::vector<Creation> retries;
  for (auto& creation : batch.creations) {
    bool retry = conflict && takenKeys.count(creation.write.key) == 0 && creation.expiresAt > runtime_.now();
    if (retry)
      retries.push_back(std::move(creation));
    else
      creation.done(result);
  }
  waiting_.insert(waiting_.begin(), std::make_move_iterator(retries.begin()),
                  std::make_move_iterator(retries.end()));
  commitNext();
}

void GroupCommit::refuseExpired() {
  while (!waiting_.empty() && waiting_.front().expiresAt <= runtime_.now()) {
    auto creation = std::move(waiting_.front());
    waiting_.pop_front();
    ++tally_.expired;
    creation.done({TransactionResult::Outcome::Refused, {}, {}});
  }
}

void GroupCommit::commitLater() {
  if (commitScheduled_) return;
  commitScheduled_ = true;
  runtime_.after(kPollInterval, [this] {
    commitScheduled_ = false;
    commitNext();
  });
}

}  // namespace cherryloft
