#include "lagazuoi/core.h"

#include <xxhash.h>

#include <algorithm>

namespace pearspar::lagazuoi {
namespace {

constexpr std::size_t append_bytes = 1 << 20;
constexpr std::size_t fold_entries = 64;  // entries kept before they are folded into a snapshot
constexpr std::size_t fold_bytes = 4 << 20;
constexpr std::size_t rounds_kept = 64;

}  // namespace

MemberId founder_id(const std::string& address) { return XXH3_64bits(address.data(), address.size()) | 1; }

Core::Core(Store& store, StateMachine& machine, Options options)
    : store_(store), machine_(machine), options_(std::move(options)), random_(options_.seed), log_(store) {}

std::error_code Core::start(Time now, std::string* note) {
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
  } else {
    self_ = stored.self;
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
  if (role_ != Role::leader && leader_ == 0) due = std::min(due, join_due_);
  return due;
}

void Core::tick(Time now) {
  if (role_ == Role::leader) {
    if (now < due_) return;
    if (now - majority_heard(now, false) > options_.timing.most_silence) return step_down(now);
    broadcast(now);
    change_membership(now);
    return;
  }
  if (leader_ != 0 && !leader_lives(now)) {
    leader_ = 0;
    leader_address_.clear();
    join_due_ = now;
  }
  if (leader_ == 0 && now >= join_due_) {
    ask_to_join();
    join_due_ = now + options_.timing.join_every;
  }
  if (now < due_) return;
  if (log_.membership().has(self_))
    stand(now, false);
  else
    draw_silence(now);
}

// Whoever has no leader asks to be taken in: newcomers, members that were removed while they were away. Those
// who know better take no notice.
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

void Core::send(const std::string& address, Message message) {
  message.from = self_;
  if (message.from_address.empty()) message.from_address = options_.address;
  out_.push_back({address, std::move(message)});
}

// A pre-vote first: nobody's term rises while most still hear a leader.
void Core::stand(Time now, bool handed_over) {
  role_ = Role::pre_candidate;
  leader_ = 0;
  leader_address_.clear();
  votes_.clear();
  votes_[self_] = true;
  draw_patience(now);
  if (handed_over || log_.membership().majority() == 1) return ask_for_votes(now, handed_over);
  Message ask;
  ask.kind = MessageKind::ask_pre_vote;
  ask.term = vote_.term + 1;
  ask.index = log_.last();
  ask.log_term = log_.last_term();
  for (const Member& voter : log_.membership().voters) {
    if (voter.id == self_) continue;
    ask.to = voter.id;
    send(voter.address, ask);
  }
}

void Core::ask_for_votes(Time now, bool handed_over) {
  if (!save_term(vote_.term + 1, self_)) return step_down(now);
  role_ = Role::candidate;
  votes_.clear();
  votes_[self_] = true;
  draw_patience(now);
  if (log_.membership().majority() == 1) return lead(now);
  Message ask;
  ask.kind = MessageKind::ask_vote;
  ask.term = vote_.term;
  ask.index = log_.last();
  ask.log_term = log_.last_term();
  ask.yes = handed_over;
  for (const Member& voter : log_.membership().voters) {
    if (voter.id == self_) continue;
    ask.to = voter.id;
    send(voter.address, ask);
  }
}

bool Core::up_to_date(const Message& ask) const {
  return std::pair(ask.log_term, ask.index) >= std::pair(log_.last_term(), log_.last());
}

void Core::on_ask(Time now, const Message& ask) {
  bool pre = ask.kind == MessageKind::ask_pre_vote;
  // Who still hears a leader helps nobody against it, and does not take over the term either, unless the
  // leader itself wants to go.
  bool held = leader_lives(now) || (role_ == Role::leader && may_speak(now));
  if (held && !(ask.kind == MessageKind::ask_vote && ask.yes)) return;
  Message answer;
  answer.kind = pre ? MessageKind::pre_vote : MessageKind::vote;
  answer.to = ask.from;
  if (pre) {
    answer.term = ask.term;
    answer.yes = ask.term > vote_.term && up_to_date(ask);
    if (!answer.yes) answer.term = vote_.term;
    return send(ask.from_address, answer);
  }
  if (ask.term < vote_.term) return;
  bool free = ask.term > vote_.term || vote_.given_to == 0 || vote_.given_to == ask.from;
  bool yes = free && up_to_date(ask) && role_ != Role::leader;
  if (ask.term > vote_.term) {
    yes = up_to_date(ask);
    if (!save_term(ask.term, yes ? ask.from : 0)) return;
    step_down(now);
  } else if (yes) {
    if (!save_term(ask.term, ask.from)) return;
    draw_silence(now);
  }
  answer.term = vote_.term;
  answer.yes = yes;
  send(ask.from_address, answer);
}

void Core::on_vote(Time now, const Message& vote) {
  bool pre = vote.kind == MessageKind::pre_vote;
  if (!vote.yes) {
    if (vote.term > vote_.term && role_ != Role::leader && save_term(vote.term, 0)) step_down(now);
    return;
  }
  if (pre ? role_ != Role::pre_candidate || vote.term != vote_.term + 1
          : role_ != Role::candidate || vote.term != vote_.term)
    return;
  if (!log_.membership().has(vote.from)) return;
  votes_[vote.from] = true;
  if (votes_.size() < log_.membership().majority()) return;
  if (pre)
    ask_for_votes(now, false);
  else
    lead(now);
}

void Core::lead(Time now) {
  role_ = Role::leader;
  leader_ = self_;
  leader_address_ = options_.address;
  peers_.clear();
  rounds_.clear();
  Entry first;
  first.kind = EntryKind::start_of_term;
  if (!append_own(std::move(first))) return step_down(now);
  term_start_ = log_.last();
  sync_peers(now);
  broadcast(now);
  advance_commit(now);
}

bool Core::append_own(Entry entry) {
  entry.index = log_.last() + 1;
  entry.term = vote_.term;
  auto error = log_.append({std::move(entry)});
  fail(error);
  return !error;
}

std::optional<Index> Core::propose(Time now, std::string data) {
  if (role_ != Role::leader) return std::nullopt;
  Entry entry;
  entry.kind = EntryKind::change;
  entry.data = std::move(data);
  if (!append_own(std::move(entry))) {
    hand_over(now);
    return std::nullopt;
  }
  Index index = log_.last();
  for (auto& [id, peer] : peers_) send_to(now, id, peer, false);
  advance_commit(now);
  return index;
}

void Core::hand_over(Time now) {
  if (role_ != Role::leader) return;
  const Peer* best = nullptr;
  MemberId to = 0;
  for (const auto& [id, peer] : peers_)
    if (peer.voter && now - peer.heard < options_.timing.least_silence && (!best || peer.match > best->match))
      best = &peer, to = id;
  if (best) {
    Message message;
    message.kind = MessageKind::take_over;
    message.to = to;
    message.term = vote_.term;
    send(best->address, message);
  }
  step_down(now);
  // What this lease still covers is over by this word: nothing more is said as a leader.
  due_ += options_.timing.least_silence;
}

bool Core::may_speak(Time now) const {
  if (role_ != Role::leader || commit_ < term_start_ || applied_ < commit_) return false;
  return now < majority_heard(now, true) + options_.timing.lease;
}

// The latest moment by which a majority, we among it, had been heard of (or had answered a round sent then).
Time Core::majority_heard(Time now, bool rounds) const {
  const Membership& membership = log_.membership();
  std::vector<Time> times;
  for (const Member& voter : membership.voters) {
    if (voter.id == self_) {
      times.push_back(now);
      continue;
    }
    auto peer = peers_.find(voter.id);
    times.push_back(peer == peers_.end() ? Time{} : rounds ? peer->second.round_sent : peer->second.heard);
  }
  if (times.size() < membership.majority()) return Time{};
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[membership.majority() - 1];
}

void Core::sync_peers(Time now) {
  for (const Member& voter : log_.membership().voters) {
    if (voter.id == self_) continue;
    auto [peer, fresh] = peers_.try_emplace(voter.id);
    if (fresh) {
      peer->second.next = log_.last() + 1;
      peer->second.heard = now;  // a new leader gives everybody the time of a silence
    }
    peer->second.address = voter.address;
    peer->second.voter = true;
  }
  std::erase_if(peers_,
                [&](const auto& peer) { return peer.second.voter && !log_.membership().has(peer.first); });
}

void Core::broadcast(Time now) {
  ++round_;
  rounds_[round_] = now;
  while (rounds_.size() > rounds_kept) rounds_.erase(rounds_.begin());
  for (auto& [id, peer] : peers_) send_to(now, id, peer, true);
  due_ = now + options_.timing.heartbeat;
}

void Core::send_to(Time, MemberId id, Peer& peer, bool heartbeat) {
  if (!heartbeat && peer.waiting) return;
  Message message;
  message.to = id;
  message.term = vote_.term;
  message.commit = commit_;
  message.round = round_;
  if (peer.next < log_.first() && peer.next <= log_.snapshot().index) {
    // A large snapshot is not sent again with every heartbeat.
    if (heartbeat && peer.waiting && round_ % 8 != 0) {
      message.kind = MessageKind::append;
      message.index = log_.snapshot().index;
      message.log_term = log_.snapshot().term;
      return send(peer.address, std::move(message));
    }
    message.kind = MessageKind::install;
    message.snapshot = log_.snapshot();
    peer.waiting = true;
    return send(peer.address, std::move(message));
  }
  message.kind = MessageKind::append;
  message.index = peer.next - 1;
  message.log_term = log_.term_at(peer.next - 1);
  if (peer.next <= log_.last() && (!peer.waiting || round_ % 4 == 0)) {
    message.entries = log_.from(peer.next, append_bytes);
    peer.waiting = true;
  }
  send(peer.address, std::move(message));
}

void Core::step(Time now, const Message& message) {
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
    case MessageKind::appended:
      return on_appended(now, message);
    case MessageKind::join:
      return on_join(now, message);
    case MessageKind::take_over:
      if (message.term == vote_.term && role_ == Role::follower && log_.membership().has(self_))
        stand(now, true);
      return;
  }
}

