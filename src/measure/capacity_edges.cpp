// Hollow edges: the real links, codec and following, no traffic. A full one has a dispatcher and keeps every
// node, as in service; of the others' news what concerns nodes is counted and left out, so that thousands fit
// on a machine.
#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_map>

#include "edge_gateway/edge_gateway.h"
#include "measure/capacity.h"
#include "net/loop.h"
#include "protocol/messages.h"
#include "transport/tcp_transport.h"

namespace pearspar::measure {
namespace {

constexpr std::size_t length_bytes = 4;

// Of a list that is not kept: what its acknowledgements tell of it.
class ListDigest {
 public:
  void apply(const protocol::StateSnapshot& standing) {
    if (standing.complete) nodes_.clear(), digest_ = 0;
    for (const protocol::NodeUpdate& news : standing.nodes) put(news.node);
  }
  void apply(const protocol::Change& change) {
    if (change.kind == protocol::ChangeKind::node_updated) put(change.update.node);
    if (change.kind == protocol::ChangeKind::node_retired ||
        change.kind == protocol::ChangeKind::node_removed) {
      auto found = nodes_.find(std::hash<std::string>()(change.text));
      if (found == nodes_.end()) return;
      digest_ ^= found->second;
      nodes_.erase(found);
    }
  }
  std::uint64_t digest() const { return digest_ | 1; }
  std::size_t size() const { return nodes_.size(); }

 private:
  void put(const catalog::Node& node) {
    std::uint64_t& digest = nodes_[std::hash<std::string>()(node.id)];
    digest_ ^= digest;
    digest = catalog::digest_of(node);
    digest_ ^= digest;
  }
  std::unordered_map<std::uint64_t, std::uint64_t> nodes_;
  std::uint64_t digest_ = 0;
};

class NoCalls : public dispatch::NodeClient {
 public:
  bool cancel(dispatch::CallId, bool) override { return false; }
  bool start(dispatch::CallId, const dispatch::NodeState&, int, dispatch::NodeRequest,
             dispatch::Time) override {
    return false;
  }
};

class HollowEdge : public transport::Transport, private transport::TransportHandler {
 public:
  HollowEdge(net::Loop& loop, EdgeBoard& board, int number, bool full, const std::vector<std::string>& seeds)
      : loop_(loop), board_(board), links_(loop, *this) {
    subscription::FollowerOptions options{now_ns() << 12 | static_cast<std::uint64_t>(number),
                                          "edge" + std::to_string(number),
                                          "zone" + std::to_string(number % 13), seeds};
    if (full) {
      gateway_.emplace(*this, options, calls_, dispatch::RetryBudgetRules{0.2, 56, dispatch::Duration(10)});
      gateway_->start(loop.now());
    } else {
      follower_.emplace(*this, options);
      follower_->start(loop.now());
    }
    arm();
  }

