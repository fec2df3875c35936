#include "control_plane/replicated_state.h"

#include "protocol/pack.h"
#include "protocol/quota_codec.h"
#include "protocol/rollout_codec.h"

namespace pearspar::control_plane {
namespace {

// These stand in the place of the base, where no configuration has them: older programs ignore such an entry.
constexpr std::uint64_t quota_entry_mark = ~std::uint64_t{0};
constexpr std::uint64_t departures_entry_mark = quota_entry_mark - 1;
constexpr std::uint64_t rollouts_entry_mark = quota_entry_mark - 2;
constexpr std::size_t max_unapplied_entries = 1 << 16;

void pack_departure(protocol::Packer& packer, const catalog::Departure& departure) {
  packer.array(2);
  packer.text(departure.node_id);
  packer.flag(departure.retired);
}

catalog::Departure unpack_departure(protocol::Unpacker& in) {
  in.enter(16);
  catalog::Departure departure;
  departure.node_id = in.text();
  departure.retired = in.flag();
  in.leave();
  return departure;
}

}  // namespace

// Older programs read only the first two fields, and validate the text themselves.
std::string ReplicatedState::encode_change(catalog::Revision base, catalog::Revision revision,
                                           const Digest& digest, std::string_view text) {
  protocol::Packer packer;
  packer.array(5);
  packer.number(base);
  packer.text(text);
  packer.number(revision);
  packer.number(digest.first);
  packer.number(digest.second);
  return std::string(packer.view());
}

std::string ReplicatedState::encode_quota_commands(std::string_view commands) {
  protocol::Packer packer;
  packer.array(2);
  packer.number(quota_entry_mark);
  packer.text(commands);
  return std::string(packer.view());
}

// The second field is the text of other entries, which all programs read.
std::string ReplicatedState::encode_departures(const std::vector<catalog::Departure>& departures) {
  protocol::Packer packer;
  packer.array(3);
  packer.number(departures_entry_mark);
  packer.text({});
  packer.array(departures.size());
  for (const catalog::Departure& departure : departures) pack_departure(packer, departure);
  return std::string(packer.view());
}

std::string ReplicatedState::encode_rollout_commands(const std::vector<rollout::RolloutCommand>& commands) {
  protocol::Packer packer;
  packer.array(3);
  packer.number(rollouts_entry_mark);
  packer.text({});
  protocol::pack(packer, commands);
  return std::string(packer.view());
}

void ReplicatedState::apply_rollout_commands(protocol::Unpacker& in, raft::Index index) {
  for (const rollout::RolloutCommand& command : protocol::unpack_rollout_commands(in))
    rollouts_.apply(command, index);
}

void ReplicatedState::apply_departures(protocol::Unpacker& in) {
  std::size_t count = in.enter(catalog::Departures::max_records);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    catalog::Departure departure = unpack_departure(in);
    if (in.good()) departures_.add(departure);
  }
}

void ReplicatedState::apply_quota_commands(const std::string& bytes) {
  auto commands = protocol::unpack_quota_commands(bytes);
  if (!commands) return;
  for (const protocol::QuotaCommand& command : *commands) {
    if (const auto* ask = std::get_if<quota::QuotaRequest>(&command))
      quota_ledger_.apply(*ask);
    else if (const auto* turn = std::get_if<protocol::AdvanceWindow>(&command))
      quota_ledger_.advance_window(turn->window);
    else
      quota_ledger_.expire_edge(std::get<protocol::ExpireEdge>(command).session);
  }
}

void ReplicatedState::defer(UnappliedEntry entry) {
  if (incomplete_) return;
  unapplied_bytes_ += entry.text.size();
  unapplied_.push_back(std::move(entry));
  if (unapplied_bytes_ <= max_unapplied_bytes && unapplied_.size() <= max_unapplied_entries) return;
  incomplete_ = true;
  unapplied_.clear();
  unapplied_bytes_ = 0;
}

// Stops at a configuration that cannot be parsed. One that another configuration follows directly has no
// effect on the accounts and is skipped.
void ReplicatedState::apply_deferred() {
  while (!unapplied_.empty()) {
    const UnappliedEntry& front = unapplied_.front();
    catalog::Fault fault;
    if (front.quota_commands) {
      apply_quota_commands(front.text);
    } else if (unapplied_.size() == 1 || unapplied_[1].quota_commands) {
      auto read = parse_configuration_(front.text, fault);
      if (!read) return;
      quota_ledger_.configure(read->quota_rules);
    }
    unapplied_bytes_ -= front.text.size();
    unapplied_.pop_front();
  }
}

void ReplicatedState::apply_configuration(const ChangeHistory::Entry& entry, std::string text) {
  catalog::Fault fault;
  history_.add(entry);
  configuration_ = parse_configuration_(text, fault);
  fault_ = fault.text();
  text_ = std::move(text);
  if (configuration_ && may_serve()) return quota_ledger_.configure(configuration_->quota_rules);
  defer({false, text_});
  if (configuration_ || unapplied_.size() > 1) apply_deferred();
}

// An entry whose base is not the current configuration changes nothing, on any member.
bool ReplicatedState::is_configuration_change(const raft::Entry& entry) {
  if (entry.kind != raft::EntryKind::change) return false;
  protocol::Unpacker in(entry.data);
  const std::uint64_t mark = in.number();
  return mark != quota_entry_mark && mark != departures_entry_mark && mark != rollouts_entry_mark;
}

