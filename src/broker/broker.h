// Joins the engine, which holds the queries and speaks with the decision module, with the sockets: the
// clients' front, the connections to nodes, the source of the list. Nothing here decides.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "clients/front.h"
#include "clients/query.h"
#include "config/config.h"
#include "engine/engine.h"
#include "log/log.h"
#include "membership/switch.h"
#include "net/loop.h"
#include "net/slots.h"
#include "nodelink/links.h"
#include "options/options.h"
#include "peerlink/fleet.h"
#include "peerlink/seeds.h"
#include "policy/policy.h"
#include "registry/registration.h"

namespace pearspar::broker {

class Broker : clients::FrontUser,
               nodelink::LinkUser,
               membership::MembersUser,
               engine::Clients,
               engine::Nodes,
               engine::Members,
               engine::Lines {
 public:
  Broker(net::Loop& loop, log::Logger& log, const config::Config& config, std::unique_ptr<Policy> policy,
         const options::Options& options = {});

  void start();
  // To be called after each turn of the loop: hands the module what has come in.
  void end_turn();

  // A new configuration, whole and checked: what can change while the broker runs takes effect, and a line
  // names what can't.
  void reload(const config::Config& config, const options::Options& options = {});

  // Gives up what one client's connection holds; false where nothing is left to give up.
  bool shed() { return front_.shed(); }

  // A planned end: queries are taken for a while yet, and what was taken is answered.
  void wind_down();
  bool done() const { return done_; }

  net::Address address() const { return front_.address(); }
  std::string counters_json() const;

 private:
  // What comes in.
  void request_arrived(net::SlotId connection, const http::Message& message) override;
  void client_left(net::SlotId connection) override;
  void attempt_ended(const nodelink::AttemptEnd& end) override;
  void probe_ended(const nodelink::ProbeEnd& end) override;
  bool make_room() override;
  void members_told(const membership::MemberList& list) override;
  void members_failed() override;

  bool handle_builtin_path(net::SlotId connection, const http::Message& message);
  void reject_request(net::SlotId connection, int status, std::string_view why, std::string_view allow = {});
  bool handle_fleet_path(net::SlotId connection, const http::Message& message, std::string_view path);
  void make_registration();
  void make_fleet();
  void publish_records();

  // What the engine asks for.
  void answered(engine::ClientId client, const engine::Result& result) override;
  void place(NodeId node, const net::Address& address, double up_since_ms) override {
    links_.place(node, address, up_since_ms);
  }
  void retire(NodeId node) override { links_.retire(node); }
  void send(NodeId node, std::span<const engine::Call> call) override { links_.send(node, call); }
  void withdraw(PartId part) override { links_.withdraw(part); }
  void give_up(PartId part, int attempt) override { links_.give_up(part, attempt); }
  void probe(NodeId node) override;
  void drop_idle(NodeId node) override { links_.drop_idle(node); }
  void fetch() override { members_.fetch(); }
  void subscribe(bool on) override { on ? members_.start() : members_.stop(); }
  void say(bool fault, std::string_view text) override;
  void numbered(NodeId node, std::string_view id, const net::Address& address) override;

  net::Loop& loop_;
  log::Logger& log_;
  config::Config config_;
  options::Options options_;  // of the start
  clients::Front front_;
  nodelink::Links links_;
  membership::Switch members_;
  engine::Engine engine_;
  net::Timer engine_timer_;
  std::map<std::string, int, std::less<>> classes_;
  std::map<std::string, int, std::less<>> tenants_;
  bool done_ = false;
  bool winding_down_ = false;
  bool listener_closed_ = false;
  net::Timer wind_down_timer_;
  std::unique_ptr<registry::Registration> registration_;  // where the operator asks for one
  std::unique_ptr<peerlink::Fleet> fleet_;                // the same
  std::unique_ptr<peerlink::RegistrySeeds> seeds_;        // the same
  net::Timer records_timer_;
  bool fleet_finished_ = false;
  std::uint64_t bad_queries_ = 0;  // never reached the engine: no query, or of an unknown class or tenant
};

}  // namespace pearspar::broker
