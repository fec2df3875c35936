#include "trial/stream_relay.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <vector>

namespace pearspar::trial {
namespace {

using namespace std::chrono_literals;

constexpr net::Duration ends_after = 1200ms;      // a connection whose bytes are not acknowledged
constexpr net::Duration refused_after = 600ms;    // one that does not come up
constexpr std::size_t most_waiting = 256 * 1024;  // bytes one way
constexpr std::size_t read_step = 64 * 1024;

std::uint32_t peer_of(const net::Fd& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getpeername(fd.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0) return 0;
  return ntohl(address.sin_addr.s_addr);
}

}  // namespace

void StreamRelay::add(const net::Address& known, const net::Address& behind) {
  Place& place = places_[known.host];
  place.behind = behind;
  place.fd = net::listen_on(known);
  place.watch =
      loop_.watch(place.fd.get(), POLLIN, [this, host = known.host](short) { accept_waiting(host); });
}

bool StreamRelay::cut_from(const Pair& pair, int end) const {
  return cuts_.count(end == 0 ? std::pair(pair.from, pair.to) : std::pair(pair.to, pair.from)) > 0;
}

bool StreamRelay::held(const Pair& pair) const {
  for (auto way : {std::pair(pair.from, pair.to), std::pair(pair.to, pair.from)})
    if (auto found = cuts_.find(way); found != cuts_.end() && !found->second) return false;
  return true;
}

void StreamRelay::accept_waiting(std::uint32_t to) {
  Place& place = places_[to];
  for (net::Fd fd; net::accept_one(place.fd, fd) == net::AcceptResult::accepted;) {
    ++counters_.came;
    const Id id = next_++;
    Pair& pair = pairs_[id];
    pair.from = peer_of(fd);
    pair.to = to;
    pair.behind = place.behind;
    pair.ends[0].fd = std::move(fd);
    if (passes(pair))
      join(id);
    else
      close_later(id, refused_after);
  }
}

void StreamRelay::join(Id id) {
  Pair& pair = pairs_[id];
  pair.timer.reset();
  int error = 0;
  pair.ends[1].fd = net::start_connect(pair.behind, error);
  if (!pair.ends[1].fd) return close_later(id, 0s);
  ++counters_.joined;
  for (int end = 0; end < 2; ++end)
    pair.ends[end].watch = loop_.watch(pair.ends[end].fd.get(), end == 0 ? POLLIN : POLLOUT,
                                       [this, id, end](short events) { on_ready(id, end, events); });
  pair.timer = loop_.at(loop_.now() + refused_after, [this, id] { close_later(id, 0s); });
}

void StreamRelay::on_ready(Id id, int end, short events) {
  Pair& pair = pairs_.at(id);
  if (!pair.up) {
    if (end == 0) return arrange(id);  // waits until the other end is there
    if (net::connect_error(pair.ends[1].fd) != 0) return close_later(id, 0s);
    pair.up = true;
    pair.timer.reset();
    if (!passes(pair) && !held(pair)) close_later(id, ends_after);
    return arrange(id);
  }
  End &from = pair.ends[end], &to = pair.ends[1 - end];
  if (cut_from(pair, end)) {
    // Nobody is told of its end before the cut is over.
    if ((events & (POLLHUP | POLLERR)) != 0) from.over = true;
  } else if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && to.out.size() < most_waiting) {
    net::Buffer in;
    const auto got = net::read_into(from.fd, in, read_step);
    if (got == net::IoResult::some) {
      counters_.bytes += in.size();
      to.out += in.view();
    } else if (got != net::IoResult::none) {
      return close_later(id, 0s);
    }
  }
  arrange(id);
}

// Writes what may be written, and waits for what may come.
void StreamRelay::arrange(Id id) {
  Pair& pair = pairs_.at(id);
  if (!pair.up) {
    pair.ends[0].watch.set_events(0);
    return;
  }
  for (int end = 0; end < 2; ++end) {
    End &here = pair.ends[end], &there = pair.ends[1 - end];
    while (!here.out.empty() && !cut_from(pair, 1 - end)) {
      std::size_t written = 0;
      const auto put = net::write_from(here.fd, here.out, written);
      if (put == net::IoResult::failed) return close_later(id, 0s);
      here.out.erase(0, written);
      if (put == net::IoResult::none || written == 0) break;
    }
    short events = 0;
    if (!cut_from(pair, end) && there.out.size() < most_waiting) events |= POLLIN;
    if (!cut_from(pair, 1 - end) && !here.out.empty()) events |= POLLOUT;
    if (here.over && cut_from(pair, end))
      here.watch.reset();
    else
      here.watch.set_events(events);
  }
}

void StreamRelay::close_later(Id id, net::Duration after) {
  pairs_.at(id).timer = loop_.at(loop_.now() + after, [this, id] {
    const auto found = pairs_.find(id);
    if (found == pairs_.end()) return;
    // Its timer is what runs: it goes last.
    Pair gone = std::move(found->second);
    pairs_.erase(found);
    ++counters_.broken;
  });
}

void StreamRelay::look_at(std::uint32_t one, std::uint32_t other) {
  std::vector<Id> these;
  for (const auto& [id, pair] : pairs_)
    if ((pair.from == one && pair.to == other) || (pair.from == other && pair.to == one)) these.push_back(id);
  for (Id id : these) {
    Pair& pair = pairs_.at(id);
    if (!pair.up) {
      if (passes(pair) && !pair.ends[1].fd) join(id);
    } else if (!held(pair)) {
      close_later(id, ends_after);
    } else if ((pair.ends[0].over || pair.ends[1].over) && passes(pair)) {
      close_later(id, 0s);
    } else {
      pair.timer.reset();
      arrange(id);
    }
  }
}

void StreamRelay::cut(std::uint32_t from, std::uint32_t to, bool holds) {
  cuts_[{from, to}] = holds;
  look_at(from, to);
}

void StreamRelay::heal(std::uint32_t from, std::uint32_t to) {
  cuts_.erase({from, to});
  look_at(from, to);
}

}  // namespace pearspar::trial
