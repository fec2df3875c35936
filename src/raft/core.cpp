// A member's start, its clock and what it is handed; who leads is in election.cpp, the log's way in
// replication.cpp, who counts in membership.cpp.
#include "raft/core.h"

#include <xxhash.h>

#include <algorithm>

#include "invariants/invariants.h"

namespace pearspar::raft {
namespace {

// Each fresh id serves once; the next follows from the one that is used up.
MemberId following(MemberId id) { return XXH3_64bits(&id, sizeof id) | 1; }

}  // namespace

MemberId founder_id(const std::string& address) { return XXH3_64bits(address.data(), address.size()) | 1; }

Core::Core(Store& store, StateMachine& machine, Options options)
    : store_(store), machine_(machine), options_(std::move(options)), random_(options_.seed), log_(store) {}

std::error_code Core::start(Time now, std::string* note) {
  if (!options_.timing.lease_ends_in_time()) return std::make_error_code(std::errc::invalid_argument);
  Stored stored;
  if (auto error = store_.load(stored)) return error;
  heard_leader_ = now;
  join_due_ = now;
  draw_silence(now);
  if (stored.self == 0) {
    const auto& founders = options_.founders;
    bool founds = options_.first_start &&
                  std::find(founders.begin(), founders.end(), options_.address) != founders.end();
    self_ = founds ? founder_id(options_.address) : options_.fresh_id;
    Snapshot founding;
    if (founds) {
      // The same on every founder, so it needs no agreement: a log that begins behind entry 1 of term 1.
      founding.index = 1;
      founding.term = 1;
      for (const std::string& address : founders)
        founding.membership.voters.push_back({founder_id(address), address});
      founding.membership.wanted = static_cast<std::uint32_t>(founders.size());
      founding.state = machine_.fold();
      if (auto error = log_.install(founding)) return error;
      if (!save_term(1, 0)) return std::make_error_code(std::errc::io_error);
    }
    // Last: whoever finds an id on its disk finds the rest there too.
    if (auto error = store_.save_self(self_)) return error;
    if (!founds) options_.fresh_id = following(self_);
  } else {
    self_ = stored.self;
    options_.first_start = false;  // which has an empty disk, whatever the settings still say
    vote_ = stored.vote;
    log_.load(stored);
    if (!stored.snapshot.state.empty()) machine_.restore(stored.snapshot.state);
  }
  commit_ = applied_ = log_.snapshot().index;
  commit_ = std::max(commit_, std::min(stored.commit, log_.last()));
  apply_committed();
  if (note) *note = std::move(stored.note);
  return {};
}

std::vector<std::string> Core::addresses() const {
  std::vector<std::string> found;
  for (const Member& voter : log_.membership().voters) found.push_back(voter.address);
  if (found.empty()) found = options_.seeds;
  return found;
}

bool Core::save_term(Term term, MemberId vote) {
  Vote wanted{term, vote};
  if (wanted == vote_) return true;
  auto error = store_.save_vote(wanted);
  fail(error);
  if (error) return false;
  vote_ = wanted;
  return true;
}

// Whoever has forgotten what it promised is somebody else: it asks to be taken in, and its old id leaves the
// count for it. The log stays: what it holds was true of the old id, and is as good for a newcomer.
void Core::become_another(Time now) {
  MemberId fresh = options_.fresh_id;
  auto error = store_.save_self(fresh);
  fail(error);
  if (error) return;
  self_ = fresh;
  options_.fresh_id = following(fresh);
  step_down(now);
  join_due_ = now;
}

void Core::draw_silence(Time now) {
  std::uniform_real_distribution<double> draw(options_.timing.least_silence.count(),
                                              options_.timing.most_silence.count());
  due_ = now + Duration(draw(random_));
}

// Between two tries of a candidate: shorter, since nobody leads.
void Core::draw_patience(Time now) {
  std::uniform_real_distribution<double> draw(0.4, 1.0);
  due_ = now + options_.timing.least_silence * draw(random_);
}

bool Core::leader_lives(Time now) const { return now - heard_leader_ < options_.timing.least_silence; }

void Core::follow(Time now, Term term, MemberId leader, const std::string& address) {
  if (role_ == Role::leader || term > vote_.term) peers_.clear();
  role_ = Role::follower;
  leader_ = leader;
  leader_address_ = address;
  if (leader != 0) heard_leader_ = now;
  draw_silence(now);
}

void Core::step_down(Time now) {
  if (role_ == Role::leader) {
    peers_.clear();
    rounds_.clear();
  }
  role_ = Role::follower;
  leader_ = 0;
  leader_address_.clear();
  draw_silence(now);
}

Time Core::due() const {
  Time due = due_;
  bool asks = leader_ == 0 || !log_.membership().has(self_);
  if (role_ != Role::leader && asks && !leaving_) due = std::min(due, join_due_);
  if (role_ != Role::leader && leaving_ && !may_end()) due = std::min(due, leave_due_);
  return due;
}

void Core::check_invariants() {
  using invariants::Promise;
  invariants::check(Promise::commit_never_falls, commit_ >= checked_commit_, options_.address);
  invariants::check(Promise::term_never_falls, vote_.term >= checked_term_, options_.address);
  invariants::check(Promise::applied_within_log, applied_ <= commit_ && commit_ <= log_.last(),
                    options_.address);
  checked_commit_ = commit_;
  checked_term_ = vote_.term;
}

void Core::tick(Time now) {
  act(now);
  check_invariants();
}

void Core::act(Time now) {
  if (role_ == Role::leader) {
    if (now < due_) return;
    if (now - majority_heard(now, false) > options_.timing.most_silence) return step_down(now);
    broadcast(now);
    change_membership(now);
    // Elected for want of another: until somebody else holds all that is held here.
    for (const auto& [id, peer] : peers_)
      if (leaving_ && peer.voter && lives(now, peer) && peer.match == log_.last()) return hand_over(now);
    return;
  }
  if (leader_ != 0 && !leader_lives(now)) {
    leader_ = 0;
    leader_address_.clear();
    join_due_ = now;
  }
  if (leaving_ && now >= leave_due_ && !may_end()) say_leave(now);
  if ((leader_ == 0 || !log_.membership().has(self_)) && now >= join_due_ && !leaving_) {
    ask_to_join();
    join_due_ = now + options_.timing.join_every;
  }
  if (now < due_) return;
  stand(now, false);
}

// Whoever has no leader, or is not counted, asks to be taken in: newcomers, members that were removed while
// they were away. Those who know better take no notice.
void Core::ask_to_join() {
  Message join;
  join.kind = MessageKind::join;
  join.from = self_;
  join.from_address = options_.address;
  join.term = vote_.term;
  join.index = log_.last();
  join.yes = options_.first_start;
  std::vector<std::string> asked = addresses();
  for (const std::string& seed : options_.seeds)
    if (std::find(asked.begin(), asked.end(), seed) == asked.end()) asked.push_back(seed);
  for (const std::string& address : asked)
    if (address != options_.address) send(address, join);
}

// Until it is out of the count, as far as it knows.
void Core::say_leave(Time now) {
  leave_due_ = now + options_.timing.heartbeat;
  Message message;
  message.kind = MessageKind::leave;
  message.term = vote_.term;
  message.index = log_.last();
  if (leader_ != 0) return send(leader_address_, message);
  for (const std::string& address : addresses())
    if (address != options_.address) send(address, message);
}

void Core::send(const std::string& address, Message message) {
  message.from = self_;
  message.can = can_take_pieces;
  if (message.from_address.empty()) message.from_address = options_.address;
  out_.push_back({address, std::move(message)});
}

// A pre-vote first: nobody's term rises while most still hear a leader.

void Core::step(Time now, const Message& message) {
  take(now, message);
  check_invariants();
}

void Core::take(Time now, const Message& message) {
  if (message.to != 0 && message.to != self_) return;  // meant for who was here before the disk was lost
  switch (message.kind) {
    case MessageKind::ask_pre_vote:
    case MessageKind::ask_vote:
      return on_ask(now, message);
    case MessageKind::pre_vote:
    case MessageKind::vote:
      return on_vote(now, message);
    case MessageKind::append:
      return on_append(now, message);
    case MessageKind::install:
      return on_install(now, message);
    case MessageKind::piece:
      return on_piece(now, message);
    case MessageKind::piece_held:
      return on_piece_held(now, message);
    case MessageKind::appended:
      return on_appended(now, message);
    case MessageKind::join:
      return on_join(now, message);
    case MessageKind::leave:
      return on_leave(now, message);
    case MessageKind::take_over:
      if (message.term == vote_.term && role_ == Role::follower) stand(now, true);
      return;
  }
}

}  // namespace pearspar::raft
