#include "net/signals.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace pearspar::net {

Signals::Signals(std::initializer_list<int> signals) {
  sigset_t wanted;
  sigemptyset(&wanted);
  for (int signal : signals) sigaddset(&wanted, signal);
  sigprocmask(SIG_BLOCK, &wanted, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
  fd_ = Fd(::signalfd(-1, &wanted, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd_) throw std::system_error(errno, std::generic_category(), "signalfd");
}

Watch Signals::watch(Loop& loop, std::function<void(int signal)> on_signal) {
  return loop.watch(fd_.get(), POLLIN, [this, on_signal = std::move(on_signal)](short) {
    signalfd_siginfo info{};
    while (::read(fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
      on_signal(static_cast<int>(info.ssi_signo));
  });
}

}  // namespace pearspar::net
