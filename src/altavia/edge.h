// A process that clients reach: the door with its gateway, the check of its readiness, the links to the core,
// and how it ends.
#pragma once

#include <string>
#include <vector>

#include "altavia/reverse_proxy.h"
#include "clients/front.h"
#include "metrics/metrics.h"
#include "net/loop.h"
#include "process_settings/settings.h"
#include "transport/tcp_transport.h"

namespace pearspar::altavia {

class Edge : private transport::TransportHandler, private clients::FrontUser {
 public:
  // Throws std::system_error where an address cannot be had.
  Edge(net::Loop& loop, const process_settings::Settings& settings, std::uint64_t life);

  void after_turn();
  void settings_changed(const process_settings::Settings& settings);
  // No more ready; serves on while clients go elsewhere, then ends.
  void stop();
  bool stopped() const { return ended_; }
  // Gives up what one connection holds; false where nothing is left to give up.
  bool shed() { return proxy_.front().shed() || links_.close_largest(); }
  // Bytes that others make this process hold.
  std::size_t client_bytes() const { return proxy_.front().held_bytes() + check_.held_bytes(); }
  std::size_t server_bytes() const { return proxy_.nodes().held_bytes(); }
  std::size_t link_bytes() const { return links_.held_bytes(); }
  bool ready() const { return !stopping_ && proxy_.gateway().ready(); }

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
  void wind_down();
  std::vector<metrics::Sample> samples() const;

  net::Loop& loop_;
  process_settings::Settings settings_;
  clients::Front check_;
  transport::TcpTransport links_;
  ReverseProxy proxy_;
  net::Timer second_;
  net::Timer due_;
  bool stopping_ = false;
  bool ended_ = false;
  net::Time stop_at_{};
  net::Time end_at_{};            // open requests are answered, whatever they wait for
  net::Time answers_taken_by_{};  // of those answers
};

}  // namespace pearspar::altavia
