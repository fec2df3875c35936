#include "simulation/auditor.h"

#include <algorithm>

namespace pearspar::simulation {

std::vector<Auditor::Level> Auditor::levels(const std::string& holder, const std::string& kind) {
  std::vector<Level> found{{holder, kind}};
  if (auto slash = holder.find('/'); slash != holder.npos) found.push_back({holder.substr(0, slash), kind});
  return found;
}

void Auditor::asked(const std::string& holder, const std::string& kind, const std::string& key) {
  asked_.insert(key);
  for (const Level& level : levels(holder, kind)) of_[level].insert(key);
}

void Auditor::ran(const std::string& holder, const std::string& kind, const std::string& key) {
  for (const Level& level : levels(holder, kind)) ran_[level].insert(key);
}

void Auditor::answered(const std::string& key, int status) {
  if (status == 200) served_.insert(key);
  if (status == 429) ++refused_;
}

std::uint64_t Auditor::truth(const std::string& holder, const std::string& kind) const {
  auto found = ran_.find({holder, kind});
  return found == ran_.end() ? 0 : found->second.size();
}

std::vector<std::string> Auditor::judge(const std::vector<quota::QuotaLedger::Line>& lines,
                                        const std::vector<Limit>& limits, std::uint64_t windows,
                                        bool exactly) const {
  std::vector<std::string> faults;
  struct Sum {
    std::uint64_t drawn = 0, unsure = 0, in_doubt = 0;
  };
  std::map<Level, Sum> sums;
  for (const auto& line : lines) {
    Sum& sum = sums[{line.account_key.holder, line.account_key.kind}];
    sum.drawn += line.count.drawn;
    sum.unsure += line.count.unsure;
    // Tokens of a window that is over are in doubt as well, until their edge has told.
    sum.in_doubt += line.count.in_doubt + line.count.out;
  }
  for (const auto& [level, keys] : ran_)
    if (!sums.count(level)) sums[level];
  for (const auto& [level, sum] : sums) {
    std::uint64_t truth = this->truth(level.first, level.second), silent = 0;
    auto asked = of_.find(level);
    if (asked != of_.end())
      for (const std::string& key : asked->second) silent += lost_.count(key);
    std::string what = level.first + " " + level.second + ": " + std::to_string(truth) + " ran, " +
                       std::to_string(sum.drawn) + " counted, " + std::to_string(sum.unsure) + " unsure, " +
                       std::to_string(sum.in_doubt) + " in doubt, " + std::to_string(silent) + " unanswered";
    if (truth > sum.drawn + sum.in_doubt) faults.push_back("UNCOUNTED " + what);
    if (sum.drawn > truth + sum.unsure + silent) faults.push_back("OVERCOUNTED " + what);
    if (exactly && truth != sum.drawn) faults.push_back("NOT EXACT " + what);
  }
  if (windows == 1)
    for (const Limit& limit : limits)
      if (truth(limit.holder, limit.kind) > limit.most)
        faults.push_back("PAST THE LIMIT " + limit.holder + " " + limit.kind + ": " +
                         std::to_string(truth(limit.holder, limit.kind)) + " of " +
                         std::to_string(limit.most));
  return faults;
}

}  // namespace pearspar::simulation
