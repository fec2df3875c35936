// The one loop: poll(2) over all descriptors, and one ordered set for all deadlines.
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

// Owns a descriptor's place in the poll set. The descriptor must outlive it.
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

  void set_events(short events);  // POLLIN, POLLOUT, POLLRDHUP
  void reset();

 private:
  friend class Loop;
  Watch(Loop* loop, SlotId id) : loop_(loop), id_(id) {}
  Loop* loop_ = nullptr;
  SlotId id_;
};

// Owns one deadline; ends with it.
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

class Loop {
 public:
  using OnReady = std::function<void(short events)>;
  using OnDue = std::function<void()>;

  Loop() : now_(clock_.now()) {}
  Loop(const Loop&) = delete;

  // The time of this turn, read after the wait.
  Time now() const { return now_; }
  // Read afresh, where a turn's own work must not be left out.
  Time read_clock() const { return clock_.now(); }

  [[nodiscard]] Watch watch(int fd, short events, OnReady on_ready);
  [[nodiscard]] Timer at(Time due, OnDue on_due);

  // When the next deadline falls due; Time::max() where none is set.
  Time next_due() const { return deadlines_.empty() ? Time::max() : deadlines_.begin()->first.first; }

  // Waits for the next thing to happen, `longest` at most, and lets it be handled.
  void run_once(Duration longest = std::chrono::hours(1));

 private:
  friend class Watch;
  friend class Timer;
  struct Watched {
    int fd;
    short events;
    std::shared_ptr<OnReady> on_ready;  // shared, so that a call outlives the end of its own watch
  };
  int wait_ms(Duration longest) const;

  Clock clock_;
  Time now_;
  SlotTable<Watched> watched_;
  std::map<Timer::Key, OnDue> deadlines_;
  std::uint64_t next_deadline_ = 0;
  std::vector<pollfd> poll_set_;
  std::vector<SlotId> poll_ids_;
};

}  // namespace pearspar::net
