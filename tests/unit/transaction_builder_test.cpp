// The limits of a transaction. The state service refuses transactions with too many writes or too large a
// body.
#include "kvstore/transaction_builder.h"

#include <gtest/gtest.h>

namespace cherryloft {
namespace {

wire::Write writeOf(const std::string& key, std::size_t bytes) { return {key, std::string(bytes, 'x'), {}}; }

TEST(TransactionBuilder, LimitsTheNumberOfWrites) {
  TransactionBuilder builder(2);
  EXPECT_TRUE(builder.empty());
  EXPECT_TRUE(builder.add(writeOf("a", 10), Version{1}));
  EXPECT_TRUE(builder.add(writeOf("b", 10), Version{2}));
  EXPECT_FALSE(builder.hasRoom(10));
  EXPECT_FALSE(builder.add(writeOf("c", 10), Version{3}));
  auto transaction = builder.take();
  EXPECT_EQ(transaction.operations.size(), 2U);
  EXPECT_EQ(transaction.conditions.size(), 2U);
  EXPECT_EQ(transaction.conditions.count("c"), 0U);
}

TEST(TransactionBuilder, LimitsTheSizeExceptForTheFirstWrite) {
  TransactionBuilder builder(8);
  EXPECT_TRUE(builder.add(writeOf("a", 2 * wire::kMaxTransactionBytes), Version{1}));
  EXPECT_FALSE(builder.add(writeOf("b", 1), Version{1}));
  TransactionBuilder second(8);
  EXPECT_TRUE(second.add(writeOf("a", wire::kMaxTransactionBytes / 2), Version{1}));
  EXPECT_FALSE(second.add(writeOf("b", wire::kMaxTransactionBytes / 2), Version{1}));
  EXPECT_TRUE(second.add(writeOf("c", wire::kMaxTransactionBytes / 4), Version{1}));
}

TEST(TransactionBuilder, AddsConditionsOnKeysThatItDoesNotWrite) {
  TransactionBuilder builder(8);
  builder.addCondition("share/0", Version{7});
  EXPECT_TRUE(builder.empty());
  EXPECT_EQ(builder.take().conditions.at("share/0"), Version{7});
}

TEST(TransactionBuilder, AddsAllOrNoneOfAGroupOfWrites) {
  TransactionBuilder builder(2);
  EXPECT_TRUE(builder.add(writeOf("a", 10), Version{1}));
  EXPECT_FALSE(builder.addAll({{writeOf("b", 10), Version{2}}, {writeOf("c", 10), Version{3}}}));
  EXPECT_EQ(builder.writes(), 1U);
  EXPECT_TRUE(builder.addAll({{writeOf("b", 10), Version{2}}}));
  EXPECT_EQ(builder.writes(), 2U);
}

}  // namespace
}  // namespace cherryloft
