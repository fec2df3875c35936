#include "sennes/state.h"

#include <xxhash.h>

#include <algorithm>

#include "fanes/allowance.h"
#include "fanes/pack.h"

namespace pearspar::sennes {
namespace {

// In the place of an edition, which no configuration has: an older program passes such an entry over.
constexpr std::uint64_t allowance_mark = ~std::uint64_t{0};

}  // namespace

Digest digest_of(std::string_view text) {
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

std::string State::change(averau::Edition on_top_of, std::string_view text) {
  fanes::Packer packer;
  packer.array(2);
  packer.number(on_top_of);
  packer.text(text);
  return std::string(packer.view());
}

std::string State::allowance(std::string_view steps) {
  fanes::Packer packer;
  packer.array(2);
  packer.number(allowance_mark);
  packer.text(steps);
  return std::string(packer.view());
}

void State::apply_allowance(const std::string& bytes) {
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

void State::take(averau::ConfigurationPtr configuration) {
  taken_.emplace_back(configuration->edition, digest_of(configuration->text));
  if (taken_.size() > most_taken) taken_.pop_front();
  current_ = std::move(configuration);
  accounts_.configure(current_->allowances);
}

// An entry that does not follow what stands changes nothing, on every member alike.
void State::apply(const lagazuoi::Entry& change) {
  fanes::Unpacker in(change.data);
  averau::Edition on_top_of = in.number();
  std::string text = in.text();
  averau::Fault fault;
  if (in.good() && on_top_of == allowance_mark) return apply_allowance(text);
  if (!in.good() || on_top_of != edition()) return;
  auto read = averau::read_configuration(text, fault);
  if (read && read->edition > edition()) take(std::move(read));
}

std::string State::fold() const {
  fanes::Packer packer;
  packer.array(accounts_.window() > 0 ? 3 : 2);
  packer.text(current_ ? current_->text : std::string());
  packer.array(taken_.size());
  for (const auto& [edition, digest] : taken_) {
    packer.array(3);
    packer.number(edition);
    packer.number(digest.first);
    packer.number(digest.second);
  }
  if (accounts_.window() > 0) accounts_.fold(packer);
  return std::string(packer.view());
}

void State::restore(const std::string& state) {
  fanes::Unpacker in(state);
  std::string text = in.text();
  current_.reset();
  taken_.clear();
  averau::Fault fault;
  if (!text.empty()) current_ = averau::read_configuration(text, fault);
  std::size_t count = in.enter(most_taken);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(16);
    averau::Edition edition = in.number();
    Digest digest;
    digest.first = in.number();
    digest.second = in.number();
    taken_.emplace_back(edition, digest);
    in.leave();
  }
  in.leave();
  accounts_ = {};
  accounts_.configure(current_ ? current_->allowances : nullptr);
  if (in.more() && !accounts_.restore(in)) accounts_ = {};
}

bool State::took(averau::Edition edition, const Digest& digest) const {
  return std::any_of(taken_.begin(), taken_.end(),
                     [&](const auto& taken) { return taken.first == edition && taken.second == digest; });
}

}  // namespace pearspar::sennes
