#include "control_plane/member.h"

#include <algorithm>

#include "control_plane/report.h"

namespace pearspar::control_plane {
namespace {

constexpr Duration save_interval = std::chrono::milliseconds(500);
constexpr std::size_t max_early_hellos = 4096;
constexpr std::size_t max_early_hello_bytes = 1024;
constexpr std::string_view nobody_leads = "nobody leads here";

}  // namespace

Member::Member(transport::Transport& wire, raft::Store& store, raft::Options agreement,
               ControllerOptions controller)
    : wire_(wire),
      address_(agreement.address),
      state_(controller.parse_configuration),
      core_(store, state_, std::move(agreement)),
      controller_(std::move(controller), core_, state_) {}

std::error_code Member::start(Time now) {
  std::string nodes;
  auto error = core_.start(now, &nodes);
  started_ = !error;
  if (!started_) return error;
  controller_.restore_nodes(now, nodes);
  update_links();
  for (const auto& [link, hello] : std::exchange(early_hellos_, {})) link_frame(now, link, hello);
  return error;
}

void Member::update_links() {
  std::vector<std::string> wanted = core_.addresses();
  std::erase(wanted, address_);
  if (wanted == linked_members_) return;
  linked_members_ = wanted;
  wire_.set_targets(wanted);
}

void Member::call(Time now, CallerId caller, std::string_view method, std::string_view path,
                  std::string_view if_match, std::string_view body) {
  if (!started_)
    early_replies_.push_back({caller, 503, error_json("the store could not be read yet")});
  else
    controller_.call(now, caller, method, path, if_match, body);
}

void Member::link_up(Time now, LinkId link, const std::string& address) {
  if (!started_) return;
  wire_.send(link, protocol::pack(controller_.hello()));
  controller_.link_opened(now, address);
}

void Member::link_frame(Time now, LinkId link, std::string_view frame) {
  if (!started_) return buffer_early_hello(link, frame);
  if (auto message = protocol::unpack(frame))
    controller_.message(now, link, *message);
  else
    ++unreadable_frames_;
}

// Followers send a hello only once per link, so it must not be lost while the store cannot be read.
void Member::buffer_early_hello(LinkId link, std::string_view frame) {
  if (frame.size() > max_early_hello_bytes || early_hellos_.size() >= max_early_hellos) return;
  auto message = protocol::unpack(frame);
  if (message && std::get_if<protocol::Hello>(&*message)) early_hellos_[link] = frame;
}

// A slow disk must not stall the leader; the other members receive every change and store the list instead.
void Member::save_nodes(Time now) {
  if (now < next_save_) return;
  if (saved_node_list_changes_ == controller_.node_list_changes() && saved_commit_ == core_.commit()) return;
  if (core_.role() == raft::Core::Role::leader && core_.log().membership().voters.size() > 1) return;
  next_save_ = now + save_interval;
  if (core_.save_note(controller_.encode_nodes(now))) return;
  saved_node_list_changes_ = controller_.node_list_changes();
  saved_commit_ = core_.commit();
}

std::vector<Reply> Member::advance(const Clock& clock) {
  std::vector<Reply> replies = std::exchange(early_replies_, {});
  if (!started_) return replies;
  Time now = clock();
  core_.tick(now);
  controller_.advance(now);
  bool leads = core_.holds_lease(clock());
  for (auto& out : core_.take_out()) wire_.send_to(out.address, protocol::pack(out.message));
  for (auto& out : controller_.take_messages()) {
    auto* answer = std::get_if<protocol::ControlReply>(&out.message);
    if (answer && out.requires_lease && !leads) *answer = {answer->number, 503, error_json(nobody_leads)};
    wire_.send_to(out.address, protocol::pack(out.message));
  }
  for (auto& out : controller_.take_frames(clock())) wire_.send(out.link, out.bytes);
  update_links();
  save_nodes(now);
  for (Reply& reply : controller_.take_replies()) {
    if (reply.requires_lease && !leads) reply = {reply.caller, 503, error_json(nobody_leads)};
    replies.push_back(std::move(reply));
  }
  return replies;
}

Time Member::due() const { return started_ ? std::min(core_.due(), controller_.due()) : Time::max(); }

void Member::transfer_leadership(Time now) {
  if (started_) core_.leave(now);
}

}  // namespace pearspar::control_plane
