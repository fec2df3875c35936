// Nodes that have said that they leave. Free of I/O.
//
// Ids are never reused, so what is recorded here holds for good; the oldest records are dropped.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace pearspar::catalog {

struct Departure {
  std::string node_id;
  bool retired = false;  // false: the node is closing and still serves what it has
  bool operator==(const Departure&) const = default;
};

class Departures {
 public:
  // Records of more nodes than leave in the time in which an outdated list of nodes may come back.
  static constexpr std::size_t max_records = 8192;

  // Ignores what is recorded already.
  void add(const Departure& departure);
  // Whether the departure, or a later one of the same node, is recorded.
  bool has(const Departure& departure) const;
  // Number of records made, with those that were dropped.
  std::uint64_t total() const { return total_; }
  // Oldest first.
  const std::deque<Departure>& records() const { return records_; }
  // Replaces everything by the records of another one, whose total is `total`.
  void restore(std::uint64_t total, std::deque<Departure> records);

 private:
  void drop_oldest();

  std::uint64_t total_ = 0;
  std::deque<Departure> records_;
  std::unordered_map<std::string, bool> retired_;  // by node id
};

}  // namespace pearspar::catalog
