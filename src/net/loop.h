// The event loop: poll(2) over all watched descriptors, and an ordered set of timers. Single-threaded.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "net/clock.h"
#include "net/slots.h"

namespace pearspar::net {

class Loop;

// A registration of a descriptor with the loop; ends when it is destroyed. The descriptor must outlive it.
class Watch {
 public:
  Watch() = default;
  Watch(Watch&& other) noexcept : loop_(std::exchange(other.loop_, nullptr)), id_(other.id_) {}
  Watch& operator=(Watch&& other) noexcept {
    std::swap(loop_, other.loop_);
    std::swap(id_, other.id_);
    return *this;
  }
  ~Watch() { reset(); }

  // Sets the events to wait for: POLLIN, POLLOUT, POLLRDHUP.
  void set_events(short events);
  void reset();

 private:
  friend class Loop;
  Watch(Loop* loop, SlotId id) : loop_(loop), id_(id) {}
  Loop* loop_ = nullptr;
  SlotId id_;
};

// A pending callback; cancelled when this is destroyed.
class Timer {
 public:
  Timer() = default;
  Timer(Timer&& other) noexcept : loop_(std::exchange(other.loop_, nullptr)), key_(other.key_) {}
  Timer& operator=(Timer&& other) noexcept {
    std::swap(loop_, other.loop_);
    std::swap(key_, other.key_);
    return *this;
  }
  ~Timer() { reset(); }

  bool pending() const;
  void reset();

 private:
  friend class Loop;
  using Key = std::pair<Time, std::uint64_t>;
  Timer(Loop* loop, Key key) : loop_(loop), key_(key) {}
  Loop* loop_ = nullptr;
  Key key_{};
};

// Waits for descriptors and timers and runs their callbacks.
class Loop {
 public:
  using OnReady = std::function<void(short events)>;
  using OnDue = std::function<void()>;

  Loop() : now_(clock_.now()) {}
  Loop(const Loop&) = delete;

  // The time of this iteration, read after the wait.
  Time now() const { return now_; }
  // Reads the clock again, for callers that have to include the time spent in this iteration.
  Time read_clock() const { return clock_.now(); }

  // Calls `on_ready` with the poll events of `fd` while the returned watch exists.
  [[nodiscard]] Watch watch(int fd, short events, OnReady on_ready);
  // Calls `on_due` once at `due`, or later, unless the returned timer is destroyed before.
  [[nodiscard]] Timer at(Time due, OnDue on_due);

  // When the next timer is due; Time::max() if there is none.
  Time next_due() const { return deadlines_.empty() ? Time::max() : deadlines_.begin()->first.first; }

  // One iteration: waits up to `max_wait` for an event or a timer and runs the callbacks.
  void run_once(Duration max_wait = std::chrono::hours(1));

 private:
  friend class Watch;
  friend class Timer;
  struct Watched {
    int fd;
    short events;
    std::shared_ptr<OnReady> on_ready;  // shared, so that a callback may end its own watch
  };
  int wait_ms(Duration max_wait) const;

  Clock clock_;
  Time now_;
  SlotTable<Watched> watched_;
  std::map<Timer::Key, OnDue> deadlines_;
  std::uint64_t next_deadline_ = 0;
  std::vector<pollfd> poll_set_;
  std::vector<SlotId> poll_ids_;
};

}  // namespace pearspar::net
