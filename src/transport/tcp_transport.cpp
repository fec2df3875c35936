#include "transport/tcp_transport.h"

#include <algorithm>
#include <utility>

#include "allocation/allocation.h"

namespace pearspar::transport {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t read_chunk_bytes = 64 * 1024;
constexpr int max_reads_per_event = 4;
constexpr int max_accepts_per_event = 64;
constexpr net::Duration connect_timeout = 600ms;
constexpr net::Duration min_redial_delay = 50ms;  // doubled after each failure
constexpr net::Duration max_redial_delay = 400ms;
constexpr int peer_silence_ms = 1200;               // of unacknowledged data or probes, then the link ends
constexpr net::Duration accept_retry_delay = 20ms;  // when no file descriptor is free
constexpr std::size_t length_bytes = 4;

}  // namespace

void TcpTransport::listen(const net::Address& address, const InboundLimits& limits) {
  inbound_limits_ = limits;
  listener_ = net::listen_on(address);
  listener_watch_ = loop_.watch(listener_.get(), POLLIN, [this](short) { accept_waiting(); });
}

void TcpTransport::accept_waiting() {
  for (int i = 0; i < max_accepts_per_event; ++i) {
    net::Fd fd;
    const net::AcceptResult result = net::accept_one(listener_, fd);
    if (result == net::AcceptResult::no_descriptors) return pause_accepting();
    if (result != net::AcceptResult::accepted) return;
    if (accepted_ >= inbound_limits_.max_links) continue;
    ++accepted_;
    net::set_silence_timeout(fd, peer_silence_ms);
    net::SlotId id = links_.add();
    Link& link = *links_.find(id);
    link.fd = std::move(fd);
    link.up = true;
    link.watch = loop_.watch(link.fd.get(), POLLIN, [this, id](short events) { on_ready(id, events); });
  }
}

// A listener that stays readable would keep the loop busy while no descriptor is free.
void TcpTransport::pause_accepting() {
  ++accept_failures_;
  listener_watch_.set_events(0);
  resume_accepting_ =
      loop_.at(loop_.now() + accept_retry_delay, [this] { listener_watch_.set_events(POLLIN); });
}

void TcpTransport::dial(const std::string& address) {
  Target& target = targets_[address];
  if (target.link) return;
  target.redial.reset();
  auto fail = [&] {
    target.redial_delay = std::clamp(target.redial_delay * 2, min_redial_delay, max_redial_delay);
    target.redial = loop_.at(loop_.now() + target.redial_delay, [this, address] { dial(address); });
  };
  auto parsed = net::Address::parse(address);
  int error = 0;
  net::Fd fd = parsed ? net::start_connect(*parsed, error) : net::Fd();
  if (!fd) return fail();
  net::set_silence_timeout(fd, peer_silence_ms);
  net::SlotId id = links_.add();
  Link& link = *links_.find(id);
  link.fd = std::move(fd);
  link.address = address;
  link.watch = loop_.watch(link.fd.get(), POLLOUT, [this, id](short events) { on_ready(id, events); });
  link.timer = loop_.at(loop_.now() + connect_timeout, [this, id] { close(id); });
  target.link = id;
}

void TcpTransport::set_targets(const std::vector<std::string>& addresses) {
  std::vector<net::SlotId> removed;
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (std::find(addresses.begin(), addresses.end(), it->first) != addresses.end()) {
      ++it;
      continue;
    }
    if (it->second.link) removed.push_back(it->second.link);
    it = targets_.erase(it);
  }
  for (net::SlotId id : removed) close(id);
  for (const std::string& address : addresses)
    if (!targets_.count(address)) dial(address);
}

void TcpTransport::reconnect() {
  std::vector<net::SlotId> connected;
  for (auto& [address, target] : targets_)
    if (target.link) connected.push_back(target.link);
  for (net::SlotId id : connected) close(id);
}

bool TcpTransport::send_to(const std::string& address, std::string_view frame) {
  auto found = targets_.find(address);
  if (found == targets_.end() || !found->second.link) {
    // A pending redial is not brought forward: the other end is down.
    if (found == targets_.end()) dial(address);
    found = targets_.find(address);
    if (!found->second.link) {
      ++dropped_;
      return false;
    }
  }
  queue(found->second.link, frame);
  return true;
}

