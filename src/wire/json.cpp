#include "wire/json.h"

#include <cmath>

namespace cherryloft::wire {
namespace {

const Json* at(const Json& o, const char* name) {
  if (!o.is_object()) return nullptr;
  auto it = o.find(name);
  return it == o.end() || it->is_null() ? nullptr : &*it;
}

// Bodies of users are parsed recursively; this bounds the stack a hostile one can take.
bool tooDeep(const std::string& text) {
  int depth = 0, deepest = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      deepest = std::max(deepest, ++depth);
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return deepest > 64;
}

}  // namespace

std::optional<Json> parse(const std::string& text) {
  if (tooDeep(text)) return std::nullopt;
  Json j = Json::parse(text, nullptr, false);
  if (j.is_discarded()) return std::nullopt;
  return j;
}

std::optional<std::string> textAt(const Json& o, const char* name) {
  const Json* v = at(o, name);
  if (!v || !v->is_string()) return std::nullopt;
  return v->get<std::string>();
}

std::optional<double> numberAt(const Json& o, const char* name) {
  const Json* v = at(o, name);
  if (!v || !v->is_number()) return std::nullopt;
  double d = v->get<double>();
  if (!std::isfinite(d)) return std::nullopt;
  return d;
}

std::optional<std::uint64_t> countAt(const Json& o, const char* name) {
  const Json* v = at(o, name);
  if (!v) return std::nullopt;
  if (v->is_number_unsigned()) return v->get<std::uint64_t>();
  if (v->is_number_integer() && v->get<std::int64_t>() >= 0) return v->get<std::uint64_t>();
  return std::nullopt;
}

std::optional<bool> flagAt(const Json& o, const char* name) {
  const Json* v = at(o, name);
  if (!v || !v->is_boolean()) return std::nullopt;
  return v->get<bool>();
}

const Json& listAt(const Json& o, const char* name) {
  static const Json empty = Json::array();
  const Json* v = at(o, name);
  return v && v->is_array() ? *v : empty;
}

std::string dump(const Json& j) { return j.dump(-1, ' ', false, Json::error_handler_t::replace); }

}  // namespace cherryloft::wire
