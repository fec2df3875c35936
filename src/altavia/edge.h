// The edge role of a process: the reverse proxy for clients, the readiness and metrics endpoint, the links to
// members and other edges, and shutdown.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "altavia/reverse_proxy.h"
#include "clients/http_server.h"
#include "metrics/metrics.h"
#include "net/loop.h"
#include "process_settings/settings.h"
#include "transport/tcp_transport.h"

namespace pearspar::altavia {

class Edge : private transport::TransportHandler, private clients::RequestHandler {
 public:
  // `incarnation` distinguishes this run of the process. Throws std::system_error if an address cannot be
  // bound.
  Edge(net::Loop& loop, const process_settings::Settings& settings, std::uint64_t incarnation);

  // To be called after every turn of the loop.
  void after_turn();
  // Takes over the seeds; other settings need a restart.
  void settings_changed(const process_settings::Settings& settings);
  // Reports not ready, keeps serving while clients move to other edges, then stops.
  void stop();
  bool stopped() const { return stopped_; }
  // Frees the memory of one connection or link; false if there is nothing left to free.
  bool free_memory() { return proxy_.front().shed() || links_.close_largest(); }
  // Bytes held for clients, index servers and links.
  std::size_t client_bytes() const { return proxy_.front().held_bytes() + readiness_.held_bytes(); }
  std::size_t server_bytes() const { return proxy_.nodes().held_bytes(); }
  std::size_t link_bytes() const { return links_.held_bytes(); }
  bool ready() const { return !stopping_ && proxy_.gateway().ready(); }

 private:
  // Requests to the readiness endpoint.
  void request_arrived(net::SlotId connection, const http::Message& message) override;
  void client_left(net::SlotId) override {}
  void link_up(transport::LinkId link, const std::string& address) override;
  void link_frame(transport::LinkId link, std::string_view frame) override;
  void link_down(transport::LinkId link) override;

  // The address on which other edges can reach this one; empty if it cannot be bound.
  std::string listen_to_edges();

  void apply_configuration();
  void log_confirmation();
  void log_pause();
  void log_outdated_configuration();
  void log_late_configuration();
  void each_second();
  // Carries on a shutdown that has begun.
  void start_draining();
  std::vector<metrics::Sample> samples() const;

  net::Loop& loop_;
  process_settings::Settings settings_;
  clients::HttpServer readiness_;
  transport::TcpTransport links_;
  ReverseProxy proxy_;
  net::Timer second_timer_;
  net::Timer due_timer_;
  net::Time last_turn_{};                 // of the loop
  bool configuration_confirmed_ = false;  // as logged last
  bool configuration_outdated_ = false;   // as logged last: requests are refused
  std::uint64_t refused_before_ = 0;      // outdated requests before the edge fell behind
  bool stopping_ = false;
  bool stopped_ = false;
  net::Time stop_listening_at_{};
  net::Time finish_requests_at_{};    // then open requests are answered in any case
  net::Time close_connections_at_{};  // when clients have had time to read these answers
};

}  // namespace pearspar::altavia
