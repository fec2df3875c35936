// Delivers signals as events of the loop (signalfd(2)).
#pragma once

#include <functional>
#include <initializer_list>

#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::net {

// Blocks the given signals and passes each one received to a callback of the loop. Also ignores SIGPIPE. May
// be created before the loop; the watch has to end before both. Throws std::system_error.
class Signals {
 public:
  Signals(std::initializer_list<int> signals);
  [[nodiscard]] Watch watch(Loop& loop, std::function<void(int signal)> on_signal);

 private:
  Fd fd_;
};

}  // namespace pearspar::net
