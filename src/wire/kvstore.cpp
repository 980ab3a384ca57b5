#include "wire/kvstore.h"

#include "wire/json.h"

namespace cherryloft::wire {
namespace {

// JSON overhead of a write and its condition, without the key (which appears twice) and the value.
constexpr std::size_t kBytesPerWrite = 120;

// Values are JSON text already; building the document as text avoids parsing them again.
std::string encodeOperation(const Write& write) {
  if (!write.value) return "{\"drop\":" + dump(Json(write.key)) + "}";
  std::string text = "{\"write\":" + dump(Json(write.key)) + ",\"value\":" + *write.value;
  if (write.lease) text += ",\"tenancy\":" + std::to_string(write.lease->value);
  return text + "}";
}

std::string encodeConditions(const std::map<std::string, Version>& conditions) {
  std::string text;
  for (const auto& [key, version] : conditions) {
    if (!text.empty()) text += ',';
    text += "{\"path\":" + dump(Json(key)) + ",\"stamp\":" + std::to_string(version.value) + "}";
  }
  return "[" + text + "]";
}

std::string encodeOperations(const std::vector<Write>& operations) {
  std::string text;
  for (const auto& write : operations) {
    if (!text.empty()) text += ',';
    text += encodeOperation(write);
  }
  return "[" + text + "]";
}

std::optional<Version> parseRevisionField(const Json& document) {
  auto revision = unsignedField(document, "ledger_rev");
  if (!revision) return std::nullopt;
  return Version{*revision};
}

// Parses a key with its value.
std::optional<KeyChange> parseEntryObject(const Json& entry) {
  auto key = stringField(entry, "path");
  auto version = unsignedField(entry, "stamp");
  if (!key || !version || !entry.contains("value")) return std::nullopt;
  return KeyChange{*key, dump(entry.at("value")), Version{*version}};
}

// Parses a write or deletion of a key.
std::optional<KeyChange> parseChangeObject(const Json& change) {
  auto version = unsignedField(change, "stamp");
  auto written = stringField(change, "write");
  auto deleted = stringField(change, "drop");
  if (!version) return std::nullopt;
  if (written) {
    if (!change.contains("value")) return std::nullopt;
    return KeyChange{*written, dump(change.at("value")), Version{*version}};
  }
  if (!deleted) return std::nullopt;
  return KeyChange{*deleted, std::nullopt, Version{*version}};
}

}  // namespace

std::string encodeTransaction(const Transaction& transaction) {
  std::string text = "{\"when\":" + encodeConditions(transaction.conditions);
  if (!transaction.operations.empty()) text += ",\"apply\":" + encodeOperations(transaction.operations);
  return text + "}";
}

std::size_t estimatedBytes(const Write& write) {
  std::size_t valueSize = write.value ? write.value->size() : 0;
  return 2 * write.key.size() + valueSize + kBytesPerWrite;
}

std::string encodeLeaseRequest(Duration timeToLive) {
  return "{\"ttl_ms\":" + std::to_string(timeToLive.count()) + "}";
}

std::optional<Version> parseRevision(const std::string& body) {
  auto document = parse(body);
  return document ? parseRevisionField(*document) : std::nullopt;
}

std::optional<KeyPage> parseKeyPage(const std::string& body) {
  auto document = parse(body);
  auto revision = document ? parseRevisionField(*document) : std::nullopt;
  if (!revision) return std::nullopt;
  KeyPage page{{}, boolField(*document, "truncated").value_or(false), *revision};
  for (const auto& item : arrayField(*document, "entries")) {
    auto entry = parseEntryObject(item);
    if (!entry) return std::nullopt;
    page.entries.push_back(std::move(*entry));
  }
  return page;
}

std::optional<KeyPage> parseChanges(const std::string& body) {
  auto document = parse(body);
  auto revision = document ? parseRevisionField(*document) : std::nullopt;
  if (!revision) return std::nullopt;
  KeyPage page{{}, false, *revision};
  for (const auto& item : arrayField(*document, "news")) {
    auto change = parseChangeObject(item);
    if (!change) return std::nullopt;
    page.entries.push_back(std::move(*change));
  }
  return page;
}

std::optional<KeyChange> parseEntry(const std::string& body) {
  auto document = parse(body);
  return document ? parseEntryObject(*document) : std::nullopt;
}

std::vector<std::string> parseConflictingKeys(const std::string& body) {
  std::vector<std::string> keys;
  auto document = parse(body);
  if (!document) return keys;
  for (const auto& key : arrayField(*document, "failed"))
    if (key.is_string()) keys.push_back(key.get<std::string>());
  return keys;
}

std::optional<LeaseId> parseLeaseId(const std::string& body) {
  auto document = parse(body);
  auto lease = document ? unsignedField(*document, "tenancy") : std::nullopt;
  if (!lease) return std::nullopt;
  return LeaseId{*lease};
}

}  // namespace cherryloft::wire
