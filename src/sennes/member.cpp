#include "sennes/member.h"

#include <algorithm>

#include "sennes/report.h"

namespace pearspar::sennes {
namespace {

constexpr Duration note_every = std::chrono::milliseconds(500);
constexpr std::size_t most_early = 4096;        // as many followers as that
constexpr std::size_t most_early_bytes = 1024;  // of one hello
constexpr std::string_view nobody_leads = "nobody leads here";

}  // namespace

Member::Member(transport::Transport& wire, raft::Store& store, raft::Options agreement, OfficeOptions office)
    : wire_(wire),
      address_(agreement.address),
      state_(office.read),
      core_(store, state_, std::move(agreement)),
      office_(std::move(office), core_, state_) {}

std::error_code Member::start(Time now) {
  std::string note;
  auto error = core_.start(now, &note);
  started_ = !error;
  if (!started_) return error;
  office_.recall(now, note);
  keep_links();
  for (const auto& [link, hello] : std::exchange(early_, {})) link_frame(now, link, hello);
  return error;
}

void Member::keep_links() {
  std::vector<std::string> wanted = core_.addresses();
  std::erase(wanted, address_);
  if (wanted == kept_) return;
  kept_ = wanted;
  wire_.set_targets(wanted);
}

void Member::call(Time now, Asker asker, std::string_view method, std::string_view path,
                  std::string_view if_match, std::string_view body) {
  if (!started_)
    refused_.push_back({asker, 503, fault_json("the store cannot be read yet")});
  else
    office_.call(now, asker, method, path, if_match, body);
}

void Member::link_up(Time now, LinkId link, const std::string& address) {
  if (!started_) return;
  wire_.send(link, protocol::pack(office_.hello()));
  office_.link_opened(now, address);
}

void Member::link_frame(Time now, LinkId link, std::string_view frame) {
  if (!started_) return keep_early(link, frame);
  if (auto message = protocol::unpack(frame))
    office_.message(now, link, *message);
  else
    ++unread_;
}

// Who follows says hello once on each link, and would not be heard of by us until it hears of no leader.
void Member::keep_early(LinkId link, std::string_view frame) {
  if (frame.size() > most_early_bytes || early_.size() >= most_early) return;
  auto message = protocol::unpack(frame);
  if (message && std::get_if<protocol::Hello>(&*message)) early_[link] = frame;
}

// A leader's disk may hang: it leaves this to those that follow it, who hear of every change.
void Member::keep_note(Time now) {
  if (now < note_due_) return;
  if (noted_changes_ == office_.list_changes() && noted_commit_ == core_.commit()) return;
  if (core_.role() == raft::Core::Role::leader && core_.log().membership().voters.size() > 1) return;
  note_due_ = now + note_every;
  if (core_.keep_note(office_.note(now))) return;
  noted_changes_ = office_.list_changes();
  noted_commit_ = core_.commit();
}

std::vector<Reply> Member::advance(const Clock& clock) {
  std::vector<Reply> replies = std::exchange(refused_, {});
  if (!started_) return replies;
  Time now = clock();
  core_.tick(now);
  office_.advance(now);
  bool leads = core_.may_speak(clock());
  for (auto& out : core_.take_out()) wire_.send_to(out.address, protocol::pack(out.message));
  for (auto& out : office_.take_messages()) {
    auto* answer = std::get_if<protocol::ControlReply>(&out.message);
    if (answer && out.by_lease && !leads) *answer = {answer->number, 503, fault_json(nobody_leads)};
    wire_.send_to(out.address, protocol::pack(out.message));
  }
  for (auto& out : office_.take_news(clock())) wire_.send(out.link, out.bytes);
  keep_links();
  keep_note(now);
  for (Reply& reply : office_.take_replies()) {
    if (reply.by_lease && !leads) reply = {reply.asker, 503, fault_json(nobody_leads)};
    replies.push_back(std::move(reply));
  }
  return replies;
}

Time Member::due() const { return started_ ? std::min(core_.due(), office_.due()) : Time::max(); }

void Member::hand_over(Time now) {
  if (started_) core_.leave(now);
}

}  // namespace pearspar::sennes
