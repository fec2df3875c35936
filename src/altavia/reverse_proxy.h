// What stands between clients and nodes: the front door, the connections to nodes, and edge_gateway's
// gateway, which decides. It is given its wire to the core, and listens when it is told to.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "clients/front.h"
#include "edge_gateway/edge_gateway.h"
#include "net/loop.h"
#include "upstream/node_links.h"

namespace pearspar::altavia {

class ReverseProxy : private clients::FrontUser {
 public:
  struct Options {
    subscription::FollowerOptions follower;
    dispatch::RetryBudgetRules allowance;
    std::size_t most_clients = 0;
    clients::Front::Warn warn;
  };
  ReverseProxy(net::Loop& loop, transport::Transport& wire, Options options);

  // Throws std::system_error where the address cannot be had.
  void start(const net::Address& address);
  // After every turn of the loop and every frame of the core's: answers go out, limits are taken over.
  void after_turn();
  // This process ends: every request that is open is answered with the end of this turn.
  void finish_open_requests() { gateway_.finish_open_requests(loop_.now()); }
  // True once for each revision that requests are routed by from here on.
  bool take_configuration();
  // To be called every second: connections that have been idle for too long.
  void sweep();

  // Of bytes held for all clients' connections, and for all answers of nodes that are coming.
  void set_memory_bounds(std::size_t clients, std::size_t nodes) {
    front_.set_memory_bound(clients);
    nodes_.set_memory_bound(nodes);
  }

  clients::Front& front() { return front_; }
  const clients::Front& front() const { return front_; }
  const upstream::NodeLinks& nodes() const { return nodes_; }
  edge_gateway::EdgeGateway& gateway() { return gateway_; }
  const edge_gateway::EdgeGateway& gateway() const { return gateway_; }

 private:
  void request_arrived(net::SlotId connection, const http::Message& message) override;
  void client_left(net::SlotId connection) override;
  void answer(net::SlotId connection, dispatch::ClientResponse answer);

  net::Loop& loop_;
  clients::Front front_;
  upstream::NodeLinks nodes_;
  edge_gateway::EdgeGateway gateway_;
  catalog::Revision routed_ = 0;                                     // revision whose limits hold
  std::unordered_map<std::uint64_t, net::SlotId> clients_;           // of open requests
  std::unordered_map<std::uint64_t, dispatch::RequestId> requests_;  // the other way
};

}  // namespace pearspar::altavia
