#include "protocol/raft_codec.h"

namespace pearspar::protocol {
namespace {

using namespace raft;

constexpr std::size_t max_fields = 16;
constexpr std::size_t max_message_fields = 32;
constexpr std::size_t max_members = 64;
constexpr std::size_t max_entries = 4096;

void put(Packer& packer, const Membership& membership) {
  packer.array(2);
  packer.number(membership.target_size);
  packer.array(membership.voters.size());
  for (const Member& voter : membership.voters) {
    packer.array(2);
    packer.number(voter.id);
    packer.text(voter.address);
  }
}

Membership get_membership(Unpacker& unpacker) {
  Membership membership;
  unpacker.enter(max_fields);
  membership.target_size = static_cast<std::uint32_t>(unpacker.number());
  std::size_t count = unpacker.enter(max_members);
  for (std::size_t i = 0; i < count && unpacker.good(); ++i) {
    unpacker.enter(max_fields);
    Member member;
    member.id = unpacker.number();
    member.address = unpacker.text();
    membership.voters.push_back(std::move(member));
    unpacker.leave();
  }
  unpacker.leave();
  unpacker.leave();
  return membership;
}

void put(Packer& packer, const Entry& entry) {
  packer.array(5);
  packer.number(entry.index);
  packer.number(entry.term);
  packer.number(static_cast<std::uint64_t>(entry.kind));
  packer.text(entry.data);
  put(packer, entry.membership);
}

Entry get_entry(Unpacker& unpacker) {
  Entry entry;
  unpacker.enter(max_fields);
  entry.index = unpacker.number();
  entry.term = unpacker.number();
  // An entry of a kind that only a newer program knows must not be read as another kind.
  std::uint64_t kind = unpacker.number();
  if (kind > static_cast<std::uint64_t>(EntryKind::membership)) unpacker.fail();
  entry.kind = static_cast<EntryKind>(kind);
  entry.data = unpacker.text();
  entry.membership = get_membership(unpacker);
  unpacker.leave();
  return entry;
}

void put(Packer& packer, const Snapshot& snapshot) {
  packer.array(4);
  packer.number(snapshot.index);
  packer.number(snapshot.term);
  put(packer, snapshot.membership);
  packer.text(snapshot.state);
}

Snapshot get_snapshot(Unpacker& unpacker) {
  Snapshot snapshot;
  unpacker.enter(max_fields);
  snapshot.index = unpacker.number();
  snapshot.term = unpacker.number();
  snapshot.membership = get_membership(unpacker);
  snapshot.state = unpacker.text();
  unpacker.leave();
  return snapshot;
}

template <typename T>
std::string packed(const T& value) {
  Packer packer;
  packer.array(1);
  put(packer, value);
  return std::string(packer.view());
}

}  // namespace

void pack(Packer& packer, const Message& message) {
  packer.array(15);
  packer.number(static_cast<std::uint64_t>(message.kind));
  packer.number(message.from);
  packer.number(message.to);
  packer.text(message.from_address);
  packer.number(message.term);
  packer.number(message.index);
  packer.number(message.log_term);
  packer.number(message.commit);
  packer.number(message.round);
  packer.flag(message.flag);
  packer.array(message.entries.size());
  for (const Entry& entry : message.entries) put(packer, entry);
  bool is_chunk =
      message.kind == MessageKind::snapshot_chunk || message.kind == MessageKind::snapshot_chunk_response;
  bool has_snapshot =
      message.kind == MessageKind::install_snapshot || message.kind == MessageKind::snapshot_chunk;
  packer.array(has_snapshot ? 1 : 0);
  if (has_snapshot) put(packer, message.snapshot);
  // Fields that the first version of the program did not send; it skips them.
  packer.number(message.capabilities);
  packer.array(is_chunk ? 3 : 0);
  if (is_chunk) {
    packer.number(message.offset);
    packer.number(message.total);
    packer.number(message.digest);
  }
  packer.number(message.acknowledged);
}

bool unpack(Unpacker& unpacker, Message& message) {
  unpacker.enter(max_message_fields);
  std::uint64_t kind = unpacker.number();
  if (kind > static_cast<std::uint64_t>(MessageKind::leave)) return false;
  message.kind = static_cast<MessageKind>(kind);
  message.from = unpacker.number();
  message.to = unpacker.number();
  message.from_address = unpacker.text();
  message.term = unpacker.number();
  message.index = unpacker.number();
  message.log_term = unpacker.number();
  message.commit = unpacker.number();
  message.round = unpacker.number();
  message.flag = unpacker.flag();
  std::size_t count = unpacker.enter(max_entries);
  for (std::size_t i = 0; i < count && unpacker.good(); ++i) message.entries.push_back(get_entry(unpacker));
  unpacker.leave();
  if (unpacker.enter(1) == 1) message.snapshot = get_snapshot(unpacker);
  unpacker.leave();
  if (unpacker.more()) message.capabilities = unpacker.number();
  if (unpacker.more()) {
    if (unpacker.enter(max_fields) >= 3) {
      message.offset = unpacker.number();
      message.total = unpacker.number();
      message.digest = unpacker.number();
    }
    unpacker.leave();
  }
  if (unpacker.more()) message.acknowledged = unpacker.number();
  unpacker.leave();
  return unpacker.good();
}

std::string pack_entry(const Entry& entry) { return packed(entry); }
std::string pack_snapshot(const Snapshot& snapshot) { return packed(snapshot); }

std::optional<Entry> unpack_entry(std::string_view bytes) {
  Unpacker unpacker(bytes);
  Entry entry = get_entry(unpacker);
  return unpacker.at_end() ? std::optional(std::move(entry)) : std::nullopt;
}

std::optional<Snapshot> unpack_snapshot(std::string_view bytes) {
  Unpacker unpacker(bytes);
  Snapshot snapshot = get_snapshot(unpacker);
  return unpacker.at_end() ? std::optional(std::move(snapshot)) : std::nullopt;
}

std::string pack_vote(const Vote& vote) {
  Packer packer;
  packer.array(2);
  packer.number(vote.term);
  packer.number(vote.voted_for);
  return std::string(packer.view());
}

std::optional<Vote> unpack_vote(std::string_view bytes) {
  Unpacker unpacker(bytes);
  Vote vote;
  vote.term = unpacker.number();
  vote.voted_for = unpacker.number();
  return unpacker.at_end() ? std::optional(vote) : std::nullopt;
}

}  // namespace pearspar::protocol
