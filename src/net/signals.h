// Signals as descriptor events, so that the loop hears of them like of anything else.
#pragma once

#include <functional>
#include <initializer_list>

#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::net {

// Blocks the signals for the process and calls `on_signal` from the loop with each that comes. Throws
// std::system_error.
class Signals {
 public:
  Signals(std::initializer_list<int> signals);
  void watch(Loop& loop, std::function<void(int signal)> on_signal);

 private:
  Fd fd_;
  Watch watch_;
};

}  // namespace pearspar::net
