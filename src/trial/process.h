// One real process of the program under trial: started, signalled, its log lines read. It ends with its
// owner, whatever ends that: the kernel is told to kill it with the thread that started it.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "net/buffer.h"
#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::trial {

class Process {
 public:
  using OnLine = std::function<void(std::string_view line)>;
  using OnEnd = std::function<void(int status)>;  // as of waitpid
  // Throws std::system_error where it cannot be started.
  Process(net::Loop& loop, const std::vector<std::string>& words, int most_descriptors, OnLine on_line,
          OnEnd on_end);
  ~Process();
  Process(const Process&) = delete;

  void signal(int number);
  // While it holds, nobody reads what the process writes; its pipe then holds a page.
  void stall(bool stalls);
  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  void readable();

  pid_t pid_ = -1;
  net::Fd out_;
  net::Watch watch_;
  net::Buffer lines_;
  OnLine on_line_;
  OnEnd on_end_;
};

}  // namespace pearspar::trial
