// TransactionBuilder: builds a transaction incrementally within the state service's limits.
#pragma once

#include <vector>

#include "wire/kvstore.h"

namespace cherryloft {

/// A write on condition that its key has the given version; version 0 means that the key must not exist.
struct ConditionalWrite {
  wire::Write write;
  Version version;
};

/// Builds one transaction. A plain value type.
class TransactionBuilder {
 public:
  /// `maxWrites`: the maximum number of operations that the state service accepts in one transaction.
  explicit TransactionBuilder(std::size_t maxWrites) : maxWrites_(maxWrites) {}

  /// Adds a condition without a write: the key must have the given version.
  void addCondition(const std::string& key, Version version) { transaction_.conditions[key] = version; }

  /// Whether a write of that many bytes (wire::estimatedBytes) still fits. The first write always fits, as it
  /// could otherwise never be sent; the service rejects it if it is too large.
  [[nodiscard]] bool hasRoom(std::size_t bytes) const;

  /// Adds a write on condition that its key has the given version. Returns whether it was added; if it does
  /// not fit, the transaction is unchanged.
  bool add(wire::Write write, Version version);

  /// Adds writes that must be executed together. Returns whether they were added; adds all or none.
  [[nodiscard]] bool addAll(const std::vector<ConditionalWrite>& writes);

  /// The number of writes added.
  [[nodiscard]] std::size_t writes() const { return transaction_.operations.size(); }

  /// Whether no write was added yet; conditions may have been.
  [[nodiscard]] bool empty() const { return transaction_.operations.empty(); }

  /// Moves the transaction out. The builder must not be used afterwards.
  [[nodiscard]] wire::Transaction take() { return std::move(transaction_); }

 private:
  [[nodiscard]] bool fits(std::size_t writes, std::size_t bytes) const;
  void append(ConditionalWrite conditional);

  std::size_t maxWrites_;
  std::size_t bytes_ = 0;
  wire::Transaction transaction_;
};

}  // namespace cherryloft
