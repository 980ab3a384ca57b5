// KeyValueClient: the operations of the state service, each sent as one or more requests.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "kvstore/request_queue.h"
#include "kvstore/results.h"
#include "wire/kvstore.h"

namespace cherryloft {

/// Encodes operations as requests, queues them and decodes the responses. It keeps no state between calls and
/// never retries; handling failures is up to the caller.
///
/// Runs on the event loop's thread only. The queue and the counters must outlive it, and it must outlive its
/// pending calls. Each operation calls `done` exactly once, at the latest when its deadline expires.
class KeyValueClient {
 public:
  /// Called with each change that a transaction committed.
  using CommitObserver = std::function<void(const wire::KeyChange&)>;

  KeyValueClient(RequestQueue& queue, RequestCounters& counters, CommitObserver committed)
      : queue_(queue), counters_(counters), committed_(std::move(committed)) {}

  /// Executes all operations of the transaction if all its conditions hold, otherwise none. The observer gets
  /// the changes before `done` is called.
  void transact(RequestPriority priority, const wire::Transaction& transaction, Duration deadline,
                std::function<void(TransactionResult)> done);

  /// Reads one key.
  void get(RequestPriority priority, const std::string& key, Duration deadline,
           std::function<void(GetResult)> done);

  /// Reads all keys under the prefix, page by page; each page has its own deadline.
  void list(RequestPriority priority, const std::string& prefix, std::function<void(ListResult)> done);

  /// Reads the changes under the prefix after `since`. If there are none yet, the service waits up to `wait`
  /// for one before it responds without any; `deadline` must be longer than `wait`.
  void watch(const std::string& prefix, Version since, Duration wait, Duration deadline,
             std::function<void(WatchResult)> done);

  /// Requests a new lease, which expires if it is not renewed for `timeToLive`.
  void grantLease(Duration timeToLive, std::function<void(LeaseGrant)> done);

  /// Extends a lease by its time to live.
  void renewLease(LeaseId lease, Duration deadline, std::function<void(LeaseRenewal)> done);

 private:
  // A list operation in progress.
  struct ListCall {
    RequestPriority priority;
    std::string prefix;
    std::function<void(ListResult)> done;
    ListResult result;  // entries of the pages received so far
  };
  void requestPage(const std::shared_ptr<ListCall>& call, const std::string& afterKey);
  void handlePage(const std::shared_ptr<ListCall>& call, const HttpResult& answer);

  void reportCommitted(const std::vector<wire::Write>& writes, Version revision) const;

  RequestQueue& queue_;
  RequestCounters& counters_;
  CommitObserver committed_;
};

}  // namespace cherryloft
