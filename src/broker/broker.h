// The broker process: connects the query engine, which runs the policy, to the client front end, the node
// connections, the membership source, the registry and the fleet. Makes no routing decisions itself.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "clients/http_server.h"
#include "clients/query.h"
#include "config/config.h"
#include "engine/engine.h"
#include "log/log.h"
#include "membership/source_switch.h"
#include "net/loop.h"
#include "net/slots.h"
#include "nodelink/links.h"
#include "options/options.h"
#include "peerlink/fleet.h"
#include "peerlink/seeds.h"
#include "policy/policy.h"
#include "registry/registration.h"

namespace pearspar::broker {

class Broker : clients::RequestHandler,
               nodelink::LinkHandler,
               membership::MembersHandler,
               engine::Clients,
               engine::Nodes,
               engine::Members,
               engine::PolicyLog {
 public:
  Broker(net::Loop& loop, log::Logger& log, const config::Config& config, std::unique_ptr<Policy> policy,
         const options::Options& options = {});

  void start();
  // Must be called after each loop iteration: passes the collected events to the policy.
  void end_turn();

  // Applies the settings of a validated configuration that can change at run time and logs those that need a
  // restart.
  void reload(const config::Config& config, const options::Options& options = {});

  // Frees the memory held by one client connection; false if there is none to free.
  bool shed() { return front_.shed(); }

  // Starts a graceful shutdown: queries are accepted for a short time and accepted queries are answered.
  void start_draining();
  bool done() const { return done_; }

  net::Address address() const { return front_.address(); }
  std::string counters_json() const;

 private:
  // Callbacks of the client front end, the node connections and the membership source.
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

  // Interfaces that the engine calls.
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
  void write_line(bool fault, std::string_view text) override;
  void node_numbered(NodeId node, std::string_view id, const net::Address& address) override;

  net::Loop& loop_;
  log::Logger& log_;
  config::Config config_;
  options::Options options_;  // as of start-up
  clients::HttpServer front_;
  nodelink::Links links_;
  membership::SourceSwitch members_;
  engine::Engine engine_;
  net::Timer engine_timer_;
  std::map<std::string, int, std::less<>> classes_;
  std::map<std::string, int, std::less<>> tenants_;
  bool done_ = false;
  bool winding_down_ = false;
  bool listener_closed_ = false;
  net::Timer wind_down_timer_;
  std::unique_ptr<registry::Registration> registration_;  // null if not configured
  std::unique_ptr<peerlink::Fleet> fleet_;                // null if not configured
  std::unique_ptr<peerlink::RegistrySeeds> seeds_;        // null if not configured
  net::Timer records_timer_;
  bool fleet_finished_ = false;
  std::uint64_t bad_queries_ = 0;  // rejected before the engine: malformed, or unknown class or tenant
};

}  // namespace pearspar::broker
