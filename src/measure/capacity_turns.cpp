// What one turn of a process's loop costs by the number of connections that say nothing: real sockets, in
// processor time of this thread, so that the machine's load does not count.
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>

#include "measure/capacity.h"
#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::measure {
namespace {

double thread_s() {
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

}  // namespace

double turn_us(int idle) {
  net::Loop loop;
  std::vector<net::Fd> ours, theirs;
  std::vector<net::Watch> watches;
  net::Fd listener = net::listen_on({0x7f000001, 0});
  for (int i = 0; i < idle; ++i) {
    int error = 0;
    net::Fd near, far = net::start_connect(net::local_address(listener), error);
    if (!far) return 0;
    while (net::accept_one(listener, near) == net::AcceptResult::none) ::usleep(50);
    if (!near) return 0;
    watches.push_back(loop.watch(near.get(), POLLIN, [](short) {}));
    ours.push_back(std::move(near)), theirs.push_back(std::move(far));
  }
  net::Fd ready(::eventfd(1, EFD_NONBLOCK));
  watches.push_back(loop.watch(ready.get(), POLLIN, [](short) {}));
  std::vector<double> costs;
  for (int round = 0; round < 9; ++round) {
    int turns = std::max(20, 200000 / (idle + 100));
    double from = thread_s();
    for (int i = 0; i < turns; ++i) loop.run_once();
    costs.push_back((thread_s() - from) * 1e6 / turns);
  }
  std::sort(costs.begin(), costs.end());
  return costs[costs.size() / 2];
}

}  // namespace pearspar::measure
