#include "dispatch/shard_weights.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pearspar::dispatch {

void ShardWeights::learn(const std::vector<std::string>& shards, const std::vector<std::size_t>& survived) {
  double all = static_cast<double>(std::accumulate(survived.begin(), survived.end(), std::size_t{0}));
  if (all <= 0) return;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    double share = static_cast<double>(survived[i]) / all * static_cast<double>(shards.size());
    auto [known, fresh] = share_.try_emplace(shards[i], 1.0);
    known->second += smoothing * (share - known->second);
  }
}

std::vector<double> ShardWeights::of(const std::vector<std::string>& shards) const {
  double sum = 0;
  std::size_t seen = 0;
  for (const std::string& shard : shards)
    if (auto known = share_.find(shard); known != share_.end()) sum += known->second, ++seen;
  double average = seen > 0 ? sum / static_cast<double>(seen) : 1;
  std::vector<double> weights;
  double total = 0;
  for (const std::string& shard : shards) {
    auto known = share_.find(shard);
    weights.push_back(known == share_.end() ? average : known->second);
    total += weights.back();
  }
  for (double& weight : weights)
    weight = total > 0 ? weight / total : 1.0 / static_cast<double>(shards.size());
  return weights;
}

std::size_t least_parts(std::size_t shards, double floor) {
  // A hair under, so that 0.75 of 4 is 3 whatever the rounding.
  auto parts = static_cast<std::size_t>(std::ceil(floor * static_cast<double>(shards) - 1e-9));
  return std::clamp<std::size_t>(parts, 1, shards);
}

std::vector<std::size_t> heaviest_first(const std::vector<double>& weights, double coverage, double floor) {
  std::vector<std::size_t> order(weights.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return weights[a] > weights[b]; });
  std::size_t least = least_parts(weights.size(), floor);
  double sum = 0;
  std::size_t count = 0;
  while (count < order.size() && (count < least || sum < coverage - 1e-9)) sum += weights[order[count++]];
  order.resize(count);
  return order;
}

}  // namespace pearspar::dispatch
