// Start-up, timers and message dispatch. Elections are in election.cpp, log replication in replication.cpp,
// snapshot transfer in snapshot_transfer.cpp and membership changes in membership.cpp.
#include "raft/core.h"

#include <xxhash.h>

#include <algorithm>

#include "invariants/invariants.h"

namespace pearspar::raft {
namespace {

// Each new id is used once; the next one is derived from it.
MemberId next_fresh_id(MemberId id) { return XXH3_64bits(&id, sizeof id) | 1; }

}  // namespace

MemberId founder_id(const std::string& address) { return XXH3_64bits(address.data(), address.size()) | 1; }

Core::Core(Store& store, StateMachine& machine, Options options)
    : store_(store), machine_(machine), options_(std::move(options)), random_(options_.seed), log_(store) {}

std::error_code Core::start(Time now, std::string* note) {
  if (!options_.timing.lease_is_safe()) return std::make_error_code(std::errc::invalid_argument);
  PersistentState stored;
  if (auto error = store_.load(stored)) return error;
  last_leader_contact_ = now;
  join_due_ = now;
  reset_election_timer(now);
  if (stored.self == 0) {
    const auto& founders = options_.founders;
    bool is_founder = options_.first_start &&
                      std::find(founders.begin(), founders.end(), options_.address) != founders.end();
    self_ = is_founder ? founder_id(options_.address) : options_.fresh_id;
    Snapshot bootstrap;
    if (is_founder) {
      // Every founder starts from this same snapshot, so it does not have to be replicated.
      bootstrap.index = 1;
      bootstrap.term = 1;
      for (const std::string& address : founders)
        bootstrap.membership.voters.push_back({founder_id(address), address});
      bootstrap.membership.target_size = static_cast<std::uint32_t>(founders.size());
      bootstrap.state = machine_.take_snapshot();
      if (auto error = log_.install(bootstrap)) return error;
      if (!save_term(1, 0)) return std::make_error_code(std::errc::io_error);
    }
    // Saved last, so that a store with an id is complete.
    if (auto error = store_.save_self(self_)) return error;
    if (!is_founder) options_.fresh_id = next_fresh_id(self_);
  } else {
    self_ = stored.self;
    options_.first_start = false;  // bootstrapping applies only to an empty store
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
  std::vector<std::string> result;
  for (const Member& voter : log_.membership().voters) result.push_back(voter.address);
  if (result.empty()) result = options_.seeds;
  return result;
}

bool Core::save_term(Term term, MemberId vote) {
  Vote vote_to_save{term, vote};
  if (vote_to_save == vote_) return true;
  auto error = store_.save_vote(vote_to_save);
  record_store_result(error);
  if (error) return false;
  vote_ = vote_to_save;
  return true;
}

// A member that has lost acknowledged data may also have lost votes, so it joins again under a new id and the
// old one is removed. Its log can be kept: what it holds was true under the old id as well.
void Core::adopt_new_id(Time now) {
  MemberId new_id = options_.fresh_id;
  auto error = store_.save_self(new_id);
  record_store_result(error);
  if (error) return;
  self_ = new_id;
  options_.fresh_id = next_fresh_id(new_id);
  step_down(now);
  join_due_ = now;
}

void Core::reset_election_timer(Time now) {
  std::uniform_real_distribution<double> draw(options_.timing.min_election_timeout.count(),
                                              options_.timing.max_election_timeout.count());
  due_ = now + Duration(draw(random_));
}

// Time between two attempts of a candidate; shorter than an election timeout since there is no leader.
void Core::reset_candidate_timer(Time now) {
  std::uniform_real_distribution<double> draw(0.4, 1.0);
  due_ = now + options_.timing.min_election_timeout * draw(random_);
}

bool Core::leader_is_alive(Time now) const {
  return now - last_leader_contact_ < options_.timing.min_election_timeout;
}

void Core::become_follower(Time now, Term term, MemberId leader, const std::string& address) {
  if (role_ == Role::leader || term > vote_.term) peers_.clear();
  role_ = Role::follower;
  leader_ = leader;
  leader_address_ = address;
  if (leader != 0) last_leader_contact_ = now;
  reset_election_timer(now);
}

void Core::step_down(Time now) {
  if (role_ == Role::leader) {
    peers_.clear();
    rounds_.clear();
  }
  role_ = Role::follower;
  leader_ = 0;
  leader_address_.clear();
  reset_election_timer(now);
}

Time Core::due() const {
  Time due = due_;
  bool wants_to_join = leader_ == 0 || !log_.membership().has(self_);
  if (role_ != Role::leader && wants_to_join && !leaving_) due = std::min(due, join_due_);
  if (role_ != Role::leader && leaving_ && !may_shut_down()) due = std::min(due, leave_due_);
  return due;
}

void Core::check_invariants() {
  using invariants::Invariant;
  invariants::check(Invariant::commit_never_falls, commit_ >= checked_commit_, options_.address);
  invariants::check(Invariant::term_never_falls, vote_.term >= checked_term_, options_.address);
  invariants::check(Invariant::applied_within_log, applied_ <= commit_ && commit_ <= log_.last(),
                    options_.address);
  checked_commit_ = commit_;
  checked_term_ = vote_.term;
}

void Core::tick(Time now) {
  handle_tick(now);
  check_invariants();
}

void Core::handle_tick(Time now) {
  if (role_ == Role::leader) {
    if (now < due_) return;
    if (now - majority_contact_time(now, false) > options_.timing.max_election_timeout) return step_down(now);
    broadcast(now);
    change_membership(now);
    // A leader that is shutting down leads only until another voter has its whole log.
    for (const auto& [id, peer] : peers_)
      if (leaving_ && peer.voter && is_alive(now, peer) && peer.match == log_.last())
        return transfer_leadership(now);
    return;
  }
  if (leader_ != 0 && !leader_is_alive(now)) {
    leader_ = 0;
    leader_address_.clear();
    join_due_ = now;
  }
  if (leaving_ && now >= leave_due_ && !may_shut_down()) send_leave(now);
  if ((leader_ == 0 || !log_.membership().has(self_)) && now >= join_due_ && !leaving_) {
    send_join();
    join_due_ = now + options_.timing.join_interval;
  }
  if (now < due_) return;
  start_pre_vote(now, false);
}

// Sent by members that know no leader or are not voters: new ones, and those removed while they were down. A
// leader ignores it if the sender is a voter.
void Core::send_join() {
  Message join;
  join.kind = MessageKind::join;
  join.from = self_;
  join.from_address = options_.address;
  join.term = vote_.term;
  join.index = log_.last();
  join.flag = options_.first_start;
  std::vector<std::string> targets = addresses();
  for (const std::string& seed : options_.seeds)
    if (std::find(targets.begin(), targets.end(), seed) == targets.end()) targets.push_back(seed);
  for (const std::string& address : targets)
    if (address != options_.address) send(address, join);
}

// Repeated until this member has been removed.
void Core::send_leave(Time now) {
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
  message.capabilities = supports_snapshot_chunks;
  if (message.from_address.empty()) message.from_address = options_.address;
  out_.push_back({address, std::move(message)});
}

void Core::step(Time now, const Message& message) {
  dispatch(now, message);
  check_invariants();
}

void Core::dispatch(Time now, const Message& message) {
  if (message.to != 0 && message.to != self_) return;  // addressed to an earlier id of this member
  switch (message.kind) {
    case MessageKind::pre_vote_request:
    case MessageKind::vote_request:
      return on_vote_request(now, message);
    case MessageKind::pre_vote_response:
    case MessageKind::vote_response:
      return on_vote_response(now, message);
    case MessageKind::append_entries:
      return on_append_entries(now, message);
    case MessageKind::install_snapshot:
      return on_install_snapshot(now, message);
    case MessageKind::snapshot_chunk:
      return on_snapshot_chunk(now, message);
    case MessageKind::snapshot_chunk_response:
      return on_snapshot_chunk_response(now, message);
    case MessageKind::append_response:
      return on_append_response(now, message);
    case MessageKind::join:
      return on_join(now, message);
    case MessageKind::leave:
      return on_leave(now, message);
    case MessageKind::timeout_now:
      if (message.term == vote_.term && role_ == Role::follower) start_pre_vote(now, true);
      return;
  }
}

}  // namespace pearspar::raft
