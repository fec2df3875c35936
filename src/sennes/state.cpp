#include "sennes/state.h"

#include <xxhash.h>

#include <algorithm>

#include "fanes/pack.h"

namespace pearspar::sennes {

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

void State::take(averau::ConfigurationPtr configuration) {
  taken_.emplace_back(configuration->edition, digest_of(configuration->text));
  if (taken_.size() > most_taken) taken_.pop_front();
  current_ = std::move(configuration);
}

// An entry that does not follow what stands changes nothing, on every member alike.
void State::apply(const lagazuoi::Entry& change) {
  fanes::Unpacker in(change.data);
  averau::Edition on_top_of = in.number();
  std::string text = in.text();
  averau::Fault fault;
  if (!in.good() || on_top_of != edition()) return;
  auto read = averau::read_configuration(text, fault);
  if (read && read->edition > edition()) take(std::move(read));
}

std::string State::fold() const {
  fanes::Packer packer;
  packer.array(2);
  packer.text(current_ ? current_->text : std::string());
  packer.array(taken_.size());
  for (const auto& [edition, digest] : taken_) {
    packer.array(3);
    packer.number(edition);
    packer.number(digest.first);
    packer.number(digest.second);
  }
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
}

bool State::took(averau::Edition edition, const Digest& digest) const {
  return std::any_of(taken_.begin(), taken_.end(),
                     [&](const auto& taken) { return taken.first == edition && taken.second == digest; });
}

}  // namespace pearspar::sennes
