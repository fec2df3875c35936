// The member role of a process: the control API, the links to other members and to followers, and the store,
// around control_plane::Member, which holds the protocol logic.
#pragma once

#include <memory>
#include <string>

#include "clients/http_server.h"
#include "control_plane/member.h"
#include "metrics/metrics.h"
#include "net/loop.h"
#include "process_settings/settings.h"
#include "storage/lmdb_store.h"
#include "transport/tcp_transport.h"

namespace pearspar::altavia {

class Member : private clients::RequestHandler, private transport::TransportHandler {
 public:
  // Throws std::system_error if an address cannot be bound.
  Member(net::Loop& loop, const process_settings::Settings& settings, std::uint64_t seed);
  ~Member() override;

  // To be called after every turn of the loop.
  void after_turn();
  // Takes over the seeds; other settings need a restart.
  void settings_changed(const process_settings::Settings& settings);
  // Transfers leadership and answers pending calls; stops when the other members can go on without it.
  void stop();
  // Frees the memory of one connection or link; false if there is nothing left to free.
  bool free_memory() { return front_.shed() || links_.close_largest(); }
  // Bytes held for callers and links.
  std::size_t client_bytes() const { return front_.held_bytes(); }
  std::size_t link_bytes() const { return links_.held_bytes(); }
  bool stopped() const {
    return stopping_ && loop_.now() >= stop_earliest_at_ &&
           (member_.may_shut_down() || loop_.now() >= stop_latest_at_);
  }

 private:
  void request_arrived(net::SlotId connection, const http::Message& message) override;
  void client_left(net::SlotId connection) override;
  void link_up(transport::LinkId link, const std::string& address) override;
  void link_frame(transport::LinkId link, std::string_view frame) override;
  void link_down(transport::LinkId link) override;

  // Opens the store and starts Raft; retried while the store fails.
  void start_core();
  // Logs that this member has become leader, or is leader no more, and whether it can read the configuration.
  void log_role_changes();
  // Logs the steps of roll-outs as the log has them.
  void log_rollouts();
  // Logs the calls that were refused.
  void log_refused_calls();
  // Logs when the store begins to refuse writes and when it accepts them again.
  void log_store_changes();
  std::vector<metrics::Sample> samples() const;

  net::Loop& loop_;
  process_settings::Settings settings_;
  clients::HttpServer front_;
  transport::TcpTransport links_;
  storage::LmdbStore store_;
  control_plane::Member member_;
  net::Time restart_at_{};
  net::Timer due_timer_;
  bool was_leader_ = false;
  bool configuration_unreadable_ = false;
  bool store_failing_ = false;
  rollout::LogIndex logged_rollouts_ = 0;  // of the newest change of versions that was logged
  bool stopping_ = false;
  net::Time stop_earliest_at_{};
  net::Time stop_latest_at_{};
};

}  // namespace pearspar::altavia
