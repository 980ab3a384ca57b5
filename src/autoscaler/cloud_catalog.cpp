#include "autoscaler/cloud_catalog.h"

namespace cherryloft {
namespace {

constexpr Duration kRefreshInterval{30'000};
constexpr Duration kRetryDelay{1'000};
constexpr Duration kPersistTimeout{2'000};

// Spot prices change constantly; a change in them alone does not justify a write.
std::string encodeWithoutSpotPrices(Catalog catalog) {
  for (auto& type : catalog) type.spotPrice = 0;
  return wire::encodeCatalog(catalog);
}

}  // namespace

void CloudCatalog::loadPersisted() {
  if (machineTypes_.empty()) machineTypes_ = context_.clusterView.catalog;
}

void CloudCatalog::refresh(CloudCallBudget& budget) {
  bool due = refreshedAt_ == Time{} || context_.runtime.now() - refreshedAt_ >= kRefreshInterval;
  if (!fetching_ && due && budget.tryConsume()) fetch();
}

void CloudCatalog::fetch() {
  fetching_ = true;
  context_.callCloud({"GET", "/catalog", "", false},
                     [this](const HttpResult& result) { handleFetchResult(result); });
}

void CloudCatalog::handleFetchResult(const HttpResult& result) {
  fetching_ = false;
  auto fresh = result.answered(200) ? wire::parseCatalog(result.response.body) : std::nullopt;
  auto now = context_.runtime.now();
  refreshedAt_ = fresh ? now : now - kRefreshInterval + kRetryDelay;
  if (!fresh) return;
  machineTypes_ = *fresh;
  if (context_.leadership.active) persist(*fresh);
}

// Persists the catalog so that a controller restarted during a cloud outage can still make decisions.
void CloudCatalog::persist(const Catalog& fresh) {
  const auto& clusterView = context_.clusterView;
  bool unchanged = !clusterView.catalog.empty() &&
                   encodeWithoutSpotPrices(clusterView.catalog) == encodeWithoutSpotPrices(fresh);
  if (unchanged) return;
  auto value = wire::encodeCatalog(fresh);
  if (value.size() > context_.settings.maxValueBytes) {
    context_.log->error("catalog too large to be kept: bytes={}", value.size());
    return;
  }
  wire::Transaction transaction;
  transaction.conditions[keys::kCatalog] = clusterView.catalogVersion;
  transaction.operations.push_back({keys::kCatalog, value, {}});
  context_.store.transact(RequestPriority::Control, transaction, kPersistTimeout,
                          [this](const TransactionResult& result) {
                            if (!result.committed()) refreshedAt_ = Time{};
                          });
}

}  // namespace cherryloft
