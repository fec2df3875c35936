// A process that clients reach: the front door, the check of its readiness, the connections to nodes and the
// links to the core; vandelli's station decides.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "clients/front.h"
#include "coldai/settings.h"
#include "croda/node_links.h"
#include "net/loop.h"
#include "puez/links.h"
#include "scoiattoli/metrics.h"
#include "vandelli/station.h"

namespace pearspar::altavia {

class Edge : private puez::LinksUser {
 public:
  // Throws std::system_error where an address cannot be had.
  Edge(net::Loop& loop, const coldai::Settings& settings, std::uint64_t life);

  void after_turn();
  void settings_changed(const coldai::Settings& settings);
  // No more ready; serves on while clients go elsewhere, then ends.
  void stop();
  bool stopped() const { return ended_; }
  bool ready() const { return !stopping_ && station_.ready(); }

 private:
  // The two listening sockets, told apart.
  class Door : public clients::FrontUser {
   public:
    Door(Edge& edge, bool checks) : edge_(edge), checks_(checks) {}
    void request_arrived(net::SlotId connection, const http::Message& message) override;
    void client_left(net::SlotId connection) override;

   private:
    Edge& edge_;
    bool checks_;
  };

  void link_up(puez::LinkId link, const std::string& address) override;
  void link_frame(puez::LinkId link, std::string_view frame) override;
  void link_down(puez::LinkId link) override;

  void serve(net::SlotId connection, const http::Message& message);
  void check(net::SlotId connection, const http::Message& message);
  void answer(net::SlotId connection, pederu::FinalAnswer answer);
  void take_configuration();
  void each_second();
  void wind_down();
  std::vector<scoiattoli::Sample> samples() const;

  net::Loop& loop_;
  coldai::Settings settings_;
  Door front_user_{*this, false};
  Door check_user_{*this, true};
  clients::Front front_;
  clients::Front check_;
  puez::Links links_;
  croda::NodeLinks nodes_;
  vandelli::Station station_;
  averau::Edition routed_ = 0;                                     // edition whose limits hold at the door
  std::unordered_map<std::uint64_t, net::SlotId> clients_;         // of open requests
  std::unordered_map<std::uint64_t, pederu::RequestId> requests_;  // the other way
  net::Timer second_;
  net::Timer due_;
  bool stopping_ = false;
  bool ended_ = false;
  net::Time stop_at_{};
  net::Time end_at_{};
};

}  // namespace pearspar::altavia