void Core::on_append(Time now, const Message& append) {
  Message answer;
  answer.kind = MessageKind::appended;
  answer.to = append.from;
  answer.round = append.round;
  if (append.term < vote_.term) {
    answer.term = vote_.term;
    return send(append.from_address, answer);
  }
  if (append.term > vote_.term && !save_term(append.term, 0)) return;
  follow(now, append.term, append.from, append.from_address);
  answer.term = vote_.term;
  Index last_new = append.index + append.entries.size();
  if (append.index > log_.last() ||
      (append.index >= log_.snapshot().index && log_.term_at(append.index) != append.log_term)) {
    answer.index = std::min(log_.last(), append.index > 0 ? append.index - 1 : 0);
    answer.index = std::max(answer.index, commit_);
    return send(append.from_address, answer);
  }
  std::vector<Entry> news;
  for (const Entry& entry : append.entries) {
    if (entry.index <= log_.snapshot().index) continue;
    if (news.empty() && entry.index <= log_.last() && log_.term_at(entry.index) == entry.term) continue;
    news.push_back(entry);
  }
  if (!news.empty()) {
    Index from = news.front().index;
    auto error = log_.replace_tail(from, std::move(news));
    fail(error);
    if (error) return;
  }
  commit_ = std::max(commit_, std::min(append.commit, last_new));
  apply_committed();
  answer.yes = true;
  answer.index = last_new;
  send(append.from_address, answer);
}

