// StoreClient: the operations of the state service, each as one request or a few.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kvstore/request_queue.h"
#include "wire/kvstore.h"

namespace cherryloft {

struct TxnResult {
  enum class Outcome : std::uint8_t {
    Ok,
    Conflict,      // not executed, failed names the keys
    LeaseExpired,  // not executed, the lease is gone
    Refused,       // not executed, may be sent again
    Rejected,      // not executed, and never will be as it is: beyond the limits of the service
    Unknown,       // may have been executed, or may be yet
  };
  Outcome outcome = Outcome::Unknown;
  Version revision;
  std::vector<std::string> failed;
  bool ok() const { return outcome == Outcome::Ok; }
};

struct ListResult {
  bool ok = false;
  std::vector<wire::KeyChange> entries;
  Version revision;  // of the first page
};

struct GetResult {
  enum class Outcome : std::uint8_t { Found, Absent, Failed };
  Outcome outcome = Outcome::Failed;
  wire::KeyChange entry;
};

enum class LeaseRenewal : std::uint8_t { Good, Gone, NoAnswer };

struct FollowResult {
  enum class Outcome : std::uint8_t {
    News,
    TooOld,  // the service keeps no changes that old any more
    Failed,
  };
  Outcome outcome = Outcome::Failed;
  wire::KeyPage news;
};

class KeyValueClient {
 public:
  KeyValueClient(RequestQueue& queue, RequestTally& tally) : queue_(queue), tally_(tally) {}
  void txn(RequestPriority priority, const wire::Transaction& transaction, Duration deadline,
           std::function<void(TxnResult)> done);
  void get(RequestPriority priority, const std::string& key, Duration deadline,
           std::function<void(GetResult)> done);
  void list(RequestPriority priority, const std::string& prefix, std::function<void(ListResult)> done);
  // The changes under the prefix after that revision; waits so long for one if there are none yet.
  void follow(const std::string& prefix, Version since, Duration wait, Duration deadline,
              std::function<void(FollowResult)> done);
  void grantLease(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done);
  void renewLease(std::uint64_t lease, Duration deadline, std::function<void(LeaseRenewal)> done);

 private:
  void listFrom(RequestPriority priority, const std::string& prefix, const std::string& since,
                std::shared_ptr<ListResult> pages, std::function<void(ListResult)> done);

  RequestQueue& queue_;
  RequestTally& tally_;
};

}  // namespace cherryloft
