// A state in bytes: equal for equal states only. A search over states recognises by it what it has seen.
#pragma once

#include <string>
#include <string_view>
#include <type_traits>

namespace pearspar::rollout {

class StateDescription {
 public:
  template <typename Number>
  void number(Number value) {
    static_assert(std::is_arithmetic_v<Number>);
    bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
  }
  void text(std::string_view value) {
    number(value.size());
    bytes_.append(value);
  }
  template <typename Time>
  void time(Time value) {
    number(value.time_since_epoch().count());
  }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

}  // namespace pearspar::rollout
