// What a shard weighs: how much of its answers survives our own merges (Pyramid's ranking of shards, where no
// shard tells its weight).
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

namespace pearspar::dispatch {

class ShardWeights {
 public:
  // A merge in which every one of these shards had a part: records of each that survived.
  void learn(const std::vector<std::string>& shards, const std::vector<std::size_t>& survived);
  // One number for each shard, 1 in all. One that was never seen weighs as the average of those that were.
  std::vector<double> of(const std::vector<std::string>& shards) const;

 private:
  static constexpr double smoothing = 0.02;        // of one merge
  std::unordered_map<std::string, double> share_;  // times the number of shards in its merges: 1 = average
};

// Those to be sent, heaviest first: until `coverage` of the weight and `floor` of the shards are in.
std::vector<std::size_t> heaviest_first(const std::vector<double>& weights, double coverage, double floor);

// So many shards make a success.
std::size_t least_parts(std::size_t shards, double floor);

}  // namespace pearspar::dispatch