void Core::on_install(Time now, const Message& install) {
  Message answer;
  answer.kind = MessageKind::appended;
  answer.to = install.from;
  answer.round = install.round;
  if (install.term < vote_.term) {
    answer.term = vote_.term;
    return send(install.from_address, answer);
  }
  if (install.term > vote_.term && !save_term(install.term, 0)) return;
  follow(now, install.term, install.from, install.from_address);
  answer.term = vote_.term;
  answer.yes = true;
  answer.index = commit_;
  if (install.snapshot.index > commit_) {
    auto error = log_.install(install.snapshot);
    fail(error);
    if (error) return;
    machine_.restore(install.snapshot.state);
    commit_ = applied_ = install.snapshot.index;
    answer.index = commit_;
  }
  send(install.from_address, answer);
}

void Core::on_appended(Time now, const Message& answer) {
  if (answer.term > vote_.term) {
    if (save_term(answer.term, 0)) step_down(now);
    return;
  }
  if (role_ != Role::leader || answer.term != vote_.term) return;
  auto found = peers_.find(answer.from);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.heard = now;
  if (auto round = rounds_.find(answer.round); round != rounds_.end())
    peer.round_sent = std::max(peer.round_sent, round->second);
  peer.waiting = false;
  if (answer.yes) {
    if (answer.index > peer.match) {
      peer.match = answer.index;
      advance_commit(now);
      if (role_ != Role::leader) return;
    }
    peer.next = std::max(peer.next, peer.match + 1);
  } else {
    peer.next = std::max<Index>(peer.match + 1, std::min(peer.next - 1, answer.index + 1));
  }
  if (peer.next <= log_.last()) send_to(now, answer.from, peer, false);
  if (!peer.voter) change_membership(now);
}

void Core::advance_commit(Time now) {
  if (role_ != Role::leader) return;
  const Membership& membership = log_.membership();
  for (Index index = log_.last(); index > commit_ && log_.term_at(index) == vote_.term; --index) {
    std::size_t held = 0;
    for (const Member& voter : membership.voters) {
      auto peer = peers_.find(voter.id);
      if (voter.id == self_ || (peer != peers_.end() && peer->second.match >= index)) ++held;
    }
    if (held < membership.majority()) continue;
    commit_ = index;
    apply_committed();
    // Those with news to take in hear of it with the next round.
    return change_membership(now);
  }
}

