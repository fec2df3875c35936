#include "dispatch/shard_weights.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pearspar::dispatch {

void ShardWeights::learn(const std::vector<std::string>& shards, const std::vector<std::size_t>& survived) {
  double total = static_cast<double>(std::accumulate(survived.begin(), survived.end(), std::size_t{0}));
  if (total <= 0) return;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    double share = static_cast<double>(survived[i]) / total * static_cast<double>(shards.size());
    auto [known, inserted] = weights_.try_emplace(shards[i], 1.0);
    known->second += smoothing * (share - known->second);
  }
}

std::vector<double> ShardWeights::of(const std::vector<std::string>& shards) const {
  double sum = 0;
  std::size_t known_shards = 0;
  for (const std::string& shard : shards)
    if (auto known = weights_.find(shard); known != weights_.end()) sum += known->second, ++known_shards;
  double average = known_shards > 0 ? sum / static_cast<double>(known_shards) : 1;
  std::vector<double> weights;
  double total = 0;
  for (const std::string& shard : shards) {
    auto known = weights_.find(shard);
    weights.push_back(known == weights_.end() ? average : known->second);
    total += weights.back();
  }
  for (double& weight : weights)
    weight = total > 0 ? weight / total : 1.0 / static_cast<double>(shards.size());
  return weights;
}

std::size_t required_parts(std::size_t shards, double min_shard_ratio) {
  // The epsilon keeps rounding errors from raising an exact product by one: 0.75 of 4 is 3.
  auto parts = static_cast<std::size_t>(std::ceil(min_shard_ratio * static_cast<double>(shards) - 1e-9));
  return std::clamp<std::size_t>(parts, 1, shards);
}

std::vector<std::size_t> select_heaviest(const std::vector<double>& weights, double coverage,
                                         double min_shard_ratio) {
  std::vector<std::size_t> order(weights.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return weights[a] > weights[b]; });
  std::size_t required = required_parts(weights.size(), min_shard_ratio);
  double sum = 0;
  std::size_t count = 0;
  while (count < order.size() && (count < required || sum < coverage - 1e-9)) sum += weights[order[count++]];
  order.resize(count);
  return order;
}

}  // namespace pearspar::dispatch
