// CloudCatalog: the machine types that the cloud offers, with their prices of now.
#pragma once

#include "autoscaler/autoscaler_context.h"
#include "wire/cloud.h"

namespace cherryloft {

class CloudCatalog {
 public:
  explicit CloudCatalog(const AutoscalerContext& context) : context_(context) {}
  // The cloud's own, with current spot prices; until it answers, what was kept of it.
  const Catalog& prices() const { return prices_; }
  // Takes what was kept if nothing is known yet.
  void useKept();
  // Asks the cloud if it is time to and the budget has a call left.
  void refresh(CallBudget& calls);

 private:
  void fetch();
  void fetched(const HttpResult& result);
  void keep(const Catalog& fresh);

  const AutoscalerContext& context_;
  Catalog prices_;
  Time refreshedAt_{};
  bool fetching_ = false;
};

}  // namespace cherryloft
