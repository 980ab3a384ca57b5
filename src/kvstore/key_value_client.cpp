#include "kvstore/key_value_client.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace cherryloft {
namespace {

constexpr Duration kListPageDeadline{3'000};
constexpr Duration kGrantLeaseDeadline{1'000};
// Entries per list page; keeps a page well below the maximum response size.
constexpr const char* kListPageLimit = "1000";

namespace status {
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
}  // namespace status

// Operation names in log lines.
constexpr const char* kTransact = "txn";
constexpr const char* kGet = "get";
constexpr const char* kList = "list";
constexpr const char* kWatch = "watch";
constexpr const char* kLease = "lease";

// The first segment of a key, such as "job/", by which writes are counted.
std::string firstSegmentOf(const std::string& key) { return key.substr(0, key.find('/') + 1); }

bool attachesToLease(const wire::Transaction& transaction) {
  return std::any_of(transaction.operations.begin(), transaction.operations.end(),
                     [](const wire::Write& write) { return write.lease.has_value(); });
}

TransactionResult committedResult(const std::string& body) {
  TransactionResult result;
  if (auto revision = wire::parseRevision(body)) {
    result.outcome = TransactionResult::Outcome::Committed;
    result.revision = *revision;
  }
  return result;
}

// The service responds with 400 both for an expired lease and for a transaction that exceeds its limits.
// Transactions that attach keys to a lease are small, so for them 400 means an expired lease.
TransactionResult decodeTransaction(const HttpResponse& response, bool attachedToLease) {
  using Outcome = TransactionResult::Outcome;
  switch (response.status) {
    case status::kOk:
      return committedResult(response.body);
    case status::kConflict:
      return {Outcome::Conflict, {}, wire::parseConflictingKeys(response.body)};
    case status::kBadRequest:
      return {attachedToLease ? Outcome::LeaseExpired : Outcome::TooLarge, {}, {}};
    case status::kTooManyRequests:
    case status::kUnavailable:
      return {Outcome::Refused, {}, {}};
    default:
      return {};
  }
}

TransactionResult transactionResultOf(const HttpResult& answer, bool attachedToLease) {
  switch (answer.outcome) {
    case HttpResult::Outcome::Answered:
      return decodeTransaction(answer.response, attachedToLease);
    case HttpResult::Outcome::NotSent:
      return {TransactionResult::Outcome::Refused, {}, {}};
    case HttpResult::Outcome::Unknown:
      break;
  }
  return {};
}

GetResult getResultOf(const HttpResult& answer) {
  if (answer.answered(status::kNotFound)) return {GetResult::Outcome::Absent, {}};
  if (!answer.answered(status::kOk)) return {};
  auto entry = wire::parseEntry(answer.response.body);
  if (!entry) return {};
  return {GetResult::Outcome::Found, std::move(*entry)};
}

WatchResult watchResultOf(const HttpResult& answer) {
  if (answer.answered(status::kGone)) return {WatchResult::Outcome::Compacted, {}};
  if (!answer.answered(status::kOk)) return {};
  auto page = wire::parseChanges(answer.response.body);
  if (!page) return {};
  return {WatchResult::Outcome::Changes, std::move(*page)};
}

LeaseGrant grantOf(const HttpResult& answer) {
  if (!answer.answered(status::kOk)) return {};
  auto lease = wire::parseLeaseId(answer.response.body);
  if (!lease) return {};
  return {LeaseGrant::Outcome::Granted, *lease};
}

LeaseRenewal renewalOf(const HttpResult& answer) {
  if (answer.answered(status::kOk)) return LeaseRenewal::Renewed;
  return answer.answered(status::kNotFound) ? LeaseRenewal::Expired : LeaseRenewal::NoAnswer;
}

}  // namespace

void KeyValueClient::transact(RequestPriority priority, const wire::Transaction& transaction,
                              Duration deadline, std::function<void(TransactionResult)> done) {
  for (const auto& write : transaction.operations) ++counters_.writesByPrefix[firstSegmentOf(write.key)];
  HttpRequest request{"POST", "/txn", wire::encodeTransaction(transaction), false};
  auto writes = static_cast<unsigned>(transaction.operations.size());
  auto operations = std::make_shared<const std::vector<wire::Write>>(transaction.operations);
  auto answered = [this, operations, done = std::move(done),
                   withLease = attachesToLease(transaction)](const HttpResult& answer) {
    auto result = transactionResultOf(answer, withLease);
    if (result.committed()) reportCommitted(*operations, result.revision);
    done(result);
  };
  queue_.push(priority, {kTransact, std::move(request), writes}, deadline, std::move(answered));
}

void KeyValueClient::reportCommitted(const std::vector<wire::Write>& writes, Version revision) const {
  for (const auto& write : writes) committed_({write.key, write.value, revision});
}

void KeyValueClient::get(RequestPriority priority, const std::string& key, Duration deadline,
                         std::function<void(GetResult)> done) {
  auto answered = [done = std::move(done)](const HttpResult& answer) { done(getResultOf(answer)); };
  queue_.push(priority, {kGet, {"GET", "/keys/" + key, "", false}, 0}, deadline, std::move(answered));
}

void KeyValueClient::list(RequestPriority priority, const std::string& prefix,
                          std::function<void(ListResult)> done) {
  auto call = std::make_shared<ListCall>();
  call->priority = priority;
  call->prefix = prefix;
  call->done = std::move(done);
  requestPage(call, "");
}

void KeyValueClient::requestPage(const std::shared_ptr<ListCall>& call, const std::string& afterKey) {
  std::string path = "/keys?prefix=" + call->prefix + "&limit=" + kListPageLimit;
  if (!afterKey.empty()) path += "&since=" + afterKey;
  queue_.push(call->priority, {kList, {"GET", path, "", false}, 0}, kListPageDeadline,
              [this, call](const HttpResult& answer) { handlePage(call, answer); });
}

void KeyValueClient::handlePage(const std::shared_ptr<ListCall>& call, const HttpResult& answer) {
  auto page = answer.answered(status::kOk) ? wire::parseKeyPage(answer.response.body) : std::nullopt;
  if (!page) return call->done({});
  auto& result = call->result;
  if (result.entries.empty()) result.revision = page->revision;
  bool more = page->truncated && !page->entries.empty();
  std::move(page->entries.begin(), page->entries.end(), std::back_inserter(result.entries));
  if (more) return requestPage(call, result.entries.back().key);
  result.outcome = ListResult::Outcome::Complete;
  call->done(std::move(result));
}

void KeyValueClient::watch(const std::string& prefix, Version since, Duration wait, Duration deadline,
                           std::function<void(WatchResult)> done) {
  std::string path = "/follow?prefix=" + prefix + "&since=" + std::to_string(since.value) +
                     "&wait_ms=" + std::to_string(wait.count());
  auto answered = [done = std::move(done)](const HttpResult& answer) { done(watchResultOf(answer)); };
  queue_.push(RequestPriority::Control, {kWatch, {"GET", path, "", false}, 0}, deadline, std::move(answered));
}

void KeyValueClient::grantLease(Duration timeToLive, std::function<void(LeaseGrant)> done) {
  auto body = wire::encodeLeaseRequest(timeToLive);
  auto answered = [done = std::move(done)](const HttpResult& answer) { done(grantOf(answer)); };
  queue_.push(RequestPriority::Lease, {kLease, {"POST", "/holds", body, false}, 0}, kGrantLeaseDeadline,
              std::move(answered));
}

void KeyValueClient::renewLease(LeaseId lease, Duration deadline, std::function<void(LeaseRenewal)> done) {
  auto path = "/holds/" + std::to_string(lease.value) + "/renew";
  auto answered = [done = std::move(done)](const HttpResult& answer) { done(renewalOf(answer)); };
  queue_.push(RequestPriority::Lease, {kLease, {"POST", path, "{}", false}, 0}, deadline,
              std::move(answered));
}

}  // namespace cherryloft
