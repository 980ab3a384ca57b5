// GroupCommit: creates keys that must not exist yet, many in one transaction.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "kvstore/key_value_client.h"

namespace cherryloft {

// One transaction is on its way at a time; what comes meanwhile goes into the next.
class GroupCommit {
 public:
  GroupCommit(const Settings& settings, Runtime& runtime, KeyValueClient& client, RateLimiter& limiter,
              RequestTally& tally)
      : settings_(settings), runtime_(runtime), client_(client), limiter_(limiter), tally_(tally) {}
  // Always ends in one call of done. A conflict of another key in the transaction does not count.
  void create(wire::Write write, Duration deadline, std::function<void(TxnResult)> done);
  // How many have not had their turn.
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Creation {
    wire::Write write;
    Time giveUp;
    std::function<void(TxnResult)> done;
  };
  struct Batch {
    std::vector<Creation> creations;
    wire::Transaction transaction;
    Time giveUp;  // of the one that can wait longest
  };
  void commitNext();
  std::shared_ptr<Batch> takeBatch(std::size_t most);
  void committed(Batch& batch, const TxnResult& result);
  void refuseExpired();
  void commitLater();

  const Settings& settings_;
  Runtime& runtime_;
  KeyValueClient& client_;
  RateLimiter& limiter_;
  RequestTally& tally_;
  std::deque<Creation> waiting_;
  bool committing_ = false;
  bool commitPending_ = false;
};

}  // namespace cherryloft
