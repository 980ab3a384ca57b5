// Requests and responses of the state service, without the records that are stored in it (wire/records.h).
// The service has its own names for some things: "ledger_rev" is a revision, "stamp" a version, "tenancy" a
// lease.
//
// Parsers return nullopt for a malformed body; callers treat it like a missing response.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft::wire {

/// The current state of a key, or a change of it.
struct KeyChange {
  std::string key;
  std::optional<std::string> value;  // JSON text; nullopt: the key was deleted
  Version version;                   // revision of the last change of the key
};

/// A key to be written or deleted.
struct Write {
  std::string key;
  std::optional<std::string> value;  // JSON text; nullopt: delete the key
  std::optional<LeaseId> lease;      // the key is deleted when this lease expires
};

/// A compare-and-swap transaction: all operations are executed if all conditions hold, otherwise none.
struct Transaction {
  std::map<std::string, Version> conditions;  // required version of each key; 0: the key must not exist
  std::vector<Write> operations;              // at most one per key
};

/// The body of a transaction request.
[[nodiscard]] std::string encodeTransaction(const Transaction& transaction);

/// Estimated bytes that a write with its condition adds to the body of a transaction.
[[nodiscard]] std::size_t estimatedBytes(const Write& write);

/// Limit of the sum of estimatedBytes in one transaction. The service accepts bodies up to 64 KiB; the
/// difference covers the inaccuracy of the estimates.
inline constexpr std::size_t kMaxTransactionBytes = std::size_t{48} * 1024;

/// The body of a request for a lease.
[[nodiscard]] std::string encodeLeaseRequest(Duration timeToLive);

/// Keys, or changes of keys, from one response.
struct KeyPage {
  std::vector<KeyChange> entries;
  bool truncated = false;  // more keys follow after the last entry
  Version revision;        // of the store at the time of the response
};

/// The response to a list request.
[[nodiscard]] std::optional<KeyPage> parseKeyPage(const std::string& body);
/// The response to a watch request: changes in order of version.
[[nodiscard]] std::optional<KeyPage> parseChanges(const std::string& body);
/// The response to a read of one key.
[[nodiscard]] std::optional<KeyChange> parseEntry(const std::string& body);
/// The revision created by a committed transaction.
[[nodiscard]] std::optional<Version> parseRevision(const std::string& body);
/// The keys whose conditions failed, from the response to a transaction in conflict. Empty if the body is
/// malformed; the transaction still counts as conflicting.
[[nodiscard]] std::vector<std::string> parseConflictingKeys(const std::string& body);
/// The granted lease, from the response to a lease request.
[[nodiscard]] std::optional<LeaseId> parseLeaseId(const std::string& body);

}  // namespace cherryloft::wire
