// Tells edges that a newer configuration than theirs is in force, and sends it to those that ask for it.
// Every member does so with what it has applied, whether it leads or not. Free of I/O.
//
// Invariant: only applied configurations are announced and sent, so an edge that adopts one never has to go
// back.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control_plane/followers.h"
#include "protocol/messages.h"

namespace pearspar::control_plane {

class ConfigurationServer {
 public:
  // `zone` is this member's: edges rather ask in their own.
  explicit ConfigurationServer(std::string zone) : zone_(std::move(zone)) {}

  // The newest configuration that this member has applied. Edges that it does not reach in some other way
  // within a short time are told.
  void set_configuration(Time now, catalog::Revision revision, std::string_view text);

  void on_hello(Time now, LinkId link, const protocol::Hello& hello);
  void on_ack(Time now, LinkId link, const protocol::Ack& ack);
  void on_request(Time now, LinkId link, const protocol::ConfigurationRequest& request);
  void on_closed(LinkId link) { edges_.erase(link); }

  // Notices and requested configurations that are due.
  std::vector<LinkFrame> take_frames(Time now);
  Time due() const;

  // Number of edges that have not acknowledged the newest configuration.
  std::size_t behind() const;

 private:
  struct Edge {
    protocol::Incarnation incarnation = 0;
    catalog::Revision known = 0;  // as the edge said last
    catalog::Revision sent = 0;
    std::size_t bytes_in_flight = 0;  // of the configuration that was sent and not acknowledged
    Time sent_at{};
    bool notice_due = false;
  };
  struct EarlierText {
    catalog::Revision revision = 0;
    std::string text;
  };

  static bool is_in_flight(Time now, const Edge& edge);
  void on_contact(Edge& edge, catalog::Revision known);
  void keep_earlier_text();
  void add_notices(Time now, std::vector<LinkFrame>& frames);
  void add_updates(Time now, std::vector<LinkFrame>& frames);
  std::size_t bytes_in_flight(Time now);
  // Encoded once for all edges that have the same revision.
  const std::string& update_for(Time now, catalog::Revision known);

  std::string zone_;
  catalog::Revision revision_ = 0;
  std::string text_;
  Time applied_at_{};
  Time notices_due_ = Time::max();  // to all edges that are behind
  bool any_notice_due_ = false;
  std::map<LinkId, Edge> edges_;
  std::deque<LinkId> requests_;  // in the order of their arrival
  std::deque<EarlierText> earlier_;
  std::map<catalog::Revision, std::string> updates_;  // encoded, by the revision that they are for
};

}  // namespace pearspar::control_plane
