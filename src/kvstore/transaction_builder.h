// A transaction that grows write by write within the state service's limits.
#pragma once

#include <vector>

#include "wire/kvstore.h"

namespace cherryloft {

// A write on condition that its key has that version.
struct VersionedWrite {
  wire::Write write;
  Version version;
};

class TransactionBuilder {
 public:
  // mostWrites: how many the state service takes in one transaction.
  explicit TransactionBuilder(std::size_t mostWrites) : mostWrites_(mostWrites) {}

  // A condition without a write.
  void require(const std::string& key, Version version) { transaction_.conditions[key] = version; }
  // Whether a write of so many bytes can still be added. The first always can, as it could never be sent
  // otherwise.
  bool hasRoom(std::size_t bytes) const;
  // Adds a write on condition that its key has that version. False, and nothing is added, if it does not fit.
  bool add(wire::Write write, Version version);
  // The same for writes that must be carried out together.
  bool addAll(const std::vector<VersionedWrite>& writes);
  std::size_t writes() const;
  bool empty() const { return transaction_.operations.empty(); }
  wire::Transaction take() { return std::move(transaction_); }

 private:
  bool fits(std::size_t writes, std::size_t bytes) const;
  void append(VersionedWrite versioned);

  std::size_t mostWrites_;
  std::size_t bytes_ = 0;
  wire::Transaction transaction_;
};

}  // namespace cherryloft
