#include "phases/prune.h"

#include <algorithm>
#include <map>
#include <set>

namespace pearspar::phases {
namespace {

struct Ranked {
  const Candidate* candidate = nullptr;
  int shard = 0;
};

// Orders by score, then shard, then id.
bool ranks_before_over_shards(const Ranked& a, const Ranked& b) {
  if (a.candidate->score != b.candidate->score) return a.candidate->score > b.candidate->score;
  if (a.shard != b.shard) return a.shard < b.shard;
  return a.candidate->id < b.candidate->id;
}

class Pruning {
 public:
  Pruning(const PruneRules& rules, const FetchCapacity& capacity) : rules_(rules), capacity_(capacity) {}

  FetchPlan run(const std::vector<PartCandidates>& found) {
    for (const PartCandidates& part : found)
      for (const Candidate& each : part.candidates) all_.push_back({&each, part.shard});
    std::sort(all_.begin(), all_.end(), ranks_before_over_shards);
    drop_duplicates();
    for (const Ranked& each : all_) place(each);
    fill_to_floor();
    finish();
    return std::move(result_);
  }

 private:
  struct OpenPart {
    std::vector<const Candidate*> candidates;
    net::Duration expected{};
    bool for_floor = false;
  };

  void cut(Cause cause) { ++result_.cut[static_cast<int>(cause)]; }

  // A document found in several shards is fetched where it ranks first.
  void drop_duplicates() {
    std::set<std::string_view> seen;
    std::erase_if(all_, [&](const Ranked& each) {
      if (seen.insert(each.candidate->id).second) return false;
      cut(Cause::duplicate);
      return true;
    });
  }

  bool servable(int shard) const {
    return !std::binary_search(capacity_.unservable.begin(), capacity_.unservable.end(), shard);
  }
  net::Duration cost_of(const Candidate& each) const {
    if (each.cost_us <= 0) return capacity_.default_cost;
    return net::Duration(each.cost_us * capacity_.us_per_cost / 1e6);
  }
  // Whether the candidate fits into the time of its part; a new part also has a fixed cost.
  bool fits(const OpenPart* open, const Candidate& each) const {
    net::Duration taken = open ? open->expected : capacity_.part_cost;
    return taken + cost_of(each) <= capacity_.time;
  }
  void add(int shard, const Candidate& each, bool for_floor) {
    auto [place, fresh] = open_.try_emplace(shard);
    if (fresh) {
      order_.push_back(shard);
      place->second.expected = capacity_.part_cost;
      place->second.for_floor = for_floor;
    }
    place->second.candidates.push_back(&each);
    place->second.expected += cost_of(each);
    ++result_.candidates;
  }

  // Called in rank order, so that scarce capacity goes to the better candidates.
  void place(const Ranked& each) {
    if (!servable(each.shard)) {
      no_replica_.insert(each.shard);
      return cut(Cause::no_replica);
    }
    auto found = open_.find(each.shard);
    OpenPart* open = found == open_.end() ? nullptr : &found->second;
    if (!fits(open, *each.candidate)) {
      if (!open) no_time_.insert(each.shard);
      return cut(Cause::time);
    }
    // A share of a best score of 0 or less would cut even the best candidate.
    double best = all_.front().candidate->score;
    bool low = rules_.score_share > 0 && best > 0 && each.candidate->score < rules_.score_share * best;
    Cause cause = low                                           ? Cause::score
                  : result_.candidates >= rules_.max_candidates ? Cause::count
                                                                : Cause::parts;
    bool refused = cause != Cause::parts || (!open && open_.size() >= rules_.max_parts);
    if (!refused) return add(each.shard, *each.candidate, false);
    cut(cause);
    if (!open) cut_parts_.push_back({each, cause});
  }

  // Adds parts cut for score or count until the minimum number is reached; time and replicas stay binding.
  void fill_to_floor() {
    for (const auto& [each, cause] : cut_parts_) {
      if (open_.size() >= rules_.min_parts) return;
      if (open_.count(each.shard) != 0) continue;
      --result_.cut[static_cast<int>(cause)];
      add(each.shard, *each.candidate, true);
      ++result_.kept_for_floor;
    }
  }

  void finish() {
    for (int shard : order_) {
      const OpenPart& open = open_.at(shard);
      ChosenPart part{shard, {}, open.expected};
      for (const Candidate* each : open.candidates) part.candidates.push_back(*each);
      result_.parts.push_back(std::move(part));
    }
    result_.enough = result_.parts.size() >= rules_.min_parts;
    if (result_.enough) return;
    std::size_t for_time = static_cast<std::size_t>(
        std::count_if(no_time_.begin(), no_time_.end(), [&](int shard) { return open_.count(shard) == 0; }));
    result_.for_time = for_time > 0;
    result_.for_replicas = !no_replica_.empty();
  }

  const PruneRules& rules_;
  const FetchCapacity& capacity_;
  std::vector<Ranked> all_;
  std::map<int, OpenPart> open_;
  std::vector<int> order_;  // shards in order of their best candidate
  std::vector<std::pair<Ranked, Cause>> cut_parts_;
  std::set<int> no_time_;
  std::set<int> no_replica_;
  FetchPlan result_;
};

}  // namespace

const char* name_of(Cause cause) {
  constexpr const char* words[] = {"score", "count", "parts", "time", "no_replica", "duplicate"};
  return words[static_cast<int>(cause)];
}

std::size_t FetchPlan::total_cut() const {
  std::size_t sum = 0;
  for (std::size_t each : cut) sum += each;
  return sum;
}

FetchPlan prune(const std::vector<PartCandidates>& found, const PruneRules& rules,
                const FetchCapacity& capacity) {
  return Pruning(rules, capacity).run(found);
}

}  // namespace pearspar::phases
