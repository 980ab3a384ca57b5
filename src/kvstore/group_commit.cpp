#include "kvstore/group_commit.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace cherryloft {
namespace {

constexpr Duration kLookAgain{20};
constexpr Duration kMostWait{2'000};  // for the answer to one transaction

}  // namespace

void GroupCommit::create(wire::Write write, Duration deadline, std::function<void(TxnResult)> done) {
  waiting_.push_back({std::move(write), runtime_.now() + deadline, std::move(done)});
  commitNext();
}

void GroupCommit::commitNext() {
  if (committing_ || waiting_.empty()) return;
  limiter_.refill(runtime_.now());
  // As many as there are changes to spend: a batch that waits for more would be passed by all else.
  auto affordable = static_cast<std::size_t>(std::max(limiter_.changes(), 0.0));
  auto most = std::min<std::size_t>(settings_.txnOps, affordable);
  if (most == 0 || limiter_.paused(runtime_.now())) {
    refuseExpired();
    return commitLater();
  }
  auto batch = takeBatch(most);
  committing_ = true;
  auto wait = std::clamp(batch->giveUp - runtime_.now(), Duration{1}, kMostWait);
  client_.txn(RequestPriority::Control, batch->transaction, wait,
              [this, batch](const TxnResult& result) { committed(*batch, result); });
}

std::shared_ptr<GroupCommit::Batch> GroupCommit::takeBatch(std::size_t most) {
  auto batch = std::make_shared<Batch>();
  auto& transaction = batch->transaction;
  batch->giveUp = waiting_.front().giveUp;
  std::size_t weight = 0;
  std::deque<Creation> later;
  for (auto& creation : std::exchange(waiting_, {})) {
    const auto& write = creation.write;
    weight += wire::weightOf(write);
    bool full = batch->creations.size() >= most || (!batch->creations.empty() && weight > wire::kMostWeight);
    bool twice = transaction.conditions.count(write.key) > 0;  // a key may stand in a transaction once
    if (full || twice) {
      later.push_back(std::move(creation));
      continue;
    }
    batch->giveUp = std::max(batch->giveUp, creation.giveUp);
    transaction.conditions[write.key] = Version{0};
    transaction.operations.push_back(write);
    batch->creations.push_back(std::move(creation));
  }
  waiting_ = std::move(later);
  return batch;
}

// In a conflict, those whose keys were free go into the next transaction, before all others.
void GroupCommit::committed(Batch& batch, const TxnResult& result) {
  committing_ = false;
  bool conflict = result.outcome == TxnResult::Outcome::Conflict;
  std::set<std::string> taken(result.failed.begin(), result.failed.end());
  std::vector<Creation> again;
  for (auto& creation : batch.creations) {
    bool retry = conflict && taken.count(creation.write.key) == 0 && creation.giveUp > runtime_.now();
    if (retry)
      again.push_back(std::move(creation));
    else
      creation.done(result);
  }
  waiting_.insert(waiting_.begin(), std::make_move_iterator(again.begin()),
                  std::make_move_iterator(again.end()));
  commitNext();
}

void GroupCommit::refuseExpired() {
  while (!waiting_.empty() && waiting_.front().giveUp <= runtime_.now()) {
    auto creation = std::move(waiting_.front());
    waiting_.pop_front();
    ++tally_.outOfTime;
    creation.done({TxnResult::Outcome::Refused, {}, {}});
  }
}

void GroupCommit::commitLater() {
  if (std::exchange(commitPending_, true)) return;
  runtime_.after(kLookAgain, [this] {
    commitPending_ = false;
    commitNext();
  });
}

}  // namespace cherryloft
