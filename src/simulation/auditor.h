// The auditor of allowances: told what clients asked and heard, and what nodes ran; at the end it holds the
// system's counts against that. It shares nothing with what it judges but the shape of the counts.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quota/quota_ledger.h"

namespace pearspar::simulation {

class Auditor {
 public:
  void asked(const std::string& holder, const std::string& kind, const std::string& key);
  void ran(const std::string& holder, const std::string& kind, const std::string& key);
  void answered(const std::string& key, int status);
  // A try of it ended without any answer.
  void unanswered(const std::string& key) { lost_.insert(key); }

  struct Limit {
    std::string holder, kind;
    std::uint64_t most = 0;
  };
  // All being at rest. `windows`: that have begun; limits are held against what ran only where it is one.
  std::vector<std::string> judge(const std::vector<quota::QuotaLedger::Line>& lines,
                                 const std::vector<Limit>& limits, std::uint64_t windows, bool exactly) const;

  std::uint64_t truth(const std::string& holder, const std::string& kind) const;
  std::size_t retrievals() const { return asked_.size(); }
  std::size_t served() const { return served_.size(); }
  std::size_t refused() const { return refused_; }

 private:
  using Level = std::pair<std::string, std::string>;  // holder, kind
  static std::vector<Level> levels(const std::string& holder, const std::string& kind);
  std::map<Level, std::set<std::string>> ran_;
  std::map<Level, std::set<std::string>> of_;  // keys that were asked
  std::set<std::string> asked_, served_, lost_;
  std::size_t refused_ = 0;
};

}  // namespace pearspar::simulation