 private:
  const subscription::Follower& follower() const { return gateway_ ? gateway_->follower() : *follower_; }
  void count(Flow& flow, std::size_t size) {
    flow.frames.fetch_add(1, std::memory_order_relaxed);
    flow.bytes.fetch_add(size + length_bytes, std::memory_order_relaxed);
  }
  void set_targets(const std::vector<std::string>& addresses) override { links_.set_targets(addresses); }
  bool send_to(const std::string& address, std::string_view frame) override {
    count(board_.out[kind_of(frame)], frame.size());
    return links_.send_to(address, frame);
  }
  bool send(transport::LinkId link, std::string_view frame) override {
    std::string told;
    if (follower_ && kind_names[kind_of(frame)] == "ack") {
      auto message = protocol::unpack(frame);
      auto ack = std::get<protocol::Ack>(message.value());
      ack.node_list_digest = list_.digest();
      frame = told = protocol::pack(ack);
    }
    count(board_.out[kind_of(frame)], frame.size());
    return links_.send(link, frame);
  }
  void link_up(transport::LinkId link, const std::string& address) override {
    ++board_.links, ++board_.dialled;
    gateway_ ? gateway_->link_up(link, address) : follower_->link_up(link, address);
  }
  void link_down(transport::LinkId link) override {
    --board_.links;
    gateway_ ? gateway_->link_down(link) : follower_->link_down(link);
  }
  void link_frame(transport::LinkId link, std::string_view frame) override {
    std::size_t kind = kind_of(frame);
    count(board_.in[kind], frame.size());
    bool whole = false;
    auto message = protocol::unpack(frame);
    auto* standing = message ? std::get_if<protocol::StateSnapshot>(&*message) : nullptr;
    auto* changes = message ? std::get_if<protocol::Changes>(&*message) : nullptr;
    if (standing) whole = standing->complete;
    // The first change of a term says nothing; a later one without a word says that the list is whole.
    if (changes)
      for (std::size_t i = 0; i < changes->changes.size(); ++i)
        whole = whole || (changes->after.number + i > 0 &&
                          changes->changes[i].kind == protocol::ChangeKind::list_complete);
    if (gateway_) {
      gateway_->link_frame(loop_.now(), link, frame);
      gateway_->advance(loop_.now());
      board_.nodes = follower().view().nodes().all().size();
    } else if (standing) {
      list_.apply(*standing);
      standing->nodes.clear();
      follower_->link_frame(loop_.now(), link, protocol::pack(std::move(*standing)));
      board_.nodes = list_.size();
    } else if (changes) {
      auto known = follower().view().at();
      for (std::size_t i = 0; i < changes->changes.size(); ++i) {
        protocol::Change& change = changes->changes[i];
        if (change.kind == protocol::ChangeKind::configuration ||
            change.kind == protocol::ChangeKind::configuration_delta)
          continue;
        if (changes->after.term == known.term && changes->after.number + i >= known.number)
          list_.apply(change);
        change = {};
      }
      follower_->link_frame(loop_.now(), link, protocol::pack(std::move(*changes)));
      board_.nodes = list_.size();
    } else {
      follower_->link_frame(loop_.now(), link, frame);
    }
    note(whole);
    arm();
  }
  void note(bool whole) {
    const subscription::ClusterView& view = follower().view();
    if (view.revision() > board_.revision) {
      board_.revision_ns = now_ns();
      board_.revision = view.revision();
    }
    if (view.at().term > board_.term) {
      board_.term_ns = now_ns();
      board_.term = view.at().term;
    }
    if (whole && view.at().term > board_.whole_term) {
      board_.whole_ns = now_ns();
      board_.whole_term = view.at().term;
    }
  }
  void arm() {
    timer_ = loop_.at(std::max(gateway_ ? gateway_->due(loop_.now()) : follower_->due(),
                               loop_.now() + net::Duration(0.0005)),
                      [this] {
                        if (gateway_)
                          gateway_->advance(loop_.now());
                        else
                          follower_->tick(loop_.now());
                        note(false);
                        arm();
                      });
  }

  net::Loop& loop_;
  EdgeBoard& board_;
  NoCalls calls_;
  transport::TcpTransport links_;
  std::optional<edge_gateway::EdgeGateway> gateway_;
  std::optional<subscription::Follower> follower_;
  ListDigest list_;
  net::Timer timer_;
};

}  // namespace

std::size_t kind_of(std::string_view frame) {
  if (frame.size() < 2) return 0;
  auto kind = static_cast<unsigned char>(frame[1]);
  return kind < frame_kinds ? kind : 0;
}

void run_edges(const EdgePart& part, const std::vector<std::string>& seeds) {
  net::Loop loop;
  std::vector<std::unique_ptr<HollowEdge>> edges;
  for (int i = part.first; i < part.first + part.count; ++i)
    edges.push_back(std::make_unique<HollowEdge>(loop, part.boards[i], i, part.full, seeds));
  while (true) loop.run_once();
}

}  // namespace pearspar::measure
