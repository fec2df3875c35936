#include "protocol/messages.h"

#include <algorithm>

#include "protocol/pack.h"
#include "protocol/quota_codec.h"
#include "protocol/raft_codec.h"
#include "protocol/rollout_codec.h"

namespace pearspar::protocol {
namespace {

// The first field of each message.
enum class Tag : std::uint64_t {
  raft = 1,
  hello,
  welcome,
  snapshot,
  changes,
  ping,
  ack,
  goodbye,
  control_call,
  control_reply,
  token_request,
  token_grant,
  quota_request,
  quota_reply,
  neighbours,
  core_query,
  core_addresses,
  rollout_report,
  rollout_grant,
  configuration_notice,
  configuration_request,
  configuration_update,
  lease_renewal,
  lease_vote
};

constexpr std::size_t max_fields = 32;
constexpr std::size_t max_nodes = 65536;
constexpr std::size_t max_changes = 65536;
constexpr std::size_t max_services = 4096;
constexpr std::size_t max_tokens = 4096;
constexpr std::size_t max_core_addresses = 64;
constexpr std::size_t max_neighbours = 16;
constexpr std::size_t max_voters = 64;

void begin(Packer& packer, Tag tag, std::size_t fields) {
  packer.array(fields + 1);
  packer.number(static_cast<std::uint64_t>(tag));
}

void put(Packer& packer, const Position& position) {
  packer.number(position.term);
  packer.number(position.number);
}
Position get_position(Unpacker& in) {
  Position position;
  position.term = in.number();
  position.number = in.number();
  return position;
}

void put(Packer& packer, const NodeUpdate& update) {
  const catalog::Node& node = update.node;
  packer.array(9);
  packer.text(node.id);
  packer.text(node.service);
  packer.text(node.address);
  packer.text(node.zone);
  packer.text(node.software_version);
  packer.number(static_cast<std::uint64_t>(node.slots));
  packer.flag(node.closing);
  packer.number(node.sequence);
  packer.number(update.cold_ms);
}
NodeUpdate get_node_update(Unpacker& in) {
  NodeUpdate update;
  catalog::Node& node = update.node;
  in.enter(max_fields);
  node.id = in.text();
  node.service = in.text();
  node.address = in.text();
  node.zone = in.text();
  node.software_version = in.text();
  node.slots = static_cast<int>(in.number());
  node.closing = in.flag();
  node.sequence = in.number();
  update.cold_ms = static_cast<std::uint32_t>(in.number());
  in.leave();
  return update;
}

void put(Packer& packer, const std::vector<std::string>& texts) {
  packer.array(texts.size());
  for (const std::string& text : texts) packer.text(text);
}
std::vector<std::string> get_texts(Unpacker& in, std::size_t max_size) {
  std::vector<std::string> texts;
  std::size_t count = in.enter(max_size);
  for (std::size_t i = 0; i < count && in.good(); ++i) texts.push_back(in.text());
  in.leave();
  return texts;
}

void put(Packer& packer, const std::vector<Tokens>& tokens) {
  packer.array(tokens.size());
  for (const Tokens& each : tokens) {
    packer.array(2);
    packer.text(each.service);
    packer.number(each.count);
  }
}
std::vector<Tokens> get_tokens(Unpacker& in) {
  std::vector<Tokens> tokens;
  std::size_t count = in.enter(max_tokens);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(max_fields);
    Tokens each;
    each.service = in.text();
    each.count = static_cast<std::uint32_t>(in.number());
    in.leave();
    tokens.push_back(std::move(each));
  }
  in.leave();
  return tokens;
}

std::uint32_t get_coverage(Unpacker& in) {
  return in.more() ? static_cast<std::uint32_t>(std::min<std::uint64_t>(100, in.number())) : 100;
}

struct MessagePacker {
  Packer& packer;
  void operator()(const raft::Message& message) const {
    begin(packer, Tag::raft, 1);
    pack(packer, message);
  }
  void operator()(const Hello& hello) const {
    begin(packer, Tag::hello, 9);
    packer.number(hello.incarnation);
    packer.number(static_cast<std::uint64_t>(hello.kind));
    packer.text(hello.name);
    packer.text(hello.zone);
    put(packer, hello.position);
    packer.number(hello.revision);
    packer.text(hello.address);
    packer.flag(hello.fetches_configurations);
  }
  void operator()(const Welcome& welcome) const {
    begin(packer, Tag::welcome, 4);
    packer.number(welcome.term);
    packer.flag(welcome.from_leader);
    put(packer, welcome.core_addresses);
    packer.flag(welcome.renews_leases);
  }
  void operator()(const StateSnapshot& snapshot) const {
    begin(packer, Tag::snapshot, 10);
    put(packer, snapshot.at);
    packer.flag(snapshot.complete);
    packer.number(snapshot.edges);
    packer.number(snapshot.revision);
    packer.text(snapshot.configuration);
    packer.array(snapshot.nodes.size());
    for (const NodeUpdate& update : snapshot.nodes) put(packer, update);
    put(packer, snapshot.retired);
    packer.number(snapshot.coverage);
    packer.array(snapshot.service_versions.size());
    for (const catalog::ServiceVersions& versions : snapshot.service_versions) pack(packer, versions);
  }
  void operator()(const Changes& changes) const {
    begin(packer, Tag::changes, 3);
    put(packer, changes.after);
    packer.array(changes.changes.size());
    for (const Change& change : changes.changes) {
      packer.array(4);
      packer.number(static_cast<std::uint64_t>(change.kind));
      packer.number(change.revision);
      packer.text(change.text);
      put(packer, change.update);
    }
  }
  void operator()(const Ping& ping) const {
    begin(packer, Tag::ping, 4);
    put(packer, ping.at);
    packer.number(ping.edges);
    packer.number(ping.coverage);
  }
  void operator()(const Ack& ack) const {
    begin(packer, Tag::ack, 7);
    packer.number(ack.incarnation);
    put(packer, ack.at);
    packer.number(ack.revision);
    packer.number(ack.coverage);
    packer.number(ack.node_list_digest);
    packer.number(ack.renewal);
  }
  void operator()(const LeaseRenewal& renewal) const {
    begin(packer, Tag::lease_renewal, 2);
    packer.number(renewal.number);
    packer.number(renewal.revision);
  }
  void operator()(const LeaseVote& vote) const {
    begin(packer, Tag::lease_vote, 5);
    packer.number(vote.number);
    packer.number(vote.revision);
    packer.number(vote.voter);
    packer.number(vote.membership_index);
    packer.array(vote.voters.size());
    for (const raft::MemberId voter : vote.voters) packer.number(voter);
  }
  void operator()(const ConfigurationNotice& notice) const {
    begin(packer, Tag::configuration_notice, 3);
    packer.number(notice.revision);
    packer.number(notice.age_ms);
    packer.text(notice.zone);
  }
  void operator()(const ConfigurationRequest& request) const {
    begin(packer, Tag::configuration_request, 2);
    packer.number(request.incarnation);
    packer.number(request.known);
  }
  void operator()(const ConfigurationUpdate& update) const {
    begin(packer, Tag::configuration_update, 4);
    packer.number(update.base);
    packer.number(update.revision);
    packer.number(update.age_ms);
    packer.text(update.text);
  }
  void operator()(const Goodbye& goodbye) const {
    begin(packer, Tag::goodbye, 1);
    packer.number(goodbye.incarnation);
  }
  void operator()(const TokenRequest& request) const {
    begin(packer, Tag::token_request, 3);
    packer.number(request.incarnation);
    packer.number(request.number);
    put(packer, request.tokens);
  }
  void operator()(const TokenGrant& grant) const {
    begin(packer, Tag::token_grant, 2);
    packer.number(grant.number);
    put(packer, grant.tokens);
  }
  void operator()(const quota::QuotaRequest& request) const {
    begin(packer, Tag::quota_request, 1);
    pack(packer, request);
  }
  void operator()(const quota::QuotaReply& reply) const {
    begin(packer, Tag::quota_reply, 1);
    pack(packer, reply);
  }
  void operator()(const Neighbours& neighbours) const {
    begin(packer, Tag::neighbours, 1);
    put(packer, neighbours.edges);
  }
  void operator()(const CoreQuery&) const { begin(packer, Tag::core_query, 0); }
  void operator()(const CoreAddresses& core) const {
    begin(packer, Tag::core_addresses, 2);
    packer.number(core.term);
    put(packer, core.addresses);
  }
  void operator()(const ControlCall& call) const {
    begin(packer, Tag::control_call, 7);
    packer.number(call.number);
    packer.text(call.from);
    packer.text(call.method);
    packer.text(call.path);
    packer.text(call.if_match);
    packer.text(call.body);
    packer.number(call.timeout_ms);
  }
  void operator()(const rollout::RolloutReport& report) const {
    begin(packer, Tag::rollout_report, 1);
    pack(packer, report);
  }
  void operator()(const rollout::RolloutGrant& grant) const {
    begin(packer, Tag::rollout_grant, 1);
    pack(packer, grant);
  }
  void operator()(const ControlReply& reply) const {
    begin(packer, Tag::control_reply, 3);
    packer.number(reply.number);
    packer.number(reply.status);
    packer.text(reply.body);
  }
};

Hello get_hello(Unpacker& in) {
  Hello hello;
  hello.incarnation = in.number();
  hello.kind = in.number() == 0 ? FollowerKind::edge : FollowerKind::core;
  hello.name = in.text();
  hello.zone = in.text();
  hello.position = get_position(in);
  hello.revision = in.number();
  if (in.more()) hello.address = in.text();
  if (in.more()) hello.fetches_configurations = in.flag();
  return hello;
}

StateSnapshot get_snapshot(Unpacker& in) {
  StateSnapshot snapshot;
  snapshot.at = get_position(in);
  snapshot.complete = in.flag();
  snapshot.edges = static_cast<std::uint32_t>(in.number());
  snapshot.revision = in.number();
  snapshot.configuration = in.text();
  std::size_t count = in.enter(max_nodes);
  for (std::size_t i = 0; i < count && in.good(); ++i) snapshot.nodes.push_back(get_node_update(in));
  in.leave();
  snapshot.retired = get_texts(in, max_nodes);
  snapshot.coverage = get_coverage(in);
  if (!in.more()) return snapshot;
  std::size_t services = in.enter(max_services);
  for (std::size_t i = 0; i < services && in.good(); ++i)
    snapshot.service_versions.push_back(unpack_service_versions(in));
  in.leave();
  return snapshot;
}

Changes get_changes(Unpacker& in) {
  Changes changes;
  changes.after = get_position(in);
  std::size_t count = in.enter(max_changes);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    Change change;
    in.enter(max_fields);
    std::uint64_t kind = in.number();
    change.kind = static_cast<ChangeKind>(kind);
    change.revision = in.number();
    change.text = in.text();
    change.update = get_node_update(in);
    in.leave();
    // A kind that only a newer program knows becomes a change without effect, so that the changes after it
    // keep their numbers.
    if (kind > static_cast<std::uint64_t>(ChangeKind::service_versions)) change = {};
    changes.changes.push_back(std::move(change));
  }
  in.leave();
  return changes;
}

