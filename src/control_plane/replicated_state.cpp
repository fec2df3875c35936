#include "control_plane/replicated_state.h"

#include "fanes/allowance.h"
#include "fanes/pack.h"

namespace pearspar::control_plane {
namespace {

// In the place of an edition, which no configuration has: an older program passes such an entry over.
constexpr std::uint64_t quota_entry_mark = ~std::uint64_t{0};
constexpr std::size_t max_unapplied_entries = 1 << 16;  // unfolded, in a snapshot

}  // namespace

// An older program reads the first two, and checks the text itself.
std::string ReplicatedState::encode_change(averau::Edition base, averau::Edition edition,
                                           const Digest& digest, std::string_view text) {
  fanes::Packer packer;
  packer.array(5);
  packer.number(base);
  packer.text(text);
  packer.number(edition);
  packer.number(digest.first);
  packer.number(digest.second);
  return std::string(packer.view());
}

std::string ReplicatedState::encode_quota_commands(std::string_view steps) {
  fanes::Packer packer;
  packer.array(2);
  packer.number(quota_entry_mark);
  packer.text(steps);
  return std::string(packer.view());
}

void ReplicatedState::apply_quota_commands(const std::string& bytes) {
  auto steps = fanes::unpack_steps(bytes);
  if (!steps) return;
  for (const fanes::AllowanceStep& step : *steps) {
    if (const auto* ask = std::get_if<pramperet::Ask>(&step))
      accounts_.apply(*ask);
    else if (const auto* turn = std::get_if<fanes::Turn>(&step))
      accounts_.turn(turn->window);
    else
      accounts_.gone(std::get<fanes::Gone>(step).life);
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

// As far as this program can read. A configuration under which there were no steps has changed nothing.
void ReplicatedState::apply_deferred() {
  while (!unapplied_.empty()) {
    const UnappliedEntry& front = unapplied_.front();
    averau::Fault fault;
    if (front.steps) {
      apply_quota_commands(front.text);
    } else if (unapplied_.size() == 1 || unapplied_[1].steps) {
      auto read = parse_configuration_(front.text, fault);
      if (!read) return;
      accounts_.configure(read->allowances);
    }
    unapplied_bytes_ -= front.text.size();
    unapplied_.pop_front();
  }
}

void ReplicatedState::apply_configuration(const ChangeHistory::Entry& one, std::string text) {
  averau::Fault fault;
  history_.add(one);
  configuration_ = parse_configuration_(text, fault);
  fault_ = fault.text();
  text_ = std::move(text);
  if (configuration_ && may_serve()) return accounts_.configure(configuration_->allowances);
  defer({false, text_});
  if (configuration_ || unapplied_.size() > 1) apply_deferred();
}

// An entry that does not follow what stands changes nothing, on every member alike.
void ReplicatedState::apply(const raft::Entry& change) {
  fanes::Unpacker in(change.data);
  averau::Edition base = in.number();
  std::string text = in.text();
  if (!in.good()) return;
  if (base == quota_entry_mark) {
    if (may_serve()) return apply_quota_commands(text);
    return defer({true, std::move(text)});
  }
  if (base != edition()) return;
  ChangeHistory::Entry one;
  if (in.more()) {
    one.edition = in.number();
    one.digest.first = in.number();
    one.digest.second = in.number();
    if (!in.good()) return;
  } else {
    // Of a program that left the checks to all: folded as it folded it.
    averau::Fault fault;
    auto read = parse_configuration_(text, fault);
    if (!read) return;
    one = {read->edition, digest_of(text)};
  }
  if (one.edition <= edition() || text.empty()) return;
  apply_configuration(one, std::move(text));
}

// The first three as older programs read them: with up to 512 taken, and all of it read, nothing else.
std::string ReplicatedState::fold() const {
  std::size_t told = std::min(history_.size(), max_legacy_entries);
  bool more = history_.size() > told || history_.truncated() || !unapplied_.empty() || incomplete_;
  fanes::Packer packer;
  packer.array(more ? 4 : accounts_.window() > 0 ? 3 : 2);
  packer.text(text_);
  packer.array(told);
  for (std::size_t i = history_.size() - told; i < history_.size(); ++i) {
    packer.array(3);
    packer.number(history_[i].edition);
    packer.number(history_[i].digest.first);
    packer.number(history_[i].digest.second);
  }
  if (more || accounts_.window() > 0) accounts_.fold(packer);
  if (!more) return std::string(packer.view());
  packer.array(4);
  packer.text(history_.pack_oldest(told));
  packer.flag(history_.truncated());
  packer.flag(incomplete_);
  packer.array(unapplied_.size());
  for (const UnappliedEntry& entry : unapplied_) {
    packer.array(2);
    packer.flag(entry.steps);
    packer.text(entry.text);
  }
  return std::string(packer.view());
}

void ReplicatedState::restore(const std::string& state) {
  fanes::Unpacker in(state);
  *this = ReplicatedState(parse_configuration_);
  std::string text = in.text();
  std::size_t count = in.enter(max_legacy_entries);
  std::vector<ChangeHistory::Entry> newest;
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(16);
    ChangeHistory::Entry one;
    one.edition = in.number();
    one.digest.first = in.number();
    one.digest.second = in.number();
    in.leave();
    newest.push_back(one);
  }
  in.leave();
  bool reads = true;
  if (in.more()) reads = accounts_.restore(in);
  bool more = in.more();
  if (more) reads = restore_extension(in) && reads;
  for (const ChangeHistory::Entry& one : newest) history_.add(one);
  // An older program dropped what came before 512 and did not say so.
  if (!more && count == max_legacy_entries) history_.set_truncated();
  averau::Fault fault;
  if (!text.empty()) configuration_ = parse_configuration_(text, fault);
  fault_ = fault.text();
  text_ = std::move(text);
  // What does not read is no empty state: nobody is told of one, and nothing is taken on top of it.
  if (!state.empty() && (!reads || !in.good())) {
    incomplete_ = true;
    accounts_ = {};
    fault_ = "the state that was kept does not read";
  }
  if (incomplete_) return;
  if (unapplied_.empty() && !text_.empty()) defer({false, text_});
  apply_deferred();
}

bool ReplicatedState::restore_extension(fanes::Unpacker& in) {
  in.enter(16);
  if (!history_.unpack(in.text())) return false;
  if (in.flag()) history_.set_truncated();
  incomplete_ = in.flag();
  std::size_t count = in.enter(max_unapplied_entries);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(8);
    bool steps = in.flag();
    defer({steps, in.text()});
    in.leave();
  }
  in.leave();
  in.leave();
  return in.good();
}

}  // namespace pearspar::control_plane
