// The list of nodes: beats, leaves, who fell silent, what is kept over a restart.
#include <algorithm>

#include "control_plane/controller.h"

namespace pearspar::control_plane {
namespace {

using namespace std::chrono_literals;
using averau::quoted;

constexpr Duration acknowledgement_timeout = 500ms;  // a node's leaving, until all that are in touch have it
constexpr double heartbeats_until_lost = 5;          // without one of its beats a node is lost
constexpr Duration expiry_interval = 300ms;
constexpr Duration stall_threshold = 1s;  // longer than that nobody was listened to

}  // namespace

void Controller::handle_heartbeat(Time now, Request& request) {
  averau::Fault fault;
  auto node =
      averau::read_beat(std::string_view(request.path).substr(nodes_path.size()), request.body, now, fault);
  if (!node) return reply_error(request, 400, fault.text());
  std::string told = "{\"beatAddress\":" + quoted(options_.control_address) + "}";
  const averau::Node* known = view_.nodes().find(node->id);
  if (view_.nodes().is_gone(node->id)) return reply(request, 200, std::move(told));
  last_heartbeats_[node->id] = now;
  bool closing = node->closing;
  if (!known || (node->call >= known->call && !known->says_the_same(*node))) {
    fanes::Change change;
    change.kind = fanes::ChangeKind::node;
    change.news.node = *node;
    change.news.cold_ms = remaining_cold_ms(now, *node);
    followers_.add(now, std::move(change));
  } else {
    view_.nodes().put(*node);
  }
  if (!closing) return reply(request, 200, std::move(told));
  request.release_body();
  pending_updates_.push_back({std::move(request), view_.at(), now + acknowledgement_timeout});
}

void Controller::handle_leave(Time now, Request& request) {
  std::string id = request.path.substr(nodes_path.size());
  last_heartbeats_.erase(id);
  if (!view_.nodes().is_gone(id)) {
    fanes::Change change;
    change.kind = fanes::ChangeKind::gone;
    change.text = id;
    followers_.add(now, std::move(change));
  }
  pending_updates_.push_back({std::move(request), view_.at(), now + acknowledgement_timeout});
}

// Said only when it has reached all that hold a lease, or those that it has not reached had their time.
void Controller::finish_pending_updates(Time now) {
  while (!pending_updates_.empty()) {
    PendingUpdate& first = pending_updates_.front();
    bool in_office_still = core_.may_speak(now) && first.at.term == core_.term();
    if (in_office_still && now < first.until && !followers_.acknowledged(now, first.at)) return;
    if (in_office_still)
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
  if (Duration away = now - next_expiry_; away > stall_threshold)
    for (auto& [id, heard] : last_heartbeats_) heard = std::min(now, heard + away);
  next_expiry_ = now + expiry_interval;
  if (now < list_complete_at_) return;
  Duration silent = options_.heartbeat_interval * heartbeats_until_lost;
  std::vector<std::string> lost;
  for (const auto& [id, heard] : last_heartbeats_)
    if (now - heard > silent) lost.push_back(id);
  for (const std::string& id : lost) {
    last_heartbeats_.erase(id);
    if (!view_.nodes().find(id)) continue;
    fanes::Change change;
    change.kind = fanes::ChangeKind::lost;
    change.text = id;
    followers_.add(now, std::move(change));
  }
  followers_.complete_list(now);
}

std::string Controller::encode_nodes(Time now) const {
  fanes::Standing standing;
  standing.complete = false;
  followers_.append_nodes(now, standing);
  return fanes::pack(std::move(standing));
}

// After a restart: it may be old, but nobody may know better yet.
void Controller::restore_nodes(Time now, const std::string& note) {
  view_.take(state_.configuration());
  auto message = fanes::unpack(note);
  if (message)
    if (const auto* standing = std::get_if<fanes::Standing>(&*message)) view_.apply(now, *standing);
}

}  // namespace pearspar::control_plane
