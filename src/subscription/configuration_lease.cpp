#include "subscription/configuration_lease.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace pearspar::subscription {
namespace {

using namespace std::chrono_literals;

constexpr Duration request_interval = 1s;
constexpr Duration min_retry_interval = 100ms;  // doubled with each retry, up to request_interval
// Two requests to the leader have gone unanswered by then.
constexpr Duration vote_margin = 1500ms;
// More requests than are sent in the lifetime of a lease; an older one renews nothing.
constexpr std::size_t max_unanswered = 16;

}  // namespace

bool ConfigurationLease::needs_votes(Time now) const {
  return until_ == Time::min() || until_ - now < vote_margin;
}

std::uint64_t ConfigurationLease::request(Time now) {
  const bool is_over = now > until_;
  retry_interval_ =
      is_over ? std::clamp(retry_interval_ * 2, min_retry_interval, request_interval) : Duration{};
  next_request_ = now + (is_over ? retry_interval_ : request_interval);
  if (unanswered_.size() >= max_unanswered) unanswered_.pop_front();
  unanswered_.push_back({++last_number_, now, {}, 0, {}});
  return last_number_;
}

void ConfigurationLease::renew(std::uint64_t number) {
  while (!unanswered_.empty() && unanswered_.front().number < number) unanswered_.pop_front();
  if (unanswered_.empty() || unanswered_.front().number != number) return;
  extend(unanswered_.front().sent_at + lifetime_);
  unanswered_.pop_front();
}

// A change that is in force is stored by a majority of the voters, so that it is known to a member of each
// other majority, as long as that is one of the newest membership.
void ConfigurationLease::on_vote(const protocol::LeaseVote& vote) {
  const auto request = std::find_if(unanswered_.begin(), unanswered_.end(),
                                    [&](const Request& each) { return each.number == vote.number; });
  if (request == unanswered_.end()) return;
  request->votes.insert(vote.voter);
  if (request->voters.empty() || vote.membership_index > request->membership_index) {
    request->membership_index = vote.membership_index;
    request->voters = vote.voters;
  }
  const auto granted = std::count_if(request->voters.begin(), request->voters.end(),
                                     [&](raft::MemberId voter) { return request->votes.count(voter) != 0; });
  if (static_cast<std::size_t>(granted) > request->voters.size() / 2) renew(vote.number);
}

void ConfigurationLease::extend(Time until) { until_ = std::max(until_, until); }

}  // namespace pearspar::subscription
