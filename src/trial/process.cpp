#include "trial/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace pearspar::trial {

Process::Process(net::Loop& loop, const std::vector<std::string>& words, int most_descriptors, OnLine on_line,
                 OnEnd on_end)
    : on_line_(std::move(on_line)), on_end_(std::move(on_end)) {
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
  out_ = net::Fd(ends[0]);
  net::Fd in(ends[1]);
  ::fcntl(out_.get(), F_SETFL, O_NONBLOCK);
  ::fcntl(out_.get(), F_SETPIPE_SZ, 1 << 20);
  std::vector<char*> arguments;
  for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);  // it ended in between
    ::dup2(in.get(), STDOUT_FILENO);
    ::dup2(in.get(), STDERR_FILENO);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    if (most_descriptors > 0) {
      const rlimit limit{static_cast<rlim_t>(most_descriptors), static_cast<rlim_t>(most_descriptors)};
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  watch_ = loop.watch(out_.get(), POLLIN, [this](short) { readable(); });
}

Process::~Process() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void Process::signal(int number) {
  if (pid_ > 0) ::kill(pid_, number);
}

void Process::stall(bool stalls) {
  if (pid_ <= 0) return;
  constexpr int narrow = 4096, wide = 1 << 20;
  ::fcntl(out_.get(), F_SETPIPE_SZ, stalls ? narrow : wide);
  watch_.set_events(stalls ? 0 : POLLIN);
}

void Process::readable() {
  char bytes[65536];
  const ssize_t got = ::read(out_.get(), bytes, sizeof bytes);
  if (got < 0) return;
  if (got > 0) {
    char* at = lines_.grow(static_cast<std::size_t>(got));
    std::copy(bytes, bytes + got, at);
    lines_.commit(static_cast<std::size_t>(got));
    std::string_view all = lines_.view();
    std::size_t taken = 0;
    for (std::size_t end; (end = all.find('\n', taken)) != std::string_view::npos; taken = end + 1)
      on_line_(all.substr(taken, end - taken));
    lines_.consume(taken);
    return;
  }
  // Its end of the pipe is closed, so it has ended or is about to.
  watch_.reset();
  int status = 0;
  ::waitpid(pid_, &status, 0);
  pid_ = -1;
  on_end_(status);
}

}  // namespace pearspar::trial
