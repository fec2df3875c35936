// TCP connections between the system's own processes. A frame is a length of four bytes, big-endian, and that
// many bytes. Dialled links are dialled again when they end; frames that are queued on a link that ends are
// lost.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"
#include "net/slots.h"
#include "net/socket.h"
#include "protocol/messages.h"
#include "transport/transport.h"

namespace pearspar::transport {

class TcpTransport : public Transport {
 public:
  TcpTransport(net::Loop& loop, TransportHandler& handler) : loop_(loop), handler_(handler) {}

  // Limits on the links that other processes open.
  struct InboundLimits {
    std::size_t max_links = 8192;
    std::size_t max_frame_bytes = protocol::max_frame_bytes;
  };
  // Bounds the buffers of all links together. Beyond it the link with the largest buffers is closed; if it
  // was dialled, it is dialled again.
  void set_memory_bound(std::size_t bytes) { memory_bound_ = bytes; }
  std::size_t held_bytes() const { return held_bytes_; }
  std::uint64_t closed_for_memory() const { return closed_for_memory_; }
  // Closes the link with the largest buffers. Returns false where all buffers are empty.
  bool close_largest();

  // Throws std::system_error where the address cannot be bound.
  void listen(const net::Address& address, const InboundLimits& limits);
  void listen(const net::Address& address) { listen(address, InboundLimits()); }
  void set_targets(const std::vector<std::string>& addresses) override;
  bool send_to(const std::string& address, std::string_view frame) override;
  bool send(LinkId link, std::string_view frame) override;
  // Closes all dialled links; they are dialled again.
  void reconnect();
  std::size_t count() const { return links_.size(); }
  std::uint64_t dropped() const { return dropped_; }
  // Connections that were not accepted because no file descriptor was free.
  std::uint64_t accept_failures() const { return accept_failures_; }

 private:
  struct Link {
    net::Fd fd;
    net::Watch watch;
    net::Timer timer;     // bounds the connection attempt; afterwards a pending close
    std::string address;  // of a dialled link; empty = accepted
    bool up = false;
    net::Buffer in;
    std::string out;
    std::size_t written = 0;  // bytes of `out`
    std::size_t held = 0;     // share of held_bytes_
  };
  struct Target {
    net::SlotId link;
    net::Timer redial;
    net::Duration redial_delay{};
  };
  static constexpr std::size_t max_queued_bytes = 8 << 20;  // on one link

  static LinkId link_id(net::SlotId id) { return std::uint64_t{id.index} << 32 | id.generation; }
  static net::SlotId slot_id(LinkId id) {
    return {static_cast<std::uint32_t>(id >> 32), static_cast<std::uint32_t>(id)};
  }
  void accept_waiting();
  void pause_accepting();
  void dial(const std::string& address);
  void queue(net::SlotId id, std::string_view frame);
  void on_ready(net::SlotId id, short events);
  bool read(net::SlotId id);
  void write(net::SlotId id);
  void update_held_bytes(Link& link);
  void enforce_memory_bound();
  void close(net::SlotId id);

  net::Loop& loop_;
  TransportHandler& handler_;
  net::Fd listener_;
  net::Watch listener_watch_;
  net::Timer resume_accepting_;
  InboundLimits inbound_limits_;
  std::size_t accepted_ = 0;
  net::SlotTable<Link> links_;
  std::map<std::string, Target> targets_;
  std::size_t memory_bound_ = std::numeric_limits<std::size_t>::max();
  std::size_t held_bytes_ = 0;
  net::Timer memory_timer_;
  std::uint64_t closed_for_memory_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t accept_failures_ = 0;
};

}  // namespace pearspar::transport
