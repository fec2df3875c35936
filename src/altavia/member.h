// A process of the core: the control port, the links to other members and to those that follow, the store,
// around control_plane::Member, which decides.
#pragma once

#include <memory>
#include <string>

#include "clients/front.h"
#include "control_plane/member.h"
#include "metrics/metrics.h"
#include "net/loop.h"
#include "process_settings/settings.h"
#include "storage/lmdb_store.h"
#include "transport/tcp_transport.h"

namespace pearspar::altavia {

class Member : private clients::FrontUser, private transport::TransportHandler {
 public:
  // Throws std::system_error where an address cannot be had.
  Member(net::Loop& loop, const process_settings::Settings& settings, std::uint64_t seed);
  ~Member() override;

  // After each turn of the loop.
  void after_turn();
  void settings_changed(const process_settings::Settings& settings);
  // Hands over what it leads, and answers what it still can. It ends when the others can do without it.
  void stop();
  // Gives up what one connection holds; false where nothing is left to give up.
  bool shed() { return front_.shed() || links_.close_largest(); }
  // Bytes that others make this process hold.
  std::size_t client_bytes() const { return front_.held_bytes(); }
  std::size_t link_bytes() const { return links_.held_bytes(); }
  bool stopped() const {
    return stopping_ && loop_.now() >= stop_at_ && (member_.may_shut_down() || loop_.now() >= grace_over_);
  }

 private:
  void request_arrived(net::SlotId connection, const http::Message& message) override;
  void client_left(net::SlotId connection) override;
  void link_up(transport::LinkId link, const std::string& address) override;
  void link_frame(transport::LinkId link, std::string_view frame) override;
  void link_down(transport::LinkId link) override;

  void start_core();
  void tell_role();
  void tell_disk();
  std::vector<metrics::Sample> samples() const;

  net::Loop& loop_;
  process_settings::Settings settings_;
  clients::Front front_;
  transport::TcpTransport links_;
  storage::LmdbStore store_;
  control_plane::Member member_;
  net::Time start_again_{};
  net::Timer timer_;
  bool led_ = false;
  bool unread_ = false;
  bool ill_ = false;
  bool stopping_ = false;
  net::Time stop_at_{};
  net::Time grace_over_{};
};

}  // namespace pearspar::altavia
