// KeyValueClient: the operations of the state service, each as one request or a few.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kvstore/request_queue.h"
#include "kvstore/results.h"
#include "wire/kvstore.h"

namespace cherryloft {

/// Encodes operations as requests, hands them to the queue and decodes the answers. Keeps no state between
/// calls and retries nothing; what to do about a failure is the caller's decision.
///
/// Runs on the event loop's thread only. The queue and the tally must outlive it, and it must outlive its
/// calls. Each operation ends in exactly one call of `done`, at the latest when its deadline is over.
class KeyValueClient {
 public:
  KeyValueClient(RequestQueue& queue, RequestCounters& tally) : queue_(queue), tally_(tally) {}

  /// Executes all operations of the transaction if all its conditions hold, otherwise none.
  void transact(RequestPriority priority, const wire::Transaction& transaction, Duration deadline,
                std::function<void(TransactionResult)> done);

  /// Reads one key.
  void get(RequestPriority priority, const std::string& key, Duration deadline,
           std::function<void(GetResult)> done);

  /// Reads all keys under the prefix, page by page; each page has a deadline of its own.
  void list(RequestPriority priority, const std::string& prefix, std::function<void(ListResult)> done);

  /// Reads the changes under the prefix after `since`. If there are none yet, the service waits for one for
  /// up to `wait` and then answers with none; `deadline` is to be longer than that.
  void watch(const std::string& prefix, Version since, Duration wait, Duration deadline,
             std::function<void(WatchResult)> done);

  /// Asks for a new lease, which expires when it is not renewed for `timeToLive`.
  void grantLease(Duration timeToLive, std::function<void(LeaseGrant)> done);

  /// Extends a lease by its time to live.
  void renewLease(LeaseId lease, Duration deadline, std::function<void(LeaseRenewal)> done);

 private:
  // A list under way.
  struct ListCall {
    RequestPriority priority;
    std::string prefix;
    std::function<void(ListResult)> done;
    ListResult result;  // the pages so far
  };
  void requestPage(const std::shared_ptr<ListCall>& call, const std::string& afterKey);
  void pageReceived(const std::shared_ptr<ListCall>& call, const HttpResult& answer);

  RequestQueue& queue_;
  RequestCounters& tally_;
};

}  // namespace cherryloft
