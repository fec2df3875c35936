// Shard weights: how much each shard contributes to merged results, learnt from the records that survive
// merges (Deng et al., "Pyramid: A General Framework for Distributed Similarity Search", ranks shards
// likewise).
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

namespace pearspar::dispatch {

class ShardWeights {
 public:
  // Learns from a merge of all these shards: the number of records of each that survived.
  void learn(const std::vector<std::string>& shards, const std::vector<std::size_t>& survived);
  // The weight of each shard; their sum is 1. An unknown shard gets the average of the known ones.
  std::vector<double> of(const std::vector<std::string>& shards) const;

 private:
  static constexpr double smoothing = 0.02;          // weight of one merge in the moving average
  std::unordered_map<std::string, double> weights_;  // of surviving records, times the number of shards
};

// The shards to query, heaviest first: until they have `coverage` of the weight and `min_shard_ratio` of the
// shards.
std::vector<std::size_t> select_heaviest(const std::vector<double>& weights, double coverage,
                                         double min_shard_ratio);

// The number of parts that a successful response needs.
std::size_t required_parts(std::size_t shards, double min_shard_ratio);

}  // namespace pearspar::dispatch
