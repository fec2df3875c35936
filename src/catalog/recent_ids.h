// A set of ids of bounded size: the oldest is forgotten first.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace pearspar::catalog {

class RecentIds {
 public:
  explicit RecentIds(std::size_t limit) : limit_(limit) {}

  void insert(const std::string& id) {
    if (!ids_.insert(id).second) return;
    order_.push_back(id);
    if (order_.size() <= limit_) return;
    ids_.erase(order_.front());
    order_.pop_front();
  }
  bool contains(const std::string& id) const { return ids_.count(id) != 0; }
  // Oldest first.
  const std::deque<std::string>& in_order() const { return order_; }

 private:
  std::size_t limit_;
  std::unordered_set<std::string> ids_;
  std::deque<std::string> order_;
};

}  // namespace pearspar::catalog
