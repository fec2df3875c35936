// The list of nodes: beats, leaves, who fell silent, what is kept over a restart.
#include <algorithm>

#include "sennes/office.h"

namespace pearspar::sennes {
namespace {

using namespace std::chrono_literals;
using catalog::quoted;

constexpr Duration spread_for = 500ms;  // a node's leaving, until all that are in touch have it
constexpr double silent_beats = 5;      // without one of its beats a node is lost
constexpr Duration expire_every = 300ms;
constexpr Duration stood_still = 1s;  // longer than that nobody was listened to

}  // namespace

void Office::settle_beat(Time now, Request& request) {
  catalog::Fault fault;
  auto node = catalog::parse_heartbeat(std::string_view(request.path).substr(nodes_path.size()), request.body,
                                       now, fault);
  if (!node) return reply_fault(request, 400, fault.text());
  std::string told = "{\"beatAddress\":" + quoted(options_.control_address) + "}";
  const catalog::Node* known = view_.nodes().find(node->id);
  if (view_.nodes().is_retired(node->id)) return reply(request, 200, std::move(told));
  heard_[node->id] = now;
  bool closing = node->closing;
  if (!known || (node->sequence >= known->sequence && !known->same_description(*node))) {
    protocol::Change change;
    change.kind = protocol::ChangeKind::node_updated;
    change.update.node = *node;
    change.update.cold_ms = cold_ms(now, *node);
    followers_.add(now, std::move(change));
  } else {
    view_.nodes().put(*node);
  }
  if (!closing) return reply(request, 200, std::move(told));
  request.drop_body();
  spreading_.push_back({std::move(request), view_.at(), now + spread_for});
}

void Office::settle_leave(Time now, Request& request) {
  std::string id = request.path.substr(nodes_path.size());
  heard_.erase(id);
  if (!view_.nodes().is_retired(id)) {
    protocol::Change change;
    change.kind = protocol::ChangeKind::node_retired;
    change.text = id;
    followers_.add(now, std::move(change));
  }
  spreading_.push_back({std::move(request), view_.at(), now + spread_for});
}

// Said only when it has reached all that hold a lease, or those that it has not reached had their time.
void Office::finish_spreading(Time now) {
  while (!spreading_.empty()) {
    Spreading& first = spreading_.front();
    bool in_office_still = core_.may_speak(now) && first.at.term == core_.term();
    if (in_office_still && now < first.until && !followers_.acknowledged(now, first.at)) return;
    if (in_office_still)
      reply(first.request, 200,
            first.request.method == "PUT" ? "{\"beatAddress\":" + quoted(options_.control_address) + "}"
                                          : "{}");
    else
      reply_fault(first.request, 503, "the leader changed meanwhile");
    spreading_.pop_front();
  }
}

void Office::expire(Time now) {
  if (now < expire_due_) return;
  if (Duration away = now - expire_due_; away > stood_still)
    for (auto& [id, heard] : heard_) heard = std::min(now, heard + away);
  expire_due_ = now + expire_every;
  if (now < gathered_) return;
  Duration silent = options_.beat * silent_beats;
  std::vector<std::string> lost;
  for (const auto& [id, heard] : heard_)
    if (now - heard > silent) lost.push_back(id);
  for (const std::string& id : lost) {
    heard_.erase(id);
    if (!view_.nodes().find(id)) continue;
    protocol::Change change;
    change.kind = protocol::ChangeKind::node_removed;
    change.text = id;
    followers_.add(now, std::move(change));
  }
  followers_.complete(now);
}

std::string Office::note(Time now) const {
  protocol::StateSnapshot standing;
  standing.complete = false;
  followers_.list(now, standing);
  return protocol::pack(std::move(standing));
}

// After a restart: it may be old, but nobody may know better yet.
void Office::recall(Time now, const std::string& note) {
  view_.adopt(state_.current());
  auto message = protocol::unpack(note);
  if (message)
    if (const auto* standing = std::get_if<protocol::StateSnapshot>(&*message)) view_.apply(now, *standing);
}

}  // namespace pearspar::sennes
