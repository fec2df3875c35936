#include "net/loop.h"

#include <algorithm>
#include <cmath>

namespace pearspar::net {

void Watch::set_events(short events) {
  if (!loop_) return;
  if (auto* watched = loop_->watched_.find(id_)) watched->events = events;
}

void Watch::reset() {
  if (Loop* loop = std::exchange(loop_, nullptr)) loop->watched_.release(id_);
}

bool Timer::pending() const { return loop_ && loop_->deadlines_.count(key_) != 0; }

void Timer::reset() {
  if (Loop* loop = std::exchange(loop_, nullptr)) loop->deadlines_.erase(key_);
}

Watch Loop::watch(int fd, short events, OnReady on_ready) {
  return Watch(this, watched_.add(Watched{fd, events, std::make_shared<OnReady>(std::move(on_ready))}));
}

Timer Loop::at(Time due, OnDue on_due) {
  Timer::Key key{due, ++next_deadline_};
  deadlines_.emplace(key, std::move(on_due));
  return Timer(this, key);
}

// poll(2) takes whole milliseconds. Rounded up: a wait that ends too early would find no timer due, and the
// loop would spin.
int Loop::wait_ms(Duration max_wait) const {
  Duration wait = max_wait;
  if (!deadlines_.empty()) wait = std::min(wait, deadlines_.begin()->first.first - clock_.now());
  return static_cast<int>(std::ceil(std::clamp(wait.count(), 0.0, 3600.0) * 1000));
}

void Loop::run_once(Duration max_wait) {
  poll_set_.clear();
  poll_ids_.clear();
  watched_.each([&](SlotId id, Watched& watched) {
    poll_set_.push_back({watched.fd, watched.events, 0});
    poll_ids_.push_back(id);
  });
  int ready = kernel_override ? kernel_override->poll(poll_set_.data(), poll_set_.size())
                              : ::poll(poll_set_.data(), poll_set_.size(), wait_ms(max_wait));
  now_ = clock_.now();
  for (std::size_t i = 0; ready > 0 && i < poll_set_.size(); ++i) {
    if (poll_set_[i].revents == 0) continue;
    --ready;
    // An earlier callback of this iteration may have ended this watch and reused its descriptor number.
    Watched* watched = watched_.find(poll_ids_[i]);
    if (!watched) continue;
    auto on_ready = watched->on_ready;
    (*on_ready)(poll_set_[i].revents);
  }
  // Timers set by the callbacks below wait for the next iteration, even if they are due already.
  const std::uint64_t last = next_deadline_;
  while (!deadlines_.empty() && deadlines_.begin()->first.first <= now_ &&
         deadlines_.begin()->first.second <= last) {
    auto due = deadlines_.extract(deadlines_.begin());
    due.mapped()();
  }
}

}  // namespace pearspar::net
