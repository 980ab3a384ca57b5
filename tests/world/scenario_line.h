// Parses scenario files: a line consists of words, among them numbers, durations in seconds, job numbers and
// options.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "world/clock.h"

namespace world {

// Parses the whole word as a number. Throws std::runtime_error if it is not one.
double parseNumber(const std::string& word);

// The id of the job with that number, such as "wk-000012".
std::string jobIdOf(const std::string& number);
std::string jobIdOf(unsigned number);

// The "name=value" options and bare flags at the end of a line.
class Options {
 public:
  Options(const std::vector<std::string>& words, std::size_t from);
  bool has(const std::string& name) const { return values_.count(name) > 0; }
  std::string text(const std::string& name, const std::string& fallback = "") const;
  double number(const std::string& name, double fallback) const;

 private:
  std::map<std::string, std::string> values_;
};

// A job number "1" or a range "1 to 5", and the index of the word after it.
struct JobRange {
  unsigned first = 0;
  unsigned last = 0;
  std::size_t next = 0;
};

// One line of a scenario without its comment. Words are indexed from 0; reading past the end throws
// std::out_of_range.
class Line {
 public:
  explicit Line(const std::string& text);
  bool empty() const { return words_.empty(); }
  std::size_t size() const { return words_.size(); }
  const std::string& word(std::size_t at) const { return words_.at(at); }
  // All words from that index on.
  std::vector<std::string> wordsFrom(std::size_t at) const;
  double number(std::size_t at) const { return parseNumber(word(at)); }
  unsigned count(std::size_t at) const { return static_cast<unsigned>(number(at)); }
  // The word is in seconds.
  Ms duration(std::size_t at) const;
  std::string jobId(std::size_t at) const { return jobIdOf(word(at)); }
  JobRange jobRange(std::size_t at) const;
  Options optionsFrom(std::size_t at) const { return {words_, at}; }
  // The words, each followed by a space.
  std::string text() const;

 private:
  std::vector<std::string> words_;
};

}  // namespace world
