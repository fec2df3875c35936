#include "subscription/configuration_watch.h"

#include <algorithm>

namespace pearspar::subscription {
namespace {

using namespace std::chrono_literals;

// Time for the leader's update to arrive, and for a member of this edge's zone to announce the configuration.
constexpr Duration fetch_delay = 200ms;
constexpr Duration far_fetch_delay = 300ms;
constexpr Duration first_request_timeout = 700ms;  // then another member is asked; doubled with each
constexpr Duration max_request_timeout = 5s;
constexpr Duration unreadable_retry_delay = 10s;
constexpr std::size_t max_missing = 64;  // the oldest ones count

}  // namespace

void ConfigurationWatch::on_announced(Time now, Source source, catalog::Revision revision, Duration age) {
  if (revision <= adopted_ || revision < newest_announced()) return;
  if (revision == newest_announced()) return add_source(now, source);
  const Time in_force_since = std::max(now - age, std::min(adopted_at_, now));
  if (missing_.empty() || unreadable_ == newest_announced()) next_request_ = now + far_fetch_delay;
  if (missing_.size() < max_missing)
    missing_.push_back({revision, in_force_since});
  else
    missing_.back().revision = revision;
  sources_.clear();
  request_timeout_ = first_request_timeout;
  add_source(now, source);
}

// Nearby members come first; others in an order that differs from edge to edge.
void ConfigurationWatch::add_source(Time now, Source source) {
  const auto known = std::find_if(sources_.begin(), sources_.end(),
                                  [&](const Source& each) { return each.link == source.link; });
  if (known != sources_.end()) {
    if (known->is_nearby || !source.is_nearby) return;
    sources_.erase(known);
  }
  if (source.is_nearby) {
    sources_.insert(sources_.begin(), source);
    next_source_ = 0;
    if (unreadable_ != newest_announced()) next_request_ = std::min(next_request_, now + fetch_delay);
    return;
  }
  const auto far =
      std::find_if(sources_.begin(), sources_.end(), [](const Source& each) { return !each.is_nearby; });
  const auto place = seed_ % static_cast<std::uint64_t>(sources_.end() - far + 1);
  sources_.insert(far + static_cast<std::ptrdiff_t>(place), source);
}

void ConfigurationWatch::on_adopted(Time now, catalog::Revision revision) {
  if (revision <= adopted_) return;
  adopted_ = revision;
  adopted_at_ = now;
  while (!missing_.empty() && missing_.front().revision <= adopted_) missing_.pop_front();
  if (missing_.empty()) sources_.clear();
}

void ConfigurationWatch::on_unreadable(Time now, catalog::Revision revision) {
  unreadable_ = std::max(unreadable_, revision);
  if (unreadable_ == newest_announced()) next_request_ = now + unreadable_retry_delay;
}

void ConfigurationWatch::on_link_down(transport::LinkId link) {
  std::erase_if(sources_, [&](const Source& each) { return each.link == link; });
}

std::optional<transport::LinkId> ConfigurationWatch::take_request(Time now) {
  if (now < due()) return std::nullopt;
  next_request_ = now + request_timeout_;
  request_timeout_ = std::min(request_timeout_ * 2, max_request_timeout);
  return sources_[next_source_++ % sources_.size()].link;
}

Time ConfigurationWatch::due() const {
  return missing_.empty() || sources_.empty() ? Time::max() : next_request_;
}

}  // namespace pearspar::subscription
