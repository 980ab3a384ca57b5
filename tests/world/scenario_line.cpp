#include "world/scenario_line.h"

#include <sstream>
#include <stdexcept>

namespace world {
namespace {

constexpr std::size_t kJobDigits = 6;
constexpr double kMsPerSecond = 1000;
constexpr const char* kFlagIsSet = "1";

Ms millisecondsOf(const std::string& seconds) { return static_cast<Ms>(parseNumber(seconds) * kMsPerSecond); }

}  // namespace

double parseNumber(const std::string& word) {
  std::size_t end = 0;
  double value = std::stod(word, &end);
  if (end != word.size()) throw std::runtime_error("'" + word + "' is not a number");
  return value;
}

std::string jobIdOf(const std::string& number) {
  std::size_t zeros = number.size() < kJobDigits ? kJobDigits - number.size() : 0;
  return "wk-" + std::string(zeros, '0') + number;
}

std::string jobIdOf(unsigned number) { return jobIdOf(std::to_string(number)); }

Options::Options(const std::vector<std::string>& words, std::size_t from) {
  for (auto at = from; at < words.size(); ++at) {
    const auto& word = words[at];
    auto equals = word.find('=');
    values_[word.substr(0, equals)] = equals == std::string::npos ? kFlagIsSet : word.substr(equals + 1);
  }
}

std::string Options::text(const std::string& name, const std::string& fallback) const {
  auto it = values_.find(name);
  return it == values_.end() ? fallback : it->second;
}

double Options::number(const std::string& name, double fallback) const {
  auto it = values_.find(name);
  return it == values_.end() ? fallback : parseNumber(it->second);
}

Line::Line(const std::string& text) {
  std::istringstream in(text.substr(0, text.find('#')));
  for (std::string word; in >> word;) words_.push_back(word);
}

std::vector<std::string> Line::wordsFrom(std::size_t at) const {
  if (at >= words_.size()) return {};
  return {words_.begin() + static_cast<std::ptrdiff_t>(at), words_.end()};
}

Ms Line::duration(std::size_t at) const { return millisecondsOf(word(at)); }

JobRange Line::jobRange(std::size_t at) const {
  unsigned first = count(at);
  bool more = size() > at + 1 && words_[at + 1] == "to";
  if (!more) return {first, first, at + 1};
  return {first, count(at + 2), at + 3};
}

std::string Line::text() const {
  std::string text;
  for (const auto& word : words_) text += word + " ";
  return text;
}

}  // namespace world
