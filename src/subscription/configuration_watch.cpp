#include "subscription/configuration_watch.h"

#include <algorithm>

namespace pearspar::subscription {
namespace {

using namespace std::chrono_literals;

constexpr Duration fetch_delay = 200ms;      // time for the leader's update to arrive
constexpr Duration request_timeout = 700ms;  // then another member is asked
constexpr std::size_t max_missing = 64;      // the oldest ones count

}  // namespace

void ConfigurationWatch::on_announced(Time now, Source source, catalog::Revision revision) {
  if (revision <= adopted_ || revision < newest_announced()) return;
  if (revision == newest_announced()) return add_source(source);
  if (missing_.empty()) next_request_ = now + fetch_delay;
  if (missing_.size() < max_missing)
    missing_.push_back({revision, now});
  else
    missing_.back().revision = revision;
  sources_.clear();
  next_source_ = 0;
  add_source(source);
}

void ConfigurationWatch::add_source(Source source) {
  const auto known = std::find_if(sources_.begin(), sources_.end(),
                                  [&](const Source& each) { return each.link == source.link; });
  if (known != sources_.end()) {
    if (known->is_nearby || !source.is_nearby) return;
    sources_.erase(known);
  }
  sources_.insert(source.is_nearby ? sources_.begin() : sources_.end(), source);
}

void ConfigurationWatch::on_adopted(catalog::Revision revision) {
  adopted_ = std::max(adopted_, revision);
  while (!missing_.empty() && missing_.front().revision <= adopted_) missing_.pop_front();
  if (missing_.empty()) sources_.clear();
}

void ConfigurationWatch::on_link_down(transport::LinkId link) {
  std::erase_if(sources_, [&](const Source& each) { return each.link == link; });
}

std::optional<transport::LinkId> ConfigurationWatch::take_request(Time now) {
  if (now < due()) return std::nullopt;
  next_request_ = now + request_timeout;
  return sources_[next_source_++ % sources_.size()].link;
}

Time ConfigurationWatch::due() const {
  return missing_.empty() || sources_.empty() ? Time::max() : next_request_;
}

}  // namespace pearspar::subscription
