#include "transport/tcp_transport.h"

#include <algorithm>
#include <utility>

#include "allocation/allocation.h"

namespace pearspar::transport {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t read_step = 64 * 1024;
constexpr int reads_at_once = 4;
constexpr int accepts_at_once = 64;
constexpr net::Duration connect_within = 600ms;
constexpr net::Duration least_pause = 50ms;  // before a link is dialled again; doubled each time
constexpr net::Duration most_pause = 400ms;
constexpr int silence_ms = 1200;
constexpr net::Duration accept_pause = 20ms;  // when descriptors have run out
constexpr std::size_t length_bytes = 4;

}  // namespace

void TcpTransport::listen(const net::Address& address, const Bounds& bounds) {
  bounds_ = bounds;
  listener_ = net::listen_on(address);
  listener_watch_ = loop_.watch(listener_.get(), POLLIN, [this](short) { accept_waiting(); });
}

void TcpTransport::accept_waiting() {
  for (int i = 0; i < accepts_at_once; ++i) {
    net::Fd fd;
    const net::AcceptResult result = net::accept_one(listener_, fd);
    if (result == net::AcceptResult::no_descriptors) return pause_accepting();
    if (result != net::AcceptResult::accepted) return;
    if (accepted_ >= bounds_.links) continue;
    ++accepted_;
    net::bound_silence(fd, silence_ms);
    net::SlotId id = links_.add();
    Link& link = *links_.find(id);
    link.fd = std::move(fd);
    link.up = true;
    link.watch = loop_.watch(link.fd.get(), POLLIN, [this, id](short events) { on_ready(id, events); });
  }
}

// Its readiness would spin the loop while nothing can be done about it.
void TcpTransport::pause_accepting() {
  ++accept_failures_;
  listener_watch_.want(0);
  accept_again_ = loop_.at(loop_.now() + accept_pause, [this] { listener_watch_.want(POLLIN); });
}

void TcpTransport::dial(const std::string& address) {
  Dial& dial = dials_[address];
  if (dial.link) return;
  dial.again.reset();
  auto fail = [&] {
    dial.pause = std::clamp(dial.pause * 2, least_pause, most_pause);
    dial.again = loop_.at(loop_.now() + dial.pause, [this, address] { this->dial(address); });
  };
  auto parsed = net::Address::parse(address);
  int error = 0;
  net::Fd fd = parsed ? net::start_connect(*parsed, error) : net::Fd();
  if (!fd) return fail();
  net::bound_silence(fd, silence_ms);
  net::SlotId id = links_.add();
  Link& link = *links_.find(id);
  link.fd = std::move(fd);
  link.address = address;
  link.watch = loop_.watch(link.fd.get(), POLLOUT, [this, id](short events) { on_ready(id, events); });
  link.timer = loop_.at(loop_.now() + connect_within, [this, id] { close(id); });
  dial.link = id;
}

void TcpTransport::set_targets(const std::vector<std::string>& addresses) {
  std::vector<net::SlotId> ended;
  for (auto it = dials_.begin(); it != dials_.end();) {
    if (std::find(addresses.begin(), addresses.end(), it->first) != addresses.end()) {
      ++it;
      continue;
    }
    if (it->second.link) ended.push_back(it->second.link);
    it = dials_.erase(it);
  }
  for (net::SlotId id : ended) close(id);
  for (const std::string& address : addresses)
    if (!dials_.count(address)) dial(address);
}

void TcpTransport::redial() {
  std::vector<net::SlotId> ended;
  for (auto& [address, dial] : dials_)
    if (dial.link) ended.push_back(dial.link);
  for (net::SlotId id : ended) close(id);
}

bool TcpTransport::send_to(const std::string& address, std::string_view frame) {
  auto found = dials_.find(address);
  if (found == dials_.end() || !found->second.link) {
    // A dial that waits for its pause is not hurried: the other end is down.
    if (found == dials_.end()) dial(address);
    found = dials_.find(address);
    if (!found->second.link) {
      ++dropped_;
      return false;
    }
  }
  queue(found->second.link, frame);
  return true;
}

bool TcpTransport::send(LinkId link, std::string_view frame) {
  if (!links_.find(slot(link))) return false;
  queue(slot(link), frame);
  return true;
}