LeaseVote get_lease_vote(Unpacker& in) {
  LeaseVote vote;
  vote.number = in.number();
  vote.revision = in.number();
  vote.voter = in.number();
  vote.membership_index = in.number();
  const std::size_t count = in.enter(max_voters);
  for (std::size_t i = 0; i < count && in.good(); ++i) vote.voters.push_back(in.number());
  in.leave();
  return vote;
}

ControlCall get_control_call(Unpacker& in) {
  ControlCall call;
  call.number = in.number();
  call.from = in.text();
  call.method = in.text();
  call.path = in.text();
  call.if_match = in.text();
  call.body = in.text();
  if (in.more()) call.timeout_ms = static_cast<std::uint32_t>(in.number());
  return call;
}

std::optional<Message> get(Unpacker& in) {
  switch (static_cast<Tag>(in.number())) {
    case Tag::raft: {
      raft::Message message;
      if (!unpack(in, message)) return std::nullopt;
      return message;
    }
    case Tag::hello:
      return get_hello(in);
    case Tag::welcome: {
      Welcome welcome;
      welcome.term = in.number();
      welcome.from_leader = in.flag();
      welcome.core_addresses = get_texts(in, max_core_addresses);
      if (in.more()) welcome.renews_leases = in.flag();
      return welcome;
    }
    case Tag::snapshot:
      return get_snapshot(in);
    case Tag::changes:
      return get_changes(in);
    case Tag::ping: {
      Ping ping;
      ping.at = get_position(in);
      ping.edges = static_cast<std::uint32_t>(in.number());
      ping.coverage = get_coverage(in);
      return ping;
    }
    case Tag::ack: {
      Ack ack;
      ack.incarnation = in.number();
      ack.at = get_position(in);
      ack.revision = in.number();
      ack.coverage = get_coverage(in);
      if (in.more()) ack.node_list_digest = in.number();
      if (in.more()) ack.renewal = in.number();
      return ack;
    }
    case Tag::goodbye:
      return Goodbye{in.number()};
    case Tag::configuration_notice: {
      ConfigurationNotice notice;
      notice.revision = in.number();
      notice.age_ms = static_cast<std::uint32_t>(in.number());
      notice.zone = in.text();
      return notice;
    }
    case Tag::configuration_request: {
      ConfigurationRequest request;
      request.incarnation = in.number();
      request.known = in.number();
      return request;
    }
    case Tag::configuration_update: {
      ConfigurationUpdate update;
      update.base = in.number();
      update.revision = in.number();
      update.age_ms = static_cast<std::uint32_t>(in.number());
      update.text = in.text();
      return update;
    }
    case Tag::lease_renewal: {
      LeaseRenewal renewal;
      renewal.number = in.number();
      renewal.revision = in.number();
      return renewal;
    }
    case Tag::lease_vote:
      return get_lease_vote(in);
    case Tag::control_call:
      return get_control_call(in);
    case Tag::token_request: {
      TokenRequest request;
      request.incarnation = in.number();
      request.number = in.number();
      request.tokens = get_tokens(in);
      return request;
    }
    case Tag::token_grant: {
      TokenGrant grant;
      grant.number = in.number();
      grant.tokens = get_tokens(in);
      return grant;
    }
    case Tag::quota_request:
      return unpack_quota_request(in);
    case Tag::quota_reply:
      return unpack_quota_reply(in);
    case Tag::neighbours:
      return Neighbours{get_texts(in, max_neighbours)};
    case Tag::core_query:
      return CoreQuery{};
    case Tag::core_addresses: {
      CoreAddresses core;
      core.term = in.number();
      core.addresses = get_texts(in, max_core_addresses);
      return core;
    }
    case Tag::rollout_report:
      return unpack_rollout_report(in);
    case Tag::rollout_grant:
      return unpack_rollout_grant(in);
    case Tag::control_reply: {
      ControlReply reply;
      reply.number = in.number();
      reply.status = static_cast<std::uint32_t>(in.number());
      reply.body = in.text();
      return reply;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string pack(const Message& message) {
  Packer packer;
  std::visit(MessagePacker{packer}, message);
  return std::string(packer.view());
}

std::optional<Message> unpack(std::string_view bytes) {
  Unpacker in(bytes);
  std::optional<Message> message = get(in);
  if (!in.good()) return std::nullopt;
  return message;
}

}  // namespace pearspar::protocol
