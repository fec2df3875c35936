#include "subscription/configuration_watch.h"

#include <algorithm>

namespace pearspar::subscription {
namespace {

using namespace std::chrono_literals;

constexpr Duration fetch_delay = 200ms;      // time for the leader's update to arrive
constexpr Duration first_fetch_delay = 1s;   // without any configuration: a state that has one is due
constexpr Duration request_timeout = 700ms;  // then another member is asked
constexpr std::size_t max_missing = 64;      // the oldest ones count

}  // namespace

void ConfigurationWatch::on_announced(Time now, transport::LinkId link, catalog::Revision revision) {
  if (revision <= adopted_ || revision < newest_announced()) return;
  if (revision == newest_announced()) return add_source(link);
  if (missing_.empty()) next_request_ = now + (adopted_ == 0 ? first_fetch_delay : fetch_delay);
  if (missing_.size() < max_missing)
    missing_.push_back({revision, now});
  else
    missing_.back().revision = revision;
  sources_.clear();
  next_source_ = 0;
  add_source(link);
}

void ConfigurationWatch::add_source(transport::LinkId link) {
  if (std::find(sources_.begin(), sources_.end(), link) == sources_.end()) sources_.push_back(link);
}

void ConfigurationWatch::on_adopted(catalog::Revision revision) {
  adopted_ = std::max(adopted_, revision);
  while (!missing_.empty() && missing_.front().revision <= adopted_) missing_.pop_front();
  if (missing_.empty()) sources_.clear();
}

void ConfigurationWatch::on_link_down(transport::LinkId link) { std::erase(sources_, link); }

std::optional<transport::LinkId> ConfigurationWatch::take_request(Time now) {
  if (now < due()) return std::nullopt;
  next_request_ = now + request_timeout;
  return sources_[next_source_++ % sources_.size()];
}

Time ConfigurationWatch::due() const {
  return missing_.empty() || sources_.empty() ? Time::max() : next_request_;
}

}  // namespace pearspar::subscription