bool TcpTransport::send(LinkId link, std::string_view frame) {
  if (!links_.find(slot_id(link))) return false;
  queue(slot_id(link), frame);
  return true;
}

void TcpTransport::queue(net::SlotId id, std::string_view frame) {
  Link& link = *links_.find(id);
  if (link.out.size() - link.written + frame.size() > max_queued_bytes) {
    // The reader is too slow. It gets the current state on its next connection.
    ++dropped_;
    link.timer = loop_.at(loop_.now(), [this, id] { close(id); });
    return;
  }
  for (int shift = 24; shift >= 0; shift -= 8) link.out += static_cast<char>((frame.size() >> shift) & 255);
  link.out += frame;
  update_held_bytes(link);
  // Deferred, since closing a link calls the handler, which may be the sender.
  if (held_bytes_ > memory_bound_ && !memory_timer_.pending())
    memory_timer_ = loop_.at(loop_.now(), [this] { enforce_memory_bound(); });
  // Written at the end of the loop's turn, together with other frames that are queued until then.
  if (link.up) link.watch.set_events(POLLIN | POLLOUT);
}

void TcpTransport::on_ready(net::SlotId id, short events) {
  const allocation::Activity activity("a link to another process");
  Link* link = links_.find(id);
  if (!link) return;
  if (!link->up) {
    if (net::connect_error(link->fd) != 0) return close(id);
    link->up = true;
    link->timer.reset();
    targets_[link->address].redial_delay = {};
    link->watch.set_events(POLLIN);
    handler_.link_up(link_id(id), link->address);
    link = links_.find(id);
    if (link && link->out.size() > link->written) write(id);
    return;
  }
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !read(id)) return;
  if ((events & POLLOUT) != 0 && links_.find(id)) write(id);
}

// Returns false where the link has been closed.
bool TcpTransport::read(net::SlotId id) {
  for (int i = 0; i < max_reads_per_event; ++i) {
    Link* link = links_.find(id);
    if (!link) return false;
    auto result = net::read_into(link->fd, link->in, read_chunk_bytes);
    if (result == net::IoResult::none) break;
    if (result != net::IoResult::some) {
      close(id);
      return false;
    }
    update_held_bytes(*link);
    enforce_memory_bound();
    link = links_.find(id);
    if (!link) return false;
    while (link->in.size() >= length_bytes) {
      std::string_view view = link->in.view();
      std::size_t size = 0;
      for (std::size_t b = 0; b < length_bytes; ++b) size = size << 8 | static_cast<unsigned char>(view[b]);
      if (size > (link->address.empty() ? inbound_limits_.max_frame_bytes : protocol::max_frame_bytes)) {
        close(id);
        return false;
      }
      if (view.size() < length_bytes + size) break;
      handler_.link_frame(link_id(id), view.substr(length_bytes, size));
      link = links_.find(id);
      if (!link) return false;
      link->in.consume(length_bytes + size);
      update_held_bytes(*link);
    }
    if (link->in.size() < read_chunk_bytes) break;
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
    if (link.out.capacity() > read_chunk_bytes) std::string().swap(link.out);
    link.written = 0;
    link.watch.set_events(POLLIN);
  } else {
    link.watch.set_events(POLLIN | POLLOUT);
  }
  update_held_bytes(link);
}

void TcpTransport::update_held_bytes(Link& link) {
  const std::size_t before = std::exchange(link.held, link.in.capacity() + link.out.capacity());
  held_bytes_ += link.held - before;
}

void TcpTransport::enforce_memory_bound() {
  memory_timer_.reset();
  while (held_bytes_ > memory_bound_ && close_largest()) ++closed_for_memory_;
}

bool TcpTransport::close_largest() {
  net::SlotId largest;
  std::size_t largest_held = 0;
  links_.each([&](net::SlotId id, Link& link) {
    if (link.held > largest_held) largest = id, largest_held = link.held;
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
  if (was_up) handler_.link_down(link_id(id));
  if (address.empty()) return static_cast<void>(--accepted_);
  auto found = targets_.find(address);
  if (found == targets_.end() || found->second.link != id) return;
  found->second.link = {};
  found->second.redial_delay = std::clamp(found->second.redial_delay * 2, min_redial_delay, max_redial_delay);
  found->second.redial =
      loop_.at(loop_.now() + found->second.redial_delay, [this, address] { dial(address); });
}

}  // namespace pearspar::transport
