#include "kvstore/transaction_builder.h"

namespace cherryloft {

std::size_t TransactionBuilder::writes() const { return transaction_.operations.size(); }

bool TransactionBuilder::fits(std::size_t writes, std::size_t bytes) const {
  return transaction_.operations.size() + writes <= mostWrites_ &&
         (empty() || bytes_ + bytes <= wire::kMostWeight);
}

bool TransactionBuilder::hasRoom(std::size_t bytes) const { return fits(1, bytes); }

bool TransactionBuilder::add(wire::Write write, Version version) {
  if (!hasRoom(wire::weightOf(write))) return false;
  append({std::move(write), version});
  return true;
}

bool TransactionBuilder::addAll(const std::vector<VersionedWrite>& writes) {
  std::size_t bytes = 0;
  for (const auto& [write, _] : writes) bytes += wire::weightOf(write);
  if (!fits(writes.size(), bytes)) return false;
  for (const auto& write : writes) append(write);
  return true;
}

void TransactionBuilder::append(VersionedWrite versioned) {
  bytes_ += wire::weightOf(versioned.write);
  transaction_.conditions[versioned.write.key] = versioned.version;
  transaction_.operations.push_back(std::move(versioned.write));
}

}  // namespace cherryloft