void ReplicatedState::apply(const raft::Entry& change) {
  protocol::Unpacker in(change.data);
  catalog::Revision base = in.number();
  std::string text = in.text();
  if (!in.good()) return;
  if (base == quota_entry_mark) {
    if (may_serve()) return apply_quota_commands(text);
    return defer({true, std::move(text)});
  }
  if (base == departures_entry_mark) return apply_departures(in);
  if (base == rollouts_entry_mark) return apply_rollout_commands(in, change.index);
  if (base != revision()) return;
  ChangeHistory::Entry entry;
  if (in.more()) {
    entry.revision = in.number();
    entry.digest.first = in.number();
    entry.digest.second = in.number();
    if (!in.good()) return;
  } else {
    // Written by an older program, where every member validates the text.
    catalog::Fault fault;
    auto read = parse_configuration_(text, fault);
    if (!read) return;
    entry = {read->revision, digest_of(text)};
  }
  if (entry.revision <= revision() || text.empty()) return;
  apply_configuration(entry, std::move(text));
}

// The first three fields are what older programs read and write; the fourth is added only where it is needed.
std::string ReplicatedState::take_snapshot() const {
  std::size_t legacy = std::min(history_.size(), max_legacy_entries);
  bool more = history_.size() > legacy || history_.truncated() || !unapplied_.empty() || incomplete_ ||
              departures_.total() > 0 || !rollouts_.empty();
  protocol::Packer packer;
  packer.array(more ? 4 : quota_ledger_.window() > 0 ? 3 : 2);
  packer.text(text_);
  packer.array(legacy);
  for (std::size_t i = history_.size() - legacy; i < history_.size(); ++i) {
    packer.array(3);
    packer.number(history_[i].revision);
    packer.number(history_[i].digest.first);
    packer.number(history_[i].digest.second);
  }
  if (more || quota_ledger_.window() > 0) quota_ledger_.save(packer);
  if (more) save_extension(packer, legacy);
  return std::string(packer.view());
}

// The last three fields are added only where they are needed.
void ReplicatedState::save_extension(protocol::Packer& packer, std::size_t legacy_entries) const {
  packer.array(!rollouts_.empty() ? 7 : departures_.total() > 0 ? 6 : 4);
  packer.text(history_.pack_oldest(legacy_entries));
  packer.flag(history_.truncated());
  packer.flag(incomplete_);
  packer.array(unapplied_.size());
  for (const UnappliedEntry& entry : unapplied_) {
    packer.array(2);
    packer.flag(entry.quota_commands);
    packer.text(entry.text);
  }
  if (departures_.total() == 0 && rollouts_.empty()) return;
  packer.number(departures_.total());
  packer.array(departures_.records().size());
  for (const catalog::Departure& departure : departures_.records()) pack_departure(packer, departure);
  if (!rollouts_.empty()) protocol::pack(packer, rollouts_);
}

void ReplicatedState::restore(const std::string& state) {
  protocol::Unpacker in(state);
  *this = ReplicatedState(parse_configuration_);
  std::string text = in.text();
  std::size_t count = in.enter(max_legacy_entries);
  std::vector<ChangeHistory::Entry> newest;
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(16);
    ChangeHistory::Entry entry;
    entry.revision = in.number();
    entry.digest.first = in.number();
    entry.digest.second = in.number();
    in.leave();
    newest.push_back(entry);
  }
  in.leave();
  bool valid = true;
  if (in.more()) valid = quota_ledger_.restore(in);
  bool more = in.more();
  if (more) valid = restore_extension(in) && valid;
  for (const ChangeHistory::Entry& entry : newest) history_.add(entry);
  // An older program drops earlier entries without recording it.
  if (!more && count == max_legacy_entries) history_.set_truncated();
  catalog::Fault fault;
  if (!text.empty()) configuration_ = parse_configuration_(text, fault);
  fault_ = fault.text();
  text_ = std::move(text);
  // A malformed snapshot must not pass for an empty state: it is not served, and no change builds on it.
  if (!state.empty() && (!valid || !in.good())) {
    incomplete_ = true;
    quota_ledger_ = {};
    fault_ = "the stored snapshot is malformed";
  }
  if (incomplete_) return;
  if (unapplied_.empty() && !text_.empty()) defer({false, text_});
  apply_deferred();
}

bool ReplicatedState::restore_extension(protocol::Unpacker& in) {
  in.enter(16);
  if (!history_.unpack(in.text())) return false;
  if (in.flag()) history_.set_truncated();
  incomplete_ = in.flag();
  std::size_t count = in.enter(max_unapplied_entries);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(8);
    bool quota_commands = in.flag();
    defer({quota_commands, in.text()});
    in.leave();
  }
  in.leave();
  if (in.more()) restore_departures(in);
  if (in.more()) rollouts_ = protocol::unpack_rollout_ledger(in);
  in.leave();
  return in.good();
}

void ReplicatedState::restore_departures(protocol::Unpacker& in) {
  std::uint64_t total = in.number();
  std::size_t count = in.enter(catalog::Departures::max_records);
  std::deque<catalog::Departure> records;
  for (std::size_t i = 0; i < count && in.good(); ++i) records.push_back(unpack_departure(in));
  in.leave();
  departures_.restore(total, std::move(records));
}

}  // namespace pearspar::control_plane
