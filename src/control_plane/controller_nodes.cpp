// The list of nodes: heartbeats, leaves, expiry of silent nodes, and what is stored for a restart.
#include <algorithm>

#include "control_plane/controller.h"

namespace pearspar::control_plane {
namespace {

using namespace std::chrono_literals;
using catalog::quoted;

constexpr Duration acknowledgement_timeout = 500ms;  // of a leaving node's change by the followers
constexpr double heartbeats_until_lost = 5;          // missed in a row
constexpr Duration expiry_interval = 300ms;
constexpr Duration stall_threshold = 1s;  // after a longer stall of this process, silence proves nothing

}  // namespace

void Controller::handle_heartbeat(Time now, Request& request) {
  catalog::Fault fault;
  auto node = catalog::parse_heartbeat(std::string_view(request.path).substr(nodes_path.size()), request.body,
                                       now, fault);
  if (!node) return reply_error(request, 400, fault.text());
  std::string answer = "{\"beatAddress\":" + quoted(options_.control_address) + "}";
  const catalog::Node* known = view_.nodes().find(node->id);
  bool closing = node->closing;
  catalog::Departure departure{node->id, false};
  if (view_.nodes().is_retired(node->id)) {
    if (closing) return answer_when_recorded(now, request, std::move(departure));
    return reply(request, 200, std::move(answer));
  }
  last_heartbeats_[node->id] = now;
  if (view_.nodes().is_closing(node->id)) node->closing = true;
  // No node opens again, so a closing record counts however late it comes. One of an operator has the
  // sequence number that the operator has read.
  if (closing && known && node->sequence < known->sequence) {
    *node = *known;
    node->closing = true;
  }
  if (!known || (node->sequence >= known->sequence && !known->same_description(*node))) {
    protocol::Change change;
    change.kind = protocol::ChangeKind::node_updated;
    change.update.node = *node;
    change.update.cold_ms = remaining_cold_ms(now, *node);
    followers_.add(now, std::move(change));
  } else {
    view_.nodes().put(*node);
  }
  if (!closing) return reply(request, 200, std::move(answer));
  answer_when_recorded(now, request, std::move(departure));
}

void Controller::handle_leave(Time now, Request& request) {
  std::string id = request.path.substr(nodes_path.size());
  last_heartbeats_.erase(id);
  if (!view_.nodes().is_retired(id)) {
    protocol::Change change;
    change.kind = protocol::ChangeKind::node_retired;
    change.text = id;
    followers_.add(now, std::move(change));
  }
  answer_when_recorded(now, request, {std::move(id), true});
}

// A node that was told that it has left must stay so after a restart of all members: they restore lists of
// nodes from before.
void Controller::answer_when_recorded(Time now, Request& request, catalog::Departure departure) {
  request.release_body();
  auto ticket = state_.departures().has(departure) ? DepartureProposals::recorded
                                                   : departures_.add(std::move(departure));
  pending_updates_.push_back({std::move(request), view_.at(), now + acknowledgement_timeout, ticket});
}

void Controller::propose_departures(Time now) {
  if (!is_active()) return;
  departures_.on_applied(core_.applied());
  if (!core_.holds_lease(now)) return;
  auto batch = departures_.next_batch();
  if (batch.empty()) return;
  departures_.proposed(core_.propose(now, ReplicatedState::encode_departures(batch)));
  reject_lost_departures();
  departures_.on_applied(core_.applied());
}

void Controller::reject_lost_departures() {
  std::erase_if(pending_updates_, [&](const PendingUpdate& each) {
    if (!departures_.is_lost(each.departure)) return false;
    reply_error(each.request, 503, "the departure could not be appended to the log");
    return true;
  });
}

// Applies the departures that were recorded since the last call, or all where some of those were dropped.
void Controller::adopt_departures() {
  const catalog::Departures& departures = state_.departures();
  if (departures.total() == adopted_departures_) return;
  const auto& records = departures.records();
  std::uint64_t fresh = departures.total() - std::min(adopted_departures_, departures.total());
  std::size_t first = records.size() - std::min<std::uint64_t>(records.size(), fresh);
  for (std::size_t i = first; i < records.size(); ++i) view_.apply(records[i]);
  adopted_departures_ = departures.total();
}

// Answers once the departure is committed, and all followers that hold a lease have acknowledged the change
// or the timeout has passed.
void Controller::finish_pending_updates(Time now) {
  while (!pending_updates_.empty()) {
    PendingUpdate& first = pending_updates_.front();
    bool still_leads = core_.holds_lease(now) && first.at.term == core_.term();
    if (still_leads && !departures_.is_committed(first.departure)) return;
    if (still_leads && now < first.until && !followers_.acknowledged(now, first.at)) return;
    if (still_leads)
      reply(first.request, 200,
            first.request.method == "PUT" ? "{\"beatAddress\":" + quoted(options_.control_address) + "}"
                                          : "{}");
    else
      reply_error(first.request, 503, "the leader changed meanwhile");
    pending_updates_.pop_front();
  }
}

void Controller::expire_silent_nodes(Time now) {
  if (now < next_expiry_) return;
  if (Duration stalled = now - next_expiry_; stalled > stall_threshold)
    for (auto& [id, heard] : last_heartbeats_) heard = std::min(now, heard + stalled);
  next_expiry_ = now + expiry_interval;
  if (now < list_complete_at_) return;
  Duration node_timeout = options_.heartbeat_interval * heartbeats_until_lost;
  std::vector<std::string> lost;
  for (const auto& [id, heard] : last_heartbeats_)
    if (now - heard > node_timeout) lost.push_back(id);
  for (const std::string& id : lost) {
    last_heartbeats_.erase(id);
    if (!view_.nodes().find(id)) continue;
    protocol::Change change;
    change.kind = protocol::ChangeKind::node_removed;
    change.text = id;
    followers_.add(now, std::move(change));
  }
  followers_.complete_list(now);
}

std::string Controller::encode_nodes(Time now) const {
  protocol::StateSnapshot standing;
  standing.complete = false;
  followers_.append_nodes(now, standing);
  return protocol::pack(std::move(standing));
}

// After a restart: the list may be outdated, but no better one may be known yet.
void Controller::restore_nodes(Time now, const std::string& encoded) {
  view_.adopt(state_.configuration());
  auto message = protocol::unpack(encoded);
  if (message)
    if (const auto* standing = std::get_if<protocol::StateSnapshot>(&*message)) view_.apply(now, *standing);
  adopt_departures();
}

}  // namespace pearspar::control_plane
