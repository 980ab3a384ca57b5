// CloudCatalog: the machine types that the cloud offers, with their current prices.
#pragma once

#include "autoscaler/autoscaler_context.h"
#include "wire/cloud.h"

namespace cherryloft {

class CloudCatalog {
 public:
  explicit CloudCatalog(const AutoscalerContext& context) : context_(context) {}
  // As the cloud reported them, with current spot prices; before its first answer, the persisted copy.
  const Catalog& machineTypes() const { return machineTypes_; }
  // Loads the persisted copy if no catalog is known yet.
  void loadPersisted();
  // Fetches the catalog if a refresh is due and the budget has a call left.
  void refresh(CloudCallBudget& budget);

 private:
  void fetch();
  void handleFetchResult(const HttpResult& result);
  void persist(const Catalog& fresh);

  const AutoscalerContext& context_;
  Catalog machineTypes_;
  Time refreshedAt_{};
  bool fetching_ = false;
};

}  // namespace cherryloft
