#include "control_plane/configuration_server.h"

#include <algorithm>
#include <utility>

#include "protocol/delta.h"

namespace pearspar::control_plane {
namespace {

using namespace std::chrono_literals;

constexpr Duration notice_delay = 100ms;  // time for the leader's update to arrive
// Bounds the memory for links that take nothing; one configuration is always allowed.
constexpr std::size_t max_bytes_in_flight = 16 << 20;
constexpr Duration transfer_timeout = 1s;  // then a configuration no longer counts as in flight
constexpr std::size_t max_earlier_texts = 8;
constexpr std::size_t max_earlier_bytes = 4 << 20;

std::uint32_t age_ms(Time now, Time since) {
  return static_cast<std::uint32_t>(std::max(0.0, Duration(now - since).count() * 1000));
}

}  // namespace

void ConfigurationServer::set_configuration(Time now, catalog::Revision revision, std::string_view text) {
  if (revision <= revision_) return;
  keep_earlier_text();
  revision_ = revision;
  text_ = text;
  applied_at_ = now;
  notices_due_ = now + notice_delay;
  updates_.clear();
}

void ConfigurationServer::keep_earlier_text() {
  if (revision_ == 0) return;
  earlier_.push_back({revision_, std::move(text_)});
  std::size_t bytes = 0;
  for (const EarlierText& each : earlier_) bytes += each.text.size();
  while (!earlier_.empty() && (earlier_.size() > max_earlier_texts || bytes > max_earlier_bytes)) {
    bytes -= earlier_.front().text.size();
    earlier_.pop_front();
  }
}

void ConfigurationServer::on_hello(Time, LinkId link, const protocol::Hello& hello) {
  if (hello.kind != protocol::FollowerKind::edge || !hello.fetches_configurations) return;
  Edge& edge = edges_[link];
  edge.incarnation = hello.incarnation;
  on_contact(edge, hello.revision);
}

void ConfigurationServer::on_ack(Time, LinkId link, const protocol::Ack& ack) {
  auto found = edges_.find(link);
  if (found != edges_.end() && found->second.incarnation == ack.incarnation)
    on_contact(found->second, ack.revision);
}

void ConfigurationServer::on_contact(Edge& edge, catalog::Revision known) {
  edge.known = known;
  if (known >= edge.sent) edge.bytes_in_flight = 0;
  edge.notice_due = known < revision_;
  any_notice_due_ |= edge.notice_due;
}

bool ConfigurationServer::is_in_flight(Time now, const Edge& edge) {
  return edge.bytes_in_flight > 0 && now - edge.sent_at < transfer_timeout;
}

// An edge that is being sent the newest configuration is not sent it twice.
void ConfigurationServer::on_request(Time now, LinkId link, const protocol::ConfigurationRequest& request) {
  auto found = edges_.find(link);
  if (found == edges_.end() || found->second.incarnation != request.incarnation) return;
  Edge& edge = found->second;
  edge.known = request.known;
  if (edge.sent == revision_ && is_in_flight(now, edge)) return;
  if (request.known < revision_ && std::find(requests_.begin(), requests_.end(), link) == requests_.end())
    requests_.push_back(link);
}

std::vector<LinkFrame> ConfigurationServer::take_frames(Time now) {
  std::vector<LinkFrame> frames;
  add_notices(now, frames);
  add_updates(now, frames);
  return frames;
}

// An edge is told with each contact while it is behind, and all that are when the configuration is new.
void ConfigurationServer::add_notices(Time now, std::vector<LinkFrame>& frames) {
  const bool all = now >= notices_due_;
  if (!all && !any_notice_due_) return;
  any_notice_due_ = false;
  if (all) notices_due_ = Time::max();
  const std::string notice =
      protocol::pack(protocol::ConfigurationNotice{revision_, age_ms(now, applied_at_), zone_});
  for (auto& [link, edge] : edges_)
    if (std::exchange(edge.notice_due, false) || (all && edge.known < revision_))
      frames.push_back({link, notice});
}

void ConfigurationServer::add_updates(Time now, std::vector<LinkFrame>& frames) {
  std::size_t bytes = requests_.empty() ? 0 : bytes_in_flight(now);
  while (!requests_.empty() && bytes < max_bytes_in_flight) {
    const LinkId link = requests_.front();
    requests_.pop_front();
    auto found = edges_.find(link);
    if (found == edges_.end() || found->second.known >= revision_) continue;
    Edge& edge = found->second;
    frames.push_back({link, update_for(now, edge.known)});
    edge.bytes_in_flight = frames.back().bytes.size();
    edge.sent = revision_;
    edge.sent_at = now;
    bytes += edge.bytes_in_flight;
  }
}

std::size_t ConfigurationServer::bytes_in_flight(Time now) {
  std::size_t bytes = 0;
  for (auto& [link, edge] : edges_) {
    if (!is_in_flight(now, edge)) edge.bytes_in_flight = 0;
    bytes += edge.bytes_in_flight;
  }
  return bytes;
}

const std::string& ConfigurationServer::update_for(Time now, catalog::Revision known) {
  const auto base = std::find_if(earlier_.begin(), earlier_.end(),
                                 [&](const EarlierText& each) { return each.revision == known; });
  std::string& encoded = updates_[base == earlier_.end() ? 0 : known];
  if (!encoded.empty()) return encoded;
  protocol::ConfigurationUpdate update{0, revision_, age_ms(now, applied_at_), text_};
  if (base != earlier_.end()) {
    update.base = known;
    update.text = protocol::make_delta(base->text, text_);
  }
  encoded = protocol::pack(std::move(update));
  return encoded;
}

Time ConfigurationServer::due() const {
  if (requests_.empty()) return notices_due_;
  Time due = notices_due_;
  for (const auto& [link, edge] : edges_)
    if (edge.bytes_in_flight > 0) due = std::min(due, edge.sent_at + transfer_timeout);
  return due;
}

std::size_t ConfigurationServer::behind() const {
  return static_cast<std::size_t>(std::count_if(
      edges_.begin(), edges_.end(), [&](const auto& each) { return each.second.known < revision_; }));
}

}  // namespace pearspar::control_plane
