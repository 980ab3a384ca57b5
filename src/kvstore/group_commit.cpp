#include "kvstore/group_commit.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace cherryloft {
namespace {

// Interval at which the rate limiter is checked again when it has no write tokens.
constexpr Duration kRetryInterval{20};
// Upper bound for the deadline of one transaction, however long its creations may wait, as the next batch
// waits for its result.
constexpr Duration kMaxTransactionDeadline{2'000};

}  // namespace

void GroupCommit::create(wire::Write write, Duration deadline, std::function<void(TransactionResult)> done) {
  waiting_.push_back({std::move(write), runtime_.now() + deadline, std::move(done)});
  commitNext();
}

void GroupCommit::commitNext() {
  if (commitInFlight_ || waiting_.empty()) return;
  limiter_.refill(runtime_.now());
  // No more than the tokens available now: a batch waiting for more tokens would be overtaken by all other
  // requests.
  auto affordable = static_cast<std::size_t>(std::max(limiter_.writeTokens(), 0.0));
  auto maxCreations = std::min<std::size_t>(settings_.txnOps, affordable);
  if (maxCreations == 0 || limiter_.paused(runtime_.now())) {
    refuseExpired();
    return scheduleCommit();
  }
  auto batch = takeBatch(maxCreations);
  commitInFlight_ = true;
  auto deadline = std::clamp(batch->expiresAt - runtime_.now(), Duration{1}, kMaxTransactionDeadline);
  client_.transact(RequestPriority::Control, batch->transaction, deadline,
                   [this, batch](const TransactionResult& result) { completeBatch(*batch, result); });
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
    // The service accepts each key only once in a transaction.
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

// After a conflict, the creations whose keys did not conflict are queued first for the next transaction.
void GroupCommit::completeBatch(Batch& batch, const TransactionResult& result) {
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
    ++counters_.expired;
    creation.done({TransactionResult::Outcome::Refused, {}, {}});
  }
}

void GroupCommit::scheduleCommit() {
  if (commitScheduled_) return;
  commitScheduled_ = true;
  runtime_.after(kRetryInterval, [this] {
    commitScheduled_ = false;
    commitNext();
  });
}

}  // namespace cherryloft
