#include "wire/json.h"

#include <cmath>

namespace cherryloft::wire {
namespace {

constexpr int kMaxDepth = 64;

// nullptr when the member is absent or null.
const Json* findMember(const Json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  auto it = object.find(name);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

// The parser is recursive: the depth limit bounds the stack that a malicious body can use.
bool nestedTooDeeply(const std::string& text) {
  int depth = 0;
  int deepest = 0;
  bool inString = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (inString) {
      if (c == '\\') ++i;
      if (c == '"') inString = false;
    } else if (c == '"') {
      inString = true;
    } else if (c == '{' || c == '[') {
      deepest = std::max(deepest, ++depth);
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return deepest > kMaxDepth;
}

}  // namespace

std::optional<Json> parse(const std::string& text) {
  if (nestedTooDeeply(text)) return std::nullopt;
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return std::nullopt;
  return json;
}

std::optional<std::string> stringField(const Json& object, const char* name) {
  const Json* value = findMember(object, name);
  if (!value || !value->is_string()) return std::nullopt;
  return value->get<std::string>();
}

std::optional<double> numberField(const Json& object, const char* name) {
  const Json* value = findMember(object, name);
  if (!value || !value->is_number()) return std::nullopt;
  double number = value->get<double>();
  if (!std::isfinite(number)) return std::nullopt;
  return number;
}

std::optional<std::uint64_t> unsignedField(const Json& object, const char* name) {
  const Json* value = findMember(object, name);
  if (!value) return std::nullopt;
  if (value->is_number_unsigned()) return value->get<std::uint64_t>();
  if (value->is_number_integer() && value->get<std::int64_t>() >= 0) return value->get<std::uint64_t>();
  return std::nullopt;
}

std::optional<bool> boolField(const Json& object, const char* name) {
  const Json* value = findMember(object, name);
  if (!value || !value->is_boolean()) return std::nullopt;
  return value->get<bool>();
}

const Json& arrayField(const Json& object, const char* name) {
  static const Json empty = Json::array();
  const Json* value = findMember(object, name);
  return value && value->is_array() ? *value : empty;
}

std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

}  // namespace cherryloft::wire
