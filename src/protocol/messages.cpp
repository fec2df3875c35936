#include "protocol/messages.h"

#include <algorithm>

#include "protocol/pack.h"
#include "protocol/quota_codec.h"
#include "protocol/raft_codec.h"

namespace pearspar::protocol {
namespace {

// The first field of each message.
enum class Tag : std::uint64_t {
  agreement = 1,
  hello,
  welcome,
  standing,
  changes,
  ping,
  ack,
  farewell,
  call,
  call_answer,
  want,
  grant,
  ask,
  tell,
  neighbours,
  where,
  there
};

constexpr std::size_t most_fields = 32;
constexpr std::size_t most_nodes = 65536;
constexpr std::size_t most_changes = 65536;
constexpr std::size_t most_tokens = 4096;
constexpr std::size_t most_cores = 64;
constexpr std::size_t most_neighbours = 16;

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

void put(Packer& packer, const NodeUpdate& news) {
  const catalog::Node& node = news.node;
  packer.array(9);
  packer.text(node.id);
  packer.text(node.service);
  packer.text(node.address);
  packer.text(node.zone);
  packer.text(node.software_version);
  packer.number(static_cast<std::uint64_t>(node.slots));
  packer.flag(node.closing);
  packer.number(node.sequence);
  packer.number(news.cold_ms);
}
NodeUpdate get_news(Unpacker& in) {
  NodeUpdate news;
  catalog::Node& node = news.node;
  in.enter(most_fields);
  node.id = in.text();
  node.service = in.text();
  node.address = in.text();
  node.zone = in.text();
  node.software_version = in.text();
  node.slots = static_cast<int>(in.number());
  node.closing = in.flag();
  node.sequence = in.number();
  news.cold_ms = static_cast<std::uint32_t>(in.number());
  in.leave();
  return news;
}

void put(Packer& packer, const std::vector<std::string>& texts) {
  packer.array(texts.size());
  for (const std::string& text : texts) packer.text(text);
}
std::vector<std::string> get_texts(Unpacker& in, std::size_t most) {
  std::vector<std::string> texts;
  std::size_t count = in.enter(most);
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
  std::size_t count = in.enter(most_tokens);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(most_fields);
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

struct Put {
  Packer& packer;
  void operator()(const raft::Message& message) const {
    begin(packer, Tag::agreement, 1);
    pack(packer, message);
  }
  void operator()(const Hello& hello) const {
    begin(packer, Tag::hello, 8);
    packer.number(hello.incarnation);
    packer.number(static_cast<std::uint64_t>(hello.kind));
    packer.text(hello.name);
    packer.text(hello.zone);
    put(packer, hello.position);
    packer.number(hello.revision);
    packer.text(hello.address);
  }
  void operator()(const Welcome& welcome) const {
    begin(packer, Tag::welcome, 3);
    packer.number(welcome.term);
    packer.flag(welcome.leads);
    put(packer, welcome.cores);
  }
  void operator()(const StateSnapshot& standing) const {
    begin(packer, Tag::standing, 9);
    put(packer, standing.at);
    packer.flag(standing.complete);
    packer.number(standing.edges);
    packer.number(standing.revision);
    packer.text(standing.configuration);
    packer.array(standing.nodes.size());
    for (const NodeUpdate& news : standing.nodes) put(packer, news);
    put(packer, standing.retired);
    packer.number(standing.coverage);
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
    begin(packer, Tag::ack, 6);
    packer.number(ack.incarnation);
    put(packer, ack.at);
    packer.number(ack.revision);
    packer.number(ack.coverage);
    packer.number(ack.node_list_digest);
  }
  void operator()(const Goodbye& farewell) const {
    begin(packer, Tag::farewell, 1);
    packer.number(farewell.incarnation);
  }
  void operator()(const TokenRequest& want) const {
    begin(packer, Tag::want, 3);
    packer.number(want.incarnation);
    packer.number(want.number);
    put(packer, want.tokens);
  }
  void operator()(const TokenGrant& grant) const {
    begin(packer, Tag::grant, 2);
    packer.number(grant.number);
    put(packer, grant.tokens);
  }
  void operator()(const pramperet::Ask& ask) const {
    begin(packer, Tag::ask, 1);
    pack(packer, ask);
  }
  void operator()(const pramperet::Tell& tell) const {
    begin(packer, Tag::tell, 1);
    pack(packer, tell);
  }
  void operator()(const Neighbours& neighbours) const {
    begin(packer, Tag::neighbours, 1);
    put(packer, neighbours.edges);
  }
  void operator()(const CoreQuery&) const { begin(packer, Tag::where, 0); }
  void operator()(const CoreAddresses& there) const {
    begin(packer, Tag::there, 2);
    packer.number(there.term);
    put(packer, there.cores);
  }
  void operator()(const ControlCall& call) const {
    begin(packer, Tag::call, 7);
    packer.number(call.number);
    packer.text(call.from);
    packer.text(call.method);
    packer.text(call.path);
    packer.text(call.if_match);
    packer.text(call.body);
    packer.number(call.timeout_ms);
  }
  void operator()(const ControlReply& answer) const {
    begin(packer, Tag::call_answer, 3);
    packer.number(answer.number);
    packer.number(answer.status);
    packer.text(answer.body);
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
  return hello;
}

StateSnapshot get_standing(Unpacker& in) {
  StateSnapshot standing;
  standing.at = get_position(in);
  standing.complete = in.flag();
  standing.edges = static_cast<std::uint32_t>(in.number());
  standing.revision = in.number();
  standing.configuration = in.text();
  std::size_t count = in.enter(most_nodes);
  for (std::size_t i = 0; i < count && in.good(); ++i) standing.nodes.push_back(get_news(in));
  in.leave();
  standing.retired = get_texts(in, most_nodes);
  standing.coverage = get_coverage(in);
  return standing;
}

Changes get_changes(Unpacker& in) {
  Changes changes;
  changes.after = get_position(in);
  std::size_t count = in.enter(most_changes);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    Change change;
    in.enter(most_fields);
    std::uint64_t kind = in.number();
    change.kind = static_cast<ChangeKind>(kind);
    change.revision = in.number();
    change.text = in.text();
    change.update = get_news(in);
    in.leave();
    // One that a newer program has put here is counted and passed over: its number is a change's that says
    // nothing.
    if (kind > static_cast<std::uint64_t>(ChangeKind::configuration_delta)) change = {};
    changes.changes.push_back(std::move(change));
  }
  in.leave();
  return changes;
}

ControlCall get_call(Unpacker& in) {
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
    case Tag::agreement: {
      raft::Message message;
      if (!unpack(in, message)) return std::nullopt;
      return message;
    }
    case Tag::hello:
      return get_hello(in);
    case Tag::welcome: {
      Welcome welcome;
      welcome.term = in.number();
      welcome.leads = in.flag();
      welcome.cores = get_texts(in, most_cores);
      return welcome;
    }
    case Tag::standing:
      return get_standing(in);
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
      return ack;
    }
    case Tag::farewell:
      return Goodbye{in.number()};
    case Tag::call:
      return get_call(in);
    case Tag::want: {
      TokenRequest want;
      want.incarnation = in.number();
      want.number = in.number();
      want.tokens = get_tokens(in);
      return want;
    }
    case Tag::grant: {
      TokenGrant grant;
      grant.number = in.number();
      grant.tokens = get_tokens(in);
      return grant;
    }
    case Tag::ask:
      return unpack_ask(in);
    case Tag::tell:
      return unpack_tell(in);
    case Tag::neighbours:
      return Neighbours{get_texts(in, most_neighbours)};
    case Tag::where:
      return CoreQuery{};
    case Tag::there: {
      CoreAddresses there;
      there.term = in.number();
      there.cores = get_texts(in, most_cores);
      return there;
    }
    case Tag::call_answer: {
      ControlReply answer;
      answer.number = in.number();
      answer.status = static_cast<std::uint32_t>(in.number());
      answer.body = in.text();
      return answer;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string pack(const Message& message) {
  Packer packer;
  std::visit(Put{packer}, message);
  return std::string(packer.view());
}

std::optional<Message> unpack(std::string_view bytes) {
  Unpacker in(bytes);
  std::optional<Message> message = get(in);
  if (!in.good()) return std::nullopt;
  return message;
}

}  // namespace pearspar::protocol
