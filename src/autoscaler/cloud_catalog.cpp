#include "autoscaler/cloud_catalog.h"

namespace cherryloft {
namespace {

constexpr Duration kRefreshEvery{30'000};
constexpr Duration kRetryAfter{1'000};
constexpr Duration kKeepDeadline{2'000};

// Spot prices move all the time and are no reason to write.
std::string encodeWithoutSpotPrices(Catalog catalog) {
  for (auto& type : catalog) type.spotPrice = 0;
  return wire::encodeCatalog(catalog);
}

}  // namespace

void CloudCatalog::useKept() {
  if (prices_.empty()) prices_ = context_.clusterView.catalog;
}

void CloudCatalog::refresh(CallBudget& calls) {
  bool due = refreshedAt_ == Time{} || context_.runtime.now() - refreshedAt_ >= kRefreshEvery;
  if (!fetching_ && due && calls.tryTake()) fetch();
}

void CloudCatalog::fetch() {
  fetching_ = true;
  context_.callCloud({"GET", "/catalog", "", false}, [this](const HttpResult& result) { fetched(result); });
}

void CloudCatalog::fetched(const HttpResult& result) {
  fetching_ = false;
  auto fresh = result.answered(200) ? wire::parseCatalog(result.response.body) : std::nullopt;
  auto now = context_.runtime.now();
  refreshedAt_ = fresh ? now : now - kRefreshEvery + kRetryAfter;
  if (!fresh) return;
  prices_ = *fresh;
  if (context_.leadership.active) keep(*fresh);
}

// Kept so that a cloud outage does not stop a restarted controller from deciding.
void CloudCatalog::keep(const Catalog& fresh) {
  const auto& clusterView = context_.clusterView;
  bool same = !clusterView.catalog.empty() &&
              encodeWithoutSpotPrices(clusterView.catalog) == encodeWithoutSpotPrices(fresh);
  if (same) return;
  auto value = wire::encodeCatalog(fresh);
  if (value.size() > context_.settings.maxValueBytes) {
    context_.log->error("catalog too large to be kept: bytes={}", value.size());
    return;
  }
  wire::Transaction transaction;
  transaction.conditions[keys::kCatalog] = clusterView.catalogVersion;
  transaction.operations.push_back({keys::kCatalog, value, {}});
  context_.store.transact(RequestPriority::Control, transaction, kKeepDeadline,
                          [this](const TransactionResult& result) {
                            if (!result.committed()) refreshedAt_ = Time{};
                          });
}

}  // namespace cherryloft