void Core::apply_committed() {
  while (applied_ < commit_) {
    const Entry& entry = log_.at(++applied_);
    if (entry.kind == EntryKind::change) machine_.apply(entry);
  }
  if (applied_ - log_.snapshot().index < fold_entries && log_.bytes() < fold_bytes) return;
  if (applied_ == log_.snapshot().index) return;
  Snapshot snapshot;
  snapshot.index = applied_;
  snapshot.term = log_.term_at(applied_);
  snapshot.membership = log_.snapshot().membership;
  for (Index i = log_.first(); i <= applied_; ++i)
    if (log_.at(i).kind == EntryKind::membership) snapshot.membership = log_.at(i).membership;
  snapshot.state = machine_.fold();
  fail(log_.fold(std::move(snapshot)));  // where it fails the log only stays longer
}

void Core::on_join(Time now, const Message& join) {
  if (role_ != Role::leader) {
    // Passed on once: only a leader that still lives is told.
    if (leader_ != 0 && leader_ != join.from && leader_lives(now) && join.from != 0) {
      Message onward = join;
      onward.to = leader_;
      if (join.from_address != leader_address_) out_.push_back({leader_address_, onward});
    }
    return;
  }
  if (log_.membership().has(join.from)) return;
  auto [peer, fresh] = peers_.try_emplace(join.from);
  peer->second.address = join.from_address;
  peer->second.first_start = join.yes;
  if (fresh) {
    peer->second.next = std::min(join.index, log_.last()) + 1;
    peer->second.heard = now;
    send_to(now, join.from, peer->second, false);
  }
}

std::string Core::describe(Time now) const {
  std::string out;
  auto put = [&](std::uint64_t value) { out += std::to_string(value) + ','; };
  put(self_);
  put(static_cast<std::uint64_t>(role_));
  put(vote_.term);
  put(vote_.given_to);
  put(leader_);
  put(commit_);
  put(log_.snapshot().index);
  for (Index i = log_.first(); i <= log_.last(); ++i) {
    put(log_.at(i).term);
    put(static_cast<std::uint64_t>(log_.at(i).kind));
    out += log_.at(i).data;
  }
  for (const Member& voter : log_.membership().voters) put(voter.id);
  put(leader_lives(now));
  out += 'v';
  for (const auto& [id, yes] : votes_) put(role_ == Role::follower ? 0 : id);
  out += 'p';
  if (role_ == Role::leader)
    for (const auto& [id, peer] : peers_) {
      put(id);
      put(peer.next);
      put(peer.match);
      put(peer.voter);
      put(now - peer.heard < options_.timing.least_silence);
      put(now - peer.heard < options_.timing.gone_after);
    }
  return out;
}

// One change at a time, and none before this term has committed something.
void Core::change_membership(Time now) {
  if (role_ != Role::leader || commit_ < term_start_ || log_.membership_since() > commit_) return;
  Membership next = log_.membership();
  auto lives = [&](const Peer& peer) { return now - peer.heard < options_.timing.least_silence; };
  bool changed = false;
  for (const auto& [id, peer] : peers_) {
    if (peer.voter || !lives(peer) || peer.match < commit_ || peer.match + 8 < log_.last()) continue;
    auto before = std::find_if(next.voters.begin(), next.voters.end(),
                               [&](const Member& voter) { return voter.address == peer.address; });
    if (before != next.voters.end()) {
      // Who stood at this address has lost its disk, and will never vote again: one entry puts the other in
      // its place. Majorities of the two share a member that is not it (docs/system.md).
      before->id = id;
    } else {
      next.voters.push_back({id, peer.address});
      if (peer.first_start) ++next.wanted;
    }
    changed = true;
    break;
  }
  if (!changed && next.voters.size() > next.wanted) {
    MemberId silent = 0;
    Time least = now - options_.timing.gone_after;
    for (const auto& [id, peer] : peers_)
      if (peer.voter && peer.heard < least) silent = id, least = peer.heard;
    if (silent != 0) {
      std::erase_if(next.voters, [&](const Member& voter) { return voter.id == silent; });
      changed = true;
    }
  }
  if (!changed) {
    std::erase_if(peers_, [&](const auto& peer) {
      return !peer.second.voter && now - peer.second.heard > 4 * options_.timing.gone_after;
    });
    return;
  }
  Entry entry;
  entry.kind = EntryKind::membership;
  entry.membership = std::move(next);
  if (!append_own(std::move(entry))) return hand_over(now);
  sync_peers(now);
  for (auto& [id, peer] : peers_) send_to(now, id, peer, false);
  advance_commit(now);
}

}  // namespace pearspar::lagazuoi
