// Connections to the system's other processes, as an interface; the simulation has its own implementation.
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
  // Keeps a link to each of these addresses, and closes all other links that were dialled.
  virtual void set_targets(const std::vector<std::string>& addresses) = 0;
  // Queues a frame on the link to the address, which is dialled if needed. Returns false where it is dropped.
  virtual bool send_to(const std::string& address, std::string_view frame) = 0;
  // Queues a frame. Returns false where the link does not exist any more.
  virtual bool send(LinkId link, std::string_view frame) = 0;
};

// Receives the events of a Transport.
class TransportHandler {
 public:
  virtual ~TransportHandler() = default;
  // A dialled link is connected.
  virtual void link_up(LinkId link, const std::string& address) = 0;
  virtual void link_frame(LinkId link, std::string_view frame) = 0;
  virtual void link_down(LinkId link) = 0;
};

}  // namespace pearspar::transport
