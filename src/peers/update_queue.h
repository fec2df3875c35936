// What is still to be told, and how often: each name's news once, the worthier first, of one priority those
// told least.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace pearspar::peers {

// In the order in which they are sent when not all can be.
enum class Priority : std::uint8_t { verdict, joining, record };

class UpdateQueue {
 public:
  // Again from the start, where it was told before.
  void add(const std::string& name, Priority priority);
  void drop(const std::string& name);
  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }

  // Offers names in order until `take` says that there is no room: it returns 1 where it was sent, 0 where it
  // was passed over, -1 where nothing more fits. Told `times` in all, a rumour is dropped.
  template <typename Take>
  void offer(int times, Take&& take) {
    std::size_t looked = 0;
    std::set<Key> sent;
    for (auto at = order_.begin(); at != order_.end() && looked < most_looked_at; ++looked) {
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
      auto& [priority, told, turn, name] = key;
      const Id id{name, priority == Priority::record};
      if (told + 1 >= times) {
        keys_.erase(id);
      } else {
        Key next{priority, told + 1, ++turn_, name};
        keys_[id] = next;
        order_.insert(next);
      }
    }
  }

 private:
  using Key = std::tuple<Priority, int, std::uint64_t, std::string>;  // priority, times told, turn, name
  using Id = std::pair<std::string, bool>;                            // a name's status, or its records
  static constexpr std::size_t most_looked_at = 64;

  std::set<Key> order_;
  std::map<Id, Key> keys_;
  std::uint64_t turn_ = 0;
};

}  // namespace pearspar::peers
