#include "sennes/state.h"

#include "protocol/pack.h"
#include "protocol/quota_codec.h"

namespace pearspar::sennes {
namespace {

// In the place of an revision, which no configuration has: an older program passes such an entry over.
constexpr std::uint64_t allowance_mark = ~std::uint64_t{0};
constexpr std::size_t most_entries = 1 << 16;  // unfolded, in a snapshot

}  // namespace

// An older program reads the first two, and checks the text itself.
std::string State::change(catalog::Revision on_top_of, catalog::Revision revision, const Digest& digest,
                          std::string_view text) {
  protocol::Packer packer;
  packer.array(5);
  packer.number(on_top_of);
  packer.text(text);
  packer.number(revision);
  packer.number(digest.first);
  packer.number(digest.second);
  return std::string(packer.view());
}

std::string State::allowance(std::string_view steps) {
  protocol::Packer packer;
  packer.array(2);
  packer.number(allowance_mark);
  packer.text(steps);
  return std::string(packer.view());
}

void State::apply_allowance(const std::string& bytes) {
  auto steps = protocol::unpack_quota_commands(bytes);
  if (!steps) return;
  for (const protocol::QuotaCommand& step : *steps) {
    if (const auto* ask = std::get_if<pramperet::Ask>(&step))
      accounts_.apply(*ask);
    else if (const auto* turn = std::get_if<protocol::AdvanceWindow>(&step))
      accounts_.turn(turn->window);
    else
      accounts_.gone(std::get<protocol::ExpireEdge>(step).life);
  }
}

void State::keep_unfolded(Unfolded entry) {
  if (doubtful_) return;
  unfolded_bytes_ += entry.text.size();
  unfolded_.push_back(std::move(entry));
  if (unfolded_bytes_ <= most_unfolded && unfolded_.size() <= most_entries) return;
  doubtful_ = true;
  unfolded_.clear();
  unfolded_bytes_ = 0;
}

// As far as this program can read. A configuration under which there were no steps has changed nothing.
void State::fold_on() {
  while (!unfolded_.empty()) {
    const Unfolded& front = unfolded_.front();
    catalog::Fault fault;
    if (front.steps) {
      apply_allowance(front.text);
    } else if (unfolded_.size() == 1 || unfolded_[1].steps) {
      auto read = read_(front.text, fault);
      if (!read) return;
      accounts_.configure(read->quota_rules);
    }
    unfolded_bytes_ -= front.text.size();
    unfolded_.pop_front();
  }
}

void State::take(const Taken::One& one, std::string text) {
  catalog::Fault fault;
  taken_.add(one);
  current_ = read_(text, fault);
  fault_ = fault.text();
  text_ = std::move(text);
  if (current_ && may_serve()) return accounts_.configure(current_->quota_rules);
  keep_unfolded({false, text_});
  if (current_ || unfolded_.size() > 1) fold_on();
}

// An entry that does not follow what stands changes nothing, on every member alike.
void State::apply(const raft::Entry& change) {
  protocol::Unpacker in(change.data);
  catalog::Revision on_top_of = in.number();
  std::string text = in.text();
  if (!in.good()) return;
  if (on_top_of == allowance_mark) {
    if (may_serve()) return apply_allowance(text);
    return keep_unfolded({true, std::move(text)});
  }
  if (on_top_of != revision()) return;
  Taken::One one;
  if (in.more()) {
    one.revision = in.number();
    one.digest.first = in.number();
    one.digest.second = in.number();
    if (!in.good()) return;
  } else {
    // Of a program that left the checks to all: folded as it folded it.
    catalog::Fault fault;
    auto read = read_(text, fault);
    if (!read) return;
    one = {read->revision, digest_of(text)};
  }
  if (one.revision <= revision() || text.empty()) return;
  take(one, std::move(text));
}

// The first three as older programs read them: with up to 512 taken, and all of it read, nothing else.
std::string State::fold() const {
  std::size_t told = std::min(taken_.size(), most_told_apart);
  bool more = taken_.size() > told || taken_.cut() || !unfolded_.empty() || doubtful_;
  protocol::Packer packer;
  packer.array(more ? 4 : accounts_.window() > 0 ? 3 : 2);
  packer.text(text_);
  packer.array(told);
  for (std::size_t i = taken_.size() - told; i < taken_.size(); ++i) {
    packer.array(3);
    packer.number(taken_[i].revision);
    packer.number(taken_[i].digest.first);
    packer.number(taken_[i].digest.second);
  }
  if (more || accounts_.window() > 0) accounts_.fold(packer);
  if (!more) return std::string(packer.view());
  packer.array(4);
  packer.text(taken_.pack_oldest(told));
  packer.flag(taken_.cut());
  packer.flag(doubtful_);
  packer.array(unfolded_.size());
  for (const Unfolded& entry : unfolded_) {
    packer.array(2);
    packer.flag(entry.steps);
    packer.text(entry.text);
  }
  return std::string(packer.view());
}

void State::restore(const std::string& state) {
  protocol::Unpacker in(state);
  *this = State(read_);
  std::string text = in.text();
  std::size_t count = in.enter(most_told_apart);
  std::vector<Taken::One> newest;
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(16);
    Taken::One one;
    one.revision = in.number();
    one.digest.first = in.number();
    one.digest.second = in.number();
    in.leave();
    newest.push_back(one);
  }
  in.leave();
  bool reads = true;
  if (in.more()) reads = accounts_.restore(in);
  bool more = in.more();
  if (more) reads = restore_more(in) && reads;
  for (const Taken::One& one : newest) taken_.add(one);
  // An older program dropped what came before 512 and did not say so.
  if (!more && count == most_told_apart) taken_.set_cut();
  catalog::Fault fault;
  if (!text.empty()) current_ = read_(text, fault);
  fault_ = fault.text();
  text_ = std::move(text);
  // What does not read is no empty state: nobody is told of one, and nothing is taken on top of it.
  if (!state.empty() && (!reads || !in.good())) {
    doubtful_ = true;
    accounts_ = {};
    fault_ = "the state that was kept does not read";
  }
  if (doubtful_) return;
  if (unfolded_.empty() && !text_.empty()) keep_unfolded({false, text_});
  fold_on();
}

bool State::restore_more(protocol::Unpacker& in) {
  in.enter(16);
  if (!taken_.unpack(in.text())) return false;
  if (in.flag()) taken_.set_cut();
  doubtful_ = in.flag();
  std::size_t count = in.enter(most_entries);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(8);
    bool steps = in.flag();
    keep_unfolded({steps, in.text()});
    in.leave();
  }
  in.leave();
  in.leave();
  return in.good();
}

}  // namespace pearspar::sennes
