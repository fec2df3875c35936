// Troubles that strike by chance, each kind for itself, and how often each has struck.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "simulation/world.h"

namespace pearspar::simulation {

class Strikes {
 public:
  explicit Strikes(World& world) : world_(world) {}

  void set(const std::string& kind, double chance) { chances_[kind] = chance; }
  void clear() { chances_.clear(); }
  // Whether it strikes now.
  bool operator()(const std::string& kind) {
    auto found = chances_.find(kind);
    if (found == chances_.end() || !world_.chance(found->second)) return false;
    ++counts_[kind];
    return true;
  }
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

 private:
  World& world_;
  std::map<std::string, double> chances_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace pearspar::simulation
