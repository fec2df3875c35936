// The HTTP reverse proxy of an edge: connects the clients' connections, the connections to index servers and
// the EdgeGateway, which routes the requests.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "clients/http_server.h"
#include "edge_gateway/edge_gateway.h"
#include "net/loop.h"
#include "upstream/node_links.h"

namespace pearspar::altavia {

// Starts to listen with start(). Uses `transport`, which its owner provides, to talk to members and edges.
class ReverseProxy : private clients::RequestHandler {
 public:
  struct Options {
    subscription::FollowerOptions follower;
    dispatch::RetryBudgetRules retry_budget;
    std::size_t max_clients = 0;
    clients::HttpServer::Warn warn;
  };
  ReverseProxy(net::Loop& loop, transport::Transport& transport, Options options);

  // Throws std::system_error if the address cannot be bound.
  void start(const net::Address& address);
  // Sends the responses that are ready. To be called after every turn of the loop.
  void after_turn();
  // Answers all open requests at the next after_turn(), because this process is stopping.
  void finish_open_requests() { gateway_.finish_open_requests(loop_.now()); }
  // Applies the limits of a new configuration. True once per revision that takes effect.
  bool take_configuration();
  // Closes connections that have been idle for too long. To be called every second.
  void sweep();

  // Bounds, in bytes, on the memory held for all clients' connections and for all responses being received.
  void set_memory_bounds(std::size_t clients, std::size_t nodes) {
    front_.set_memory_bound(clients);
    nodes_.set_memory_bound(nodes);
  }

  clients::HttpServer& front() { return front_; }
  const clients::HttpServer& front() const { return front_; }
  const upstream::NodeLinks& nodes() const { return nodes_; }
  edge_gateway::EdgeGateway& gateway() { return gateway_; }
  const edge_gateway::EdgeGateway& gateway() const { return gateway_; }

 private:
  void request_arrived(net::SlotId connection, const http::Message& message) override;
  void client_left(net::SlotId connection) override;
  bool limits_are_current() const override;
  void answer(net::SlotId connection, dispatch::ClientResponse answer);

  net::Loop& loop_;
  clients::HttpServer front_;
  upstream::NodeLinks nodes_;
  edge_gateway::EdgeGateway gateway_;
  catalog::Revision applied_limits_revision_ = 0;                    // revision whose limits are in force
  std::unordered_map<std::uint64_t, net::SlotId> clients_;           // connection by open request
  std::unordered_map<std::uint64_t, dispatch::RequestId> requests_;  // open request by connection
};

}  // namespace pearspar::altavia
