#include "simulation/streams.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace pearspar::simulation {

// End

std::string End::take(std::size_t most) {
  std::string taken = in_.substr(0, most);
  in_.erase(0, taken.size());
  // The other side hears of the room that this makes.
  if (!taken.empty() && !hushed_ && state_ == State::up)
    streams_.world_.in(streams_.delay(), [peer = peer_] {
      if (peer) peer->on_change();
    });
  return taken;
}

std::size_t End::room() const {
  if (state_ != State::up || finished_) return 0;
  std::size_t used = under_way_ + swallowed_ + (peer_ ? peer_->in_.size() : 0);
  return streams_.window_ > used ? streams_.window_ - used : 0;
}

// In order with all that was sent before.
void End::send(std::function<void(End&)> what) {
  if (hushed_) return;
  World& world = streams_.world_;
  free_ = std::max(free_, world.now() + streams_.delay());
  world.at(free_, [self = weak_from_this(), to = peer_, what = std::move(what)] {
    auto from = self.lock();
    if (to && !to->hushed_ && !(from && from->hushed_)) what(*to);
  });
}

std::size_t End::write(std::string_view bytes) {
  std::size_t size = std::min(room(), bytes.size());
  if (size < bytes.size()) ++streams_.counters.held_up;
  if (size == 0) return 0;
  if (hushed_) {
    // Nobody acknowledges it: whoever has bounded the silence is told in time.
    if (swallowed_ == 0 && silence_ > Duration{})
      streams_.world_.in(silence_, [self = weak_from_this()] {
        if (auto end = self.lock()) end->broken();
      });
    swallowed_ += size;
    return size;
  }
  streams_.counters.bytes += size;
  under_way_ += size;
  // In one piece, or cut anywhere.
  std::size_t cut = streams_.world_.chance(0.3) ? streams_.world_.below(size) : 0;
  for (std::string_view piece : {bytes.substr(0, cut), bytes.substr(cut, size - cut)}) {
    if (piece.empty()) continue;
    send([piece = std::string(piece), self = weak_from_this()](End& to) {
      if (auto from = self.lock()) from->under_way_ -= std::min(from->under_way_, piece.size());
      to.arrive(piece);
    });
  }
  return size;
}

void End::arrive(std::string bytes) {
  if (closed_) {
    // Nobody is there any more: the sender is told by a reset.
    return send([](End& to) { to.broken(); });
  }
  if (state_ != State::up || peer_ended_) return;
  in_ += bytes;
  on_change();
}

void End::broken() {
  if (state_ == State::reset || state_ == State::refused) return;
  if (streams_.world_.chance(0.5)) in_.clear();
  state_ = State::reset;
  on_change();
}

void End::finish() {
  if (finished_ || state_ != State::up) return;
  finished_ = true;
  ++streams_.counters.ends;
  send([](End& to) {
    if (to.state_ != State::up) return;
    to.peer_ended_ = true;
    to.on_change();
  });
}

void End::reset() {
  if (state_ != State::up || closed_) return;
  closed_ = finished_ = true;
  ++streams_.counters.resets;
  send([](End& to) { to.broken(); });
  state_ = State::reset;
  part();
}

void End::close() {
  on_change = [] {};
  if (closed_) return;
  if (state_ == State::up && !in_.empty()) return reset();
  finish();
  closed_ = true;
  part();
}

// With both closed nothing can happen any more between them.
void End::part() {
  if (!peer_ || !peer_->closed_) return;
  peer_->peer_.reset();
  peer_.reset();
}

void End::hush() {
  ++streams_.counters.silences;
  hushed_ = true;
  if (peer_) peer_->hushed_ = true;
}

// Streams

Streams::~Streams() {
  for (const auto& each : all_)
    if (EndPtr end = each.lock(); end && end->peer_) {
      end->peer_->peer_.reset();
      end->peer_.reset();
    }
}

EndPtr Streams::connect(const std::string& address) {
  EndPtr near(new End(*this));
  world_.in(delay(), [this, near, address] {
    if (near->closed_) return;
    Reach how = reach(address);
    if (how == Reach::hung) return static_cast<void>(++counters.hung);
    auto listener = listeners_.find(address);
    bool up = how == Reach::open && listener != listeners_.end();
    ++(up ? counters.opened : counters.refused);
    if (up) {
      EndPtr far(new End(*this));
      far->state_ = End::State::up;
      far->peer_ = near;
      near->peer_ = far;
      all_.push_back(near);
      listener->second(far);
    }
    world_.in(delay(), [near, up] {
      if (near->state_ != End::State::coming) return;
      near->state_ = up ? End::State::up : End::State::refused;
      if (up && near->closed_) {
        near->closed_ = false;
        near->reset();
      }
      near->on_change();
    });
  });
  return near;
}

