// Signals as descriptor events, so that the loop hears of them like of anything else.
#pragma once

#include <functional>
#include <initializer_list>

#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::net {

// Blocks the signals for the process and calls `on_signal` from the loop with each that comes. May stand
// before the loop does; the watch is the caller's and ends before both. Throws std::system_error.
class Signals {
 public:
  Signals(std::initializer_list<int> signals);
  [[nodiscard]] Watch watch(Loop& loop, std::function<void(int signal)> on_signal);

 private:
  Fd fd_;
};

}  // namespace pearspar::net
