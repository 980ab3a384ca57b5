#include "kvstore/transaction_builder.h"

namespace cherryloft {

bool TransactionBuilder::fits(std::size_t writes, std::size_t bytes) const {
  bool withinCount = transaction_.operations.size() + writes <= maxWrites_;
  bool withinBytes = empty() || bytes_ + bytes <= wire::kMaxTransactionBytes;
  return withinCount && withinBytes;
}

bool TransactionBuilder::hasRoom(std::size_t bytes) const { return fits(1, bytes); }

bool TransactionBuilder::add(wire::Write write, Version version) {
  if (!hasRoom(wire::estimatedBytes(write))) return false;
  append({std::move(write), version});
  return true;
}

bool TransactionBuilder::addAll(const std::vector<ConditionalWrite>& writes) {
  std::size_t bytes = 0;
  for (const auto& conditional : writes) bytes += wire::estimatedBytes(conditional.write);
  if (!fits(writes.size(), bytes)) return false;
  for (const auto& conditional : writes) append(conditional);
  return true;
}

void TransactionBuilder::append(ConditionalWrite conditional) {
  bytes_ += wire::estimatedBytes(conditional.write);
  transaction_.conditions[conditional.write.key] = conditional.version;
  transaction_.operations.push_back(std::move(conditional.write));
}

}  // namespace cherryloft