// Host

Host::~Host() {
  *alive_ = false;
  while (!open_.empty()) close(open_.begin()->first);
}

int Host::add(Descriptor descriptor) {
  // The lowest that is free, as the system does it: a number that was closed is soon another's.
  int fd = first_fd;
  for (const auto& [used, each] : open_) {
    if (used != fd) break;
    ++fd;
  }
  if (descriptor.end)
    descriptor.end->on_change = [this, alive = alive_] {
      if (*alive) wake();
    };
  open_.emplace(fd, std::move(descriptor));
  return fd;
}

short Host::ready(const Descriptor& descriptor) const {
  if (descriptor.listening) return descriptor.listening->waiting.empty() ? 0 : POLLIN;
  const End& end = *descriptor.end;
  int events = 0;
  switch (end.state()) {
    case End::State::coming:
      return 0;
    case End::State::refused:
    case End::State::reset:
      return POLLIN | POLLOUT | POLLERR | POLLHUP | POLLRDHUP;
    case End::State::up:
      break;
  }
  if (!end.arrived().empty() || end.ended()) events |= POLLIN;
  if (end.ended()) events |= POLLRDHUP;
  if (end.ended() && end.finished_) events |= POLLHUP;
  if (end.room() > 0) events |= POLLOUT;
  return static_cast<short>(events);
}

int Host::poll(pollfd* set, std::size_t size) {
  int count = 0;
  for (std::size_t i = 0; i < size; ++i) {
    short events = ready(at(set[i].fd));
    set[i].revents = static_cast<short>(events & (set[i].events | POLLERR | POLLHUP));
    if (set[i].revents != 0) ++count;
  }
  was_ready_ = count > 0;
  return count;
}

int Host::listen(const net::Address& address) {
  auto listening = std::make_shared<Listening>();
  listening->address = address;
  streams_.listen(address.text(), [this, listening, alive = alive_](EndPtr end) {
    if (!*alive) return end->reset();
    listening->waiting.emplace(++next_, std::move(end));
    wake();
  });
  return add({nullptr, listening});
}

net::Address Host::local_address(int fd) {
  const Descriptor& descriptor = at(fd);
  return descriptor.listening ? descriptor.listening->address : net::Address{};
}

net::AcceptResult Host::accept(int listener, int& accepted) {
  auto listening = at(listener).listening;
  if (listening->waiting.empty()) return net::AcceptResult::none;
  EndPtr end = std::move(listening->waiting.begin()->second);
  listening->waiting.erase(listening->waiting.begin());
  accepted = add({std::move(end), nullptr});
  return net::AcceptResult::accepted;
}

int Host::connect(const net::Address& address, int& error) {
  error = 0;
  return add({streams_.connect(address.text()), nullptr});
}

int Host::connect_error(int fd) { return at(fd).end->state() == End::State::up ? 0 : ECONNREFUSED; }

void Host::set_silence_timeout(int fd, int ms) {
  at(fd).end->set_silence_timeout(std::chrono::milliseconds(ms));
}

net::IoResult Host::read(int fd, char* into, std::size_t most, std::size_t& got) {
  End& end = *at(fd).end;
  got = 0;
  if (!end.arrived().empty()) {
    std::string bytes = end.take(most);
    got = bytes.size();
    if (into) std::memcpy(into, bytes.data(), got);
    return net::IoResult::some;
  }
  if (end.state() != End::State::up) return net::IoResult::failed;
  return end.ended() ? net::IoResult::ended : net::IoResult::none;
}

net::IoResult Host::write(int fd, std::string_view bytes, std::size_t& written) {
  End& end = *at(fd).end;
  written = 0;
  if (end.state() != End::State::up || end.finished_) return net::IoResult::failed;
  written = end.write(bytes);
  return written > 0 ? net::IoResult::some : net::IoResult::none;
}

void Host::end_sending(int fd) { at(fd).end->finish(); }

void Host::close(int fd) {
  auto found = open_.find(fd);
  if (found == open_.end()) return;
  if (found->second.listening) {
    streams_.stop(found->second.listening->address.text());
    for (auto& [number, end] : found->second.listening->waiting) end->reset();
  } else {
    found->second.end->close();
  }
  open_.erase(found);
}

}  // namespace pearspar::simulation
