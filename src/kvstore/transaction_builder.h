// TransactionBuilder: a transaction that grows write by write within the state service's limits.
#pragma once

#include <vector>

#include "wire/kvstore.h"

namespace cherryloft {

/// A write on condition that its key has that version; version 0 if the key must not exist.
struct ConditionalWrite {
  wire::Write write;
  Version version;
};

/// Builds one transaction. A plain value without references to anything else.
class TransactionBuilder {
 public:
  /// `maxWrites`: how many operations the state service takes in one transaction.
  explicit TransactionBuilder(std::size_t maxWrites) : maxWrites_(maxWrites) {}

  /// Adds a condition without a write: the key must have that version.
  void addCondition(const std::string& key, Version version) { transaction_.conditions[key] = version; }

  /// Whether a write of that many bytes (wire::estimatedBytes) still fits. The first one always does,
  /// whatever its size: it could never be sent otherwise, and the service refuses it if it is too large.
  [[nodiscard]] bool hasRoom(std::size_t bytes) const;

  /// Adds a write on condition that its key has that version. Returns whether it was added; if it does not
  /// fit, the transaction stays as it was.
  bool add(wire::Write write, Version version);

  /// Adds writes that must be executed together. Returns whether all were added; otherwise none was.
  [[nodiscard]] bool addAll(const std::vector<ConditionalWrite>& writes);

  /// The number of writes added.
  [[nodiscard]] std::size_t writes() const { return transaction_.operations.size(); }

  /// Whether there is no write yet; there may be conditions.
  [[nodiscard]] bool empty() const { return transaction_.operations.empty(); }

  /// Moves the transaction out. The builder is not to be used after it.
  [[nodiscard]] wire::Transaction take() { return std::move(transaction_); }

 private:
  [[nodiscard]] bool fits(std::size_t writes, std::size_t bytes) const;
  void append(ConditionalWrite versioned);

  std::size_t maxWrites_;
  std::size_t bytes_ = 0;
  wire::Transaction transaction_;
};

}  // namespace cherryloft
