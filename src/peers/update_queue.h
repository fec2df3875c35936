// The updates to be disseminated and how often each was sent. Holds one update per name and kind; higher
// priority goes first, then the least often sent.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace pearspar::peers {

// In the order of sending.
enum class Priority : std::uint8_t { verdict, joining, record };

// The dissemination queue.
class UpdateQueue {
 public:
  // Resets the transmit count if the update is queued already.
  void add(const std::string& name, Priority priority);
  void drop(const std::string& name);
  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }

  // Offers names in order until `take` returns -1 (nothing more fits); 1 means sent, 0 skipped. An update
  // is dropped after `times` transmissions.
  template <typename Take>
  void offer(int times, Take&& take) {
    std::size_t considered = 0;
    std::set<Key> sent;
    for (auto at = order_.begin(); at != order_.end() && considered < max_considered; ++considered) {
      const int answer = take(std::get<3>(*at), std::get<0>(*at));
      if (answer < 0) break;
      if (answer == 0) {
        ++at;
        continue;
      }
      sent.insert(*at);
      at = order_.erase(at);
    }
    for (const Key& key : sent) {
      auto& [priority, transmissions, turn, name] = key;
      const Id id{name, priority == Priority::record};
      if (transmissions + 1 >= times) {
        keys_.erase(id);
      } else {
        Key next{priority, transmissions + 1, ++turn_, name};
        keys_[id] = next;
        order_.insert(next);
      }
    }
  }

 private:
  using Key = std::tuple<Priority, int, std::uint64_t, std::string>;  // priority, transmissions, turn, name
  using Id = std::pair<std::string, bool>;                            // the status or the records of a name
  static constexpr std::size_t max_considered = 64;

  std::set<Key> order_;
  std::map<Id, Key> keys_;
  std::uint64_t turn_ = 0;
};

}  // namespace pearspar::peers