void TcpTransport::queue(net::SlotId id, std::string_view frame) {
  Link& link = *links_.find(id);
  if (link.out.size() - link.written + frame.size() > most_queued) {
    // Who reads so slowly gets what stands now on a new connection.
    ++dropped_;
    link.timer = loop_.at(loop_.now(), [this, id] { close(id); });
    return;
  }
  for (int shift = 24; shift >= 0; shift -= 8) link.out += static_cast<char>((frame.size() >> shift) & 255);
  link.out += frame;
  account(link);
  // Not from within the call that sends: others may be told of the end of their link.
  if (held_bytes_ > memory_bound_ && !make_room_.pending())
    make_room_ = loop_.at(loop_.now(), [this] { make_room(); });
  // Written at the end of the turn, with whatever else is queued until then.
  if (link.up) link.watch.want(POLLIN | POLLOUT);
}

void TcpTransport::on_ready(net::SlotId id, short events) {
  const allocation::Activity activity("a link to another process");
  Link* link = links_.find(id);
  if (!link) return;
  if (!link->up) {
    if (net::connect_error(link->fd) != 0) return close(id);
    link->up = true;
    link->timer.reset();
    dials_[link->address].pause = {};
    link->watch.want(POLLIN);
    user_.link_up(number(id), link->address);
    link = links_.find(id);
    if (link && link->out.size() > link->written) write(id);
    return;
  }
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !read(id)) return;
  if ((events & POLLOUT) != 0 && links_.find(id)) write(id);
}

// False where the link is gone afterwards.
bool TcpTransport::read(net::SlotId id) {
  for (int i = 0; i < reads_at_once; ++i) {
    Link* link = links_.find(id);
    if (!link) return false;
    auto result = net::read_into(link->fd, link->in, read_step);
    if (result == net::IoResult::none) break;
    if (result != net::IoResult::some) {
      close(id);
      return false;
    }
    account(*link);
    make_room();
    link = links_.find(id);
    if (!link) return false;
    while (link->in.size() >= length_bytes) {
      std::string_view view = link->in.view();
      std::size_t size = 0;
      for (std::size_t b = 0; b < length_bytes; ++b) size = size << 8 | static_cast<unsigned char>(view[b]);
      if (size > (link->address.empty() ? bounds_.frame : protocol::max_frame_bytes)) {
        close(id);
        return false;
      }
      if (view.size() < length_bytes + size) break;
      user_.link_frame(number(id), view.substr(length_bytes, size));
      link = links_.find(id);
      if (!link) return false;
      link->in.consume(length_bytes + size);
      account(*link);
    }
    if (link->in.size() < read_step) break;
  }
  return links_.find(id) != nullptr;
}

void TcpTransport::write(net::SlotId id) {
  Link& link = *links_.find(id);
  while (link.written < link.out.size()) {
    std::size_t written = 0;
    auto result = net::write_from(link.fd, std::string_view(link.out).substr(link.written), written);
    if (result == net::IoResult::failed) return close(id);
    if (result == net::IoResult::none) break;
    link.written += written;
  }
  if (link.written == link.out.size()) {
    link.out.clear();
    if (link.out.capacity() > read_step) std::string().swap(link.out);
    link.written = 0;
    link.watch.want(POLLIN);
  } else {
    link.watch.want(POLLIN | POLLOUT);
  }
  account(link);
}

void TcpTransport::account(Link& link) {
  const std::size_t before = std::exchange(link.held, link.in.capacity() + link.out.capacity());
  held_bytes_ += link.held - before;
}

void TcpTransport::make_room() {
  make_room_.reset();
  while (held_bytes_ > memory_bound_ && close_largest()) ++closed_for_memory_;
}

bool TcpTransport::close_largest() {
  net::SlotId largest;
  std::size_t most = 0;
  links_.each([&](net::SlotId id, Link& link) {
    if (link.held > most) largest = id, most = link.held;
  });
  if (!largest) return false;
  close(largest);
  return true;
}

void TcpTransport::close(net::SlotId id) {
  Link* link = links_.find(id);
  if (!link) return;
  std::string address = link->address;
  bool was_up = link->up;
  held_bytes_ -= link->held;
  links_.release(id);
  if (was_up) user_.link_down(number(id));
  if (address.empty()) return static_cast<void>(--accepted_);
  auto dial = dials_.find(address);
  if (dial == dials_.end() || dial->second.link != id) return;
  dial->second.link = {};
  dial->second.pause = std::clamp(dial->second.pause * 2, least_pause, most_pause);
  dial->second.again = loop_.at(loop_.now() + dial->second.pause, [this, address] { this->dial(address); });
}

}  // namespace pearspar::transport
