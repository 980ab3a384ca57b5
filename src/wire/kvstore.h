// The state service's protocol: its requests and answers, without the records that are stored there
// (wire/records.h). Names on the wire are the service's own: a revision is "ledger_rev", a version "stamp", a
// lease "tenancy".
//
// Parsers return nothing for a body that can't be read, as if there had been no answer.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft::wire {

/// A key as it stands, or as it was changed.
struct KeyChange {
  std::string key;
  std::optional<std::string> value;  // JSON text; nothing: the key was deleted
  Version version;                   // the revision of the change that gave it this value
};

/// A key to be written or deleted.
struct Write {
  std::string key;
  std::optional<std::string> value;  // JSON text; nothing: delete the key
  std::optional<LeaseId> lease;      // the key is deleted when this lease expires
};

/// A compare-and-swap transaction: all operations are executed if all conditions hold, otherwise none.
struct Transaction {
  std::map<std::string, Version> conditions;  // the version that each key must have; 0: no such key
  std::vector<Write> operations;              // each key once
};

/// The body of a transaction request.
[[nodiscard]] std::string encodeTransaction(const Transaction& transaction);

/// About how many bytes a write with its condition adds to the body of a transaction.
[[nodiscard]] std::size_t estimatedBytes(const Write& write);

/// Of estimatedBytes in one transaction: a body may have 64 KiB, and the estimates are not exact.
inline constexpr std::size_t kMaxTransactionBytes = std::size_t{48} * 1024;

/// The body of a request for a lease.
[[nodiscard]] std::string encodeLeaseRequest(Duration timeToLive);

/// Keys or changes of keys from one answer.
struct KeyPage {
  std::vector<KeyChange> entries;
  bool truncated = false;  // more keys follow after the last entry
  Version revision;        // of the store when it answered
};

/// The answer to a list of keys.
[[nodiscard]] std::optional<KeyPage> parseKeyPage(const std::string& body);
/// The answer to a watch: changes in order of version.
[[nodiscard]] std::optional<KeyPage> parseChanges(const std::string& body);
/// The answer to a read of one key.
[[nodiscard]] std::optional<KeyChange> parseEntry(const std::string& body);
/// The revision that a committed transaction made.
[[nodiscard]] std::optional<Version> parseRevision(const std::string& body);
/// The keys whose conditions did not hold, from the answer to a transaction in conflict. Empty if they can't
/// be read: the conflict stands all the same.
[[nodiscard]] std::vector<std::string> parseConflictingKeys(const std::string& body);
/// The lease that was granted.
[[nodiscard]] std::optional<LeaseId> parseLeaseId(const std::string& body);

}  // namespace cherryloft::wire
