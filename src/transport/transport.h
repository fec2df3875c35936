// What a process needs of the links to others; the real ones are transport::TcpTransport, the rig has its
// own.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearspar::transport {

using LinkId = std::uint64_t;

class Transport {
 public:
  virtual ~Transport() = default;
  // Keeps a link to each of these, and no others that were dialled.
  virtual void set_targets(const std::vector<std::string>& addresses) = 0;
  // Queues the frame, on a link that is dialled for it if need be. False where it is dropped.
  virtual bool send_to(const std::string& address, std::string_view frame) = 0;
  virtual bool send(LinkId link, std::string_view frame) = 0;
};

// Whom the wire tells what happens on it.
class TransportHandler {
 public:
  virtual ~TransportHandler() = default;
  // A link that we dialled is up.
  virtual void link_up(LinkId link, const std::string& address) = 0;
  virtual void link_frame(LinkId link, std::string_view frame) = 0;
  virtual void link_down(LinkId link) = 0;
};

}  // namespace pearspar::transport
