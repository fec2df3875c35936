#include "phases/candidates.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "json/json.h"

namespace pearspar::phases {
namespace {

constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();

}  // namespace

bool ranks_before(const Candidate& a, const Candidate& b) {
  return a.score != b.score ? a.score > b.score : a.id < b.id;
}

PartCandidates read_candidates(int shard, std::string_view value, const CandidateLimits& limits) {
  PartCandidates found;
  found.shard = shard;
  json::Value root;
  try {
    root = json::parse(value);
  } catch (const json::ParseError&) {
    found.readable = false;
    return found;
  }
  const json::Value* list = root.find("candidates");
  if (!root.is(json::Kind::object) || !list || !list->is(json::Kind::array)) {
    found.readable = false;
    return found;
  }
  for (const json::Value& each : list->items) {
    const json::Value* id = each.find("id");
    const json::Value* score = each.find("score");
    const json::Value* cost = each.find("cost_us");
    auto text = id ? id->text() : std::nullopt;
    // An absent or mistyped score or cost becomes NaN and is rejected below.
    double number = score ? score->number().value_or(not_a_number) : not_a_number;
    double work = cost ? cost->number().value_or(not_a_number) : 0;
    bool usable = text && !text->empty() && text->size() <= limits.id && std::isfinite(number) &&
                  std::isfinite(work) && work >= 0;
    if (!usable) {
      ++found.left_out;
      continue;
    }
    found.candidates.push_back({std::move(*text), number, work});
  }
  std::sort(found.candidates.begin(), found.candidates.end(), ranks_before);
  std::set<std::string_view> seen;
  auto kept = found.candidates.begin();
  for (auto& each : found.candidates) {
    if (static_cast<std::size_t>(kept - found.candidates.begin()) >= limits.candidates) {
      ++found.beyond;
      continue;
    }
    if (seen.count(each.id) != 0) {
      ++found.left_out;
      continue;
    }
    if (&*kept != &each) std::swap(*kept, each);
    seen.insert(kept->id);
    ++kept;
  }
  found.candidates.erase(kept, found.candidates.end());
  return found;
}

}  // namespace pearspar::phases
