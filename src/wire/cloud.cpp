#include "wire/cloud.h"

#include "wire/json.h"

namespace cherryloft::wire {

std::optional<Catalog> parseCatalog(const std::string& body) {
  auto doc = parse(body);
  if (!doc || !doc->is_object() || !doc->contains("flavours")) return std::nullopt;
  Catalog catalog;
  for (const auto& entry : arrayField(*doc, "flavours")) {
    auto name = stringField(entry, "sku");
    auto cores = numberField(entry, "cores");
    auto ram = numberField(entry, "ram_gb");
    if (!name || !cores || !ram) return std::nullopt;
    MachineType type{*name,
                     {*cores, numberField(entry, "gpus").value_or(0), *ram},
                     numberField(entry, "cache_gb").value_or(0),
                     numberField(entry, "fetch_gb_per_s").value_or(0),
                     numberField(entry, "price").value_or(0),
                     numberField(entry, "market_price").value_or(0),
                     numberField(entry, "startup_s").value_or(0),
                     {}};
    for (const auto& zone : arrayField(entry, "sites"))
      if (zone.is_string()) type.zones.push_back(Zone{zone.get<std::string>()});
    catalog.push_back(std::move(type));
  }
  if (catalog.empty()) return std::nullopt;
  return catalog;
}

std::string encodeCatalog(const Catalog& catalog) {
  Json list = Json::array();
  for (const auto& type : catalog) {
    Json zones = Json::array();
    for (const auto& zone : type.zones) zones.push_back(zone.value);
    list.push_back(Json{{"sku", type.name},
                        {"cores", type.size.cores},
                        {"gpus", type.size.gpus},
                        {"ram_gb", type.size.ram},
                        {"cache_gb", type.cacheGb},
                        {"fetch_gb_per_s", type.fetchGbPerS},
                        {"price", type.price},
                        {"market_price", type.spotPrice},
                        {"startup_s", type.bootSeconds},
                        {"sites", std::move(zones)}});
  }
  return dump(Json{{"flavours", std::move(list)}});
}

std::string encodeProvisionRequest(const ProvisionRequest& request) {
  return dump(Json{{"claim", request.idempotencyKey},
                   {"flavour", request.type},
                   {"site", request.zone.value},
                   {"lendable", request.spot},
                   {"count", request.count}});
}

std::string encodeReturnRequest(const std::vector<MachineId>& machines) {
  Json list = Json::array();
  for (const auto& machine : machines) list.push_back(machine.value);
  return dump(Json{{"hosts", std::move(list)}});
}

std::optional<std::vector<MachineId>> parseProvisioned(const std::string& body) {
  auto doc = parse(body);
  if (!doc || !doc->is_object() || !doc->contains("hosts")) return std::nullopt;
  std::vector<MachineId> machines;
  for (const auto& machine : arrayField(*doc, "hosts"))
    if (machine.is_string()) machines.push_back(MachineId{machine.get<std::string>()});
  return machines;
}

std::optional<MachinePage> parseMachines(const std::string& body) {
  auto doc = parse(body);
  if (!doc || !doc->is_object() || !doc->contains("hosts")) return std::nullopt;
  MachinePage page;
  for (const auto& entry : arrayField(*doc, "hosts")) {
    auto id = stringField(entry, "name_id");
    auto state = stringField(entry, "status");
    if (!id || !state) return std::nullopt;
    page.machines.push_back(
        {MachineId{*id}, stringField(entry, "addr").value_or(""), stringField(entry, "flavour").value_or(""),
         Zone{stringField(entry, "site").value_or("")}, boolField(entry, "lendable").value_or(false),
         *state == "failed"    ? ListedMachine::State::Failed
         : *state == "running" ? ListedMachine::State::Running
                               : ListedMachine::State::Starting,
         numberField(entry, "held_s").value_or(0)});
  }
  page.truncated = boolField(*doc, "truncated").value_or(false);
  return page;
}

}  // namespace cherryloft::wire
