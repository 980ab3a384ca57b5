#include "kvstore/key_value_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cherryloft {
namespace {

constexpr Duration kListDeadline{3'000};
constexpr Duration kGrantLeaseDeadline{1'000};

std::string prefixOf(const std::string& key) { return key.substr(0, key.find('/') + 1); }

// A transaction whose keys hang on a lease is small: 400 tells that the lease is gone.
TxnResult txnAnswered(const HttpResponse& response, bool withLease) {
  TxnResult out;
  switch (response.status) {
    case 200:
      if (auto revision = wire::parseRevision(response.body)) {
        out.outcome = TxnResult::Outcome::Ok;
        out.revision = *revision;
      }
      break;
    case 409:
      out.outcome = TxnResult::Outcome::Conflict;
      out.failed = wire::parseFailed(response.body);
      break;
    case 400:
      out.outcome = withLease ? TxnResult::Outcome::LeaseExpired : TxnResult::Outcome::Rejected;
      break;
    case 429:
    case 503:
      out.outcome = TxnResult::Outcome::Refused;
      break;
    default:
      break;
  }
  return out;
}

TxnResult txnResultOf(const HttpResult& result, bool withLease) {
  TxnResult out;
  if (result.outcome == HttpResult::Outcome::NotSent)
    out.outcome = TxnResult::Outcome::Refused;
  else if (result.outcome == HttpResult::Outcome::Answered)
    out = txnAnswered(result.response, withLease);
  return out;
}

GetResult getResultOf(const HttpResult& result) {
  GetResult out;
  if (result.answered(404)) out.outcome = GetResult::Outcome::Absent;
  auto entry = result.answered(200) ? wire::parseKey(result.response.body) : std::nullopt;
  if (entry) {
    out.outcome = GetResult::Outcome::Found;
    out.entry = std::move(*entry);
  }
  return out;
}

FollowResult followResultOf(const HttpResult& result) {
  FollowResult out;
  if (result.answered(410)) out.outcome = FollowResult::Outcome::TooOld;
  auto news = result.answered(200) ? wire::parseNews(result.response.body) : std::nullopt;
  if (news) {
    out.outcome = FollowResult::Outcome::News;
    out.news = std::move(*news);
  }
  return out;
}

LeaseRenewal renewalOf(const HttpResult& result) {
  if (result.answered(200)) return LeaseRenewal::Good;
  return result.answered(404) ? LeaseRenewal::Gone : LeaseRenewal::NoAnswer;
}

}  // namespace

void KeyValueClient::txn(RequestPriority priority, const wire::Transaction& transaction, Duration deadline,
                         std::function<void(TxnResult)> done) {
  for (const auto& write : transaction.operations) ++tally_.changes[prefixOf(write.key)];
  HttpRequest request{"POST", "/txn", wire::encodeTransaction(transaction), false};
  auto changes = static_cast<unsigned>(transaction.operations.size());
  bool withLease = std::any_of(transaction.operations.begin(), transaction.operations.end(),
                               [](const auto& write) { return write.lease.has_value(); });
  queue_.push(priority, {"txn", std::move(request), changes}, deadline,
              [done = std::move(done), withLease](const HttpResult& result) {
                done(txnResultOf(result, withLease));
              });
}

void KeyValueClient::get(RequestPriority priority, const std::string& key, Duration deadline,
                         std::function<void(GetResult)> done) {
  queue_.push(priority, {"get", {"GET", "/keys/" + key, "", false}, 0}, deadline,
              [done = std::move(done)](const HttpResult& result) { done(getResultOf(result)); });
}

void KeyValueClient::list(RequestPriority priority, const std::string& prefix,
                          std::function<void(ListResult)> done) {
  listFrom(priority, prefix, "", std::make_shared<ListResult>(), std::move(done));
}

void KeyValueClient::listFrom(RequestPriority priority, const std::string& prefix, const std::string& since,
                              std::shared_ptr<ListResult> pages, std::function<void(ListResult)> done) {
  std::string path = "/keys?prefix=" + prefix + "&limit=1000";
  if (!since.empty()) path += "&since=" + since;
  auto listed = [this, priority, prefix, pages, done = std::move(done)](const HttpResult& result) mutable {
    auto page = result.answered(200) ? wire::parseEntries(result.response.body) : std::nullopt;
    if (!page) return done({});
    if (pages->entries.empty()) pages->revision = page->revision;
    bool more = page->truncated && !page->entries.empty();
    std::string last = more ? page->entries.back().key : "";
    std::move(page->entries.begin(), page->entries.end(), std::back_inserter(pages->entries));
    if (more) return listFrom(priority, prefix, last, pages, std::move(done));
    pages->ok = true;
    done(std::move(*pages));
  };
  queue_.push(priority, {"list", {"GET", path, "", false}, 0}, kListDeadline, std::move(listed));
}

void KeyValueClient::follow(const std::string& prefix, Version since, Duration wait, Duration deadline,
                            std::function<void(FollowResult)> done) {
  std::string path = "/follow?prefix=" + prefix + "&since=" + std::to_string(since.value) +
                     "&wait_ms=" + std::to_string(wait.count());
  queue_.push(RequestPriority::Control, {"follow", {"GET", path, "", false}, 0}, deadline,
              [done = std::move(done)](const HttpResult& result) { done(followResultOf(result)); });
}

void KeyValueClient::grantLease(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done) {
  auto body = "{\"ttl_ms\":" + std::to_string(ttl.count()) + "}";
  queue_.push(RequestPriority::Lease, {"hold", {"POST", "/holds", body, false}, 0}, kGrantLeaseDeadline,
              [done = std::move(done)](const HttpResult& result) {
                done(result.answered(200) ? wire::parseLeaseId(result.response.body) : std::nullopt);
              });
}

void KeyValueClient::renewLease(std::uint64_t lease, Duration deadline,
                                std::function<void(LeaseRenewal)> done) {
  auto path = "/holds/" + std::to_string(lease) + "/renew";
  queue_.push(RequestPriority::Lease, {"hold", {"POST", path, "{}", false}, 0}, deadline,
              [done = std::move(done)](const HttpResult& result) { done(renewalOf(result)); });
}

}  // namespace cherryloft
