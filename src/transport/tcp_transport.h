// Held connections between the system's own processes: frames of four bytes of length, greatest first, and as
// many bytes. Those that we dial are dialled again when they end; what is queued on one that ends is lost.
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
  TcpTransport(net::Loop& loop, TransportHandler& user) : loop_(loop), user_(user) {}

  // What others may open here: so many links, with frames of so many bytes.
  struct Bounds {
    std::size_t links = 8192;
    std::size_t frame = protocol::max_frame_bytes;
  };
  // Bytes held for all links together, at the most: frames that are coming and what has not been taken yet.
  // Beyond them the link that holds the most is closed; one that we dialled comes up again.
  void set_memory_bound(std::size_t bytes) { memory_bound_ = bytes; }
  std::size_t held_bytes() const { return held_bytes_; }
  std::uint64_t closed_for_memory() const { return closed_for_memory_; }
  // Closes the link that holds the most; false where none holds anything.
  bool close_largest();

  // Throws std::system_error where the address cannot be had.
  void listen(const net::Address& address, const Bounds& bounds);
  void listen(const net::Address& address) { listen(address, Bounds()); }
  void set_targets(const std::vector<std::string>& addresses) override;
  bool send_to(const std::string& address, std::string_view frame) override;
  bool send(LinkId link, std::string_view frame) override;
  // Ends every link that we dialled; they come up again.
  void redial();
  std::size_t count() const { return links_.size(); }
  std::uint64_t dropped() const { return dropped_; }
  // For want of descriptors.
  std::uint64_t accept_failures() const { return accept_failures_; }

 private:
  struct Link {
    net::Fd fd;
    net::Watch watch;
    net::Timer timer;     // while it comes up
    std::string address;  // of one that we dialled
    bool up = false;
    net::Buffer in;
    std::string out;
    std::size_t written = 0;
    std::size_t held = 0;  // as counted in held_bytes_
  };
  struct Dial {
    net::SlotId link;
    net::Timer again;
    net::Duration pause{};
  };
  static constexpr std::size_t most_queued = 8 << 20;  // bytes on one link

  static LinkId number(net::SlotId id) { return std::uint64_t{id.index} << 32 | id.generation; }
  static net::SlotId slot(LinkId id) {
    return {static_cast<std::uint32_t>(id >> 32), static_cast<std::uint32_t>(id)};
  }
  void accept_waiting();
  void pause_accepting();
  void dial(const std::string& address);
  void queue(net::SlotId id, std::string_view frame);
  void on_ready(net::SlotId id, short events);
  bool read(net::SlotId id);
  void write(net::SlotId id);
  void account(Link& link);
  void make_room();
  void close(net::SlotId id);

  net::Loop& loop_;
  TransportHandler& user_;
  net::Fd listener_;
  net::Watch listener_watch_;
  net::Timer accept_again_;
  Bounds bounds_;
  std::size_t accepted_ = 0;
  net::SlotTable<Link> links_;
  std::map<std::string, Dial> dials_;
  std::size_t memory_bound_ = std::numeric_limits<std::size_t>::max();
  std::size_t held_bytes_ = 0;
  net::Timer make_room_;
  std::uint64_t closed_for_memory_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t accept_failures_ = 0;
};

}  // namespace pearspar::transport
