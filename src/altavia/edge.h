// A process that clients reach: the door with its gateway, the check of its readiness, the links to the core,
// and how it ends.
#pragma once

#include <string>
#include <vector>

#include "altavia/door.h"
#include "clients/http_server.h"
#include "coldai/settings.h"
#include "metrics/metrics.h"
#include "net/loop.h"
#include "transport/tcp_transport.h"

namespace pearspar::altavia {

class Edge : private transport::TransportHandler, private clients::RequestHandler {
 public:
  // Throws std::system_error where an address cannot be had.
  Edge(net::Loop& loop, const coldai::Settings& settings, std::uint64_t life);

  void after_turn();
  void settings_changed(const coldai::Settings& settings);
  // No more ready; serves on while clients go elsewhere, then ends.
  void stop();
  bool stopped() const { return ended_; }
  // Gives up what one connection holds; false where nothing is left to give up.
  bool shed() { return door_.front().shed() || links_.close_largest(); }
  // Bytes that others make this process hold.
  std::size_t client_bytes() const { return door_.front().held_bytes() + check_.held_bytes(); }
  std::size_t server_bytes() const { return door_.nodes().held_bytes(); }
  std::size_t link_bytes() const { return links_.held_bytes(); }
  bool ready() const { return !stopping_ && door_.gateway().ready(); }

 private:
  // The check of our readiness.
  void request_arrived(net::SlotId connection, const http::Message& message) override;
  void client_left(net::SlotId) override {}
  void link_up(transport::LinkId link, const std::string& address) override;
  void link_frame(transport::LinkId link, std::string_view frame) override;
  void link_down(transport::LinkId link) override;

  // Where other edges may ask us; empty where the address cannot be had.
  std::string listen_to_edges();

  void take_configuration();
  void each_second();
  void start_draining();
  std::vector<metrics::Sample> samples() const;

  net::Loop& loop_;
  coldai::Settings settings_;
  clients::HttpServer check_;
  transport::TcpTransport links_;
  Door door_;
  net::Timer second_;
  net::Timer due_;
  bool stopping_ = false;
  bool ended_ = false;
  net::Time stop_at_{};
  net::Time end_at_{};            // open requests are answered, whatever they wait for
  net::Time answers_taken_by_{};  // of those answers
};

}  // namespace pearspar::altavia
