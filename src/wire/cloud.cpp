#include "wire/cloud.h"

#include "wire/json.h"

namespace cherryloft::wire {

std::optional<Catalog> parseCatalog(const std::string& body) {
  auto doc = parse(body);
  if (!doc || !doc->is_object() || !doc->contains("flavours")) return std::nullopt;
  Catalog catalog;
  for (const auto& e : listAt(*doc, "flavours")) {
    auto name = textAt(e, "sku");
    auto cores = numberAt(e, "cores");
    auto ram = numberAt(e, "ram_gb");
    if (!name || !cores || !ram) return std::nullopt;
    MachineType t{*name,
                  {*cores, numberAt(e, "gpus").value_or(0), *ram},
                  numberAt(e, "cache_gb").value_or(0),
                  numberAt(e, "fetch_gb_per_s").value_or(0),
                  numberAt(e, "price").value_or(0),
                  numberAt(e, "market_price").value_or(0),
                  numberAt(e, "startup_s").value_or(0),
                  {}};
    for (const auto& z : listAt(e, "sites"))
      if (z.is_string()) t.zones.push_back(Zone{z.get<std::string>()});
    catalog.push_back(std::move(t));
  }
  if (catalog.empty()) return std::nullopt;
  return catalog;
}

std::string encodeCatalog(const Catalog& catalog) {
  Json list = Json::array();
  for (const auto& t : catalog) {
    Json zones = Json::array();
    for (const auto& z : t.zones) zones.push_back(z.value);
    list.push_back(Json{{"sku", t.name},
                        {"cores", t.size.cores},
                        {"gpus", t.size.gpus},
                        {"ram_gb", t.size.ram},
                        {"cache_gb", t.cacheGb},
                        {"fetch_gb_per_s", t.fetchGbPerS},
                        {"price", t.price},
                        {"market_price", t.spotPrice},
                        {"startup_s", t.bootS},
                        {"sites", std::move(zones)}});
  }
  return dump(Json{{"flavours", std::move(list)}});
}

std::string encodeRental(const Rental& r) {
  return dump(Json{{"claim", r.claim},
                   {"flavour", r.type},
                   {"site", r.zone.value},
                   {"lendable", r.spot},
                   {"count", r.count}});
}

std::string encodeReturn(const std::vector<MachineId>& machines) {
  Json list = Json::array();
  for (const auto& h : machines) list.push_back(h.value);
  return dump(Json{{"hosts", std::move(list)}});
}

std::optional<std::vector<MachineId>> parseRented(const std::string& body) {
  auto doc = parse(body);
  if (!doc || !doc->is_object() || !doc->contains("hosts")) return std::nullopt;
  std::vector<MachineId> machines;
  for (const auto& h : listAt(*doc, "hosts"))
    if (h.is_string()) machines.push_back(MachineId{h.get<std::string>()});
  return machines;
}

std::optional<MachinePage> parseMachines(const std::string& body) {
  auto doc = parse(body);
  if (!doc || !doc->is_object() || !doc->contains("hosts")) return std::nullopt;
  MachinePage page;
  for (const auto& e : listAt(*doc, "hosts")) {
    auto id = textAt(e, "name_id");
    auto state = textAt(e, "status");
    if (!id || !state) return std::nullopt;
    page.machines.push_back({MachineId{*id}, textAt(e, "addr").value_or(""),
                             textAt(e, "flavour").value_or(""), Zone{textAt(e, "site").value_or("")},
                             flagAt(e, "lendable").value_or(false),
                             *state == "failed"    ? ListedMachine::State::Failed
                             : *state == "running" ? ListedMachine::State::Running
                                                   : ListedMachine::State::Starting,
                             numberAt(e, "held_s").value_or(0)});
  }
  page.truncated = flagAt(*doc, "truncated").value_or(false);
  return page;
}

}  // namespace cherryloft::wire
