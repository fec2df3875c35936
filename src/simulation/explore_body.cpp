#include "simulation/explore_body.h"

#include "simulation/explore_probe.h"

namespace pearspar::simulation {
namespace {

using namespace raft;

constexpr const char* nothing_applied = ".";

// The store and the machine of whichever body takes a step on this thread. All cores refer to the one desk,
// so a core can be copied as it is.
class Desk : public Store, public StateMachine {
 public:
  struct Seat {
    Body* body = nullptr;
    Trouble trouble;
    Mutant mutant = Mutant::none;
    bool lost = false;  // power
  };
  static thread_local Seat seat;

  std::error_code load(PersistentState& stored) override {
    return stored = seat.body->disk, std::error_code();
  }
  std::error_code save_self(MemberId self) override {
    return write([&](PersistentState& disk) { disk.self = self; });
  }
  std::error_code save_vote(const Vote& vote) override {
    return write([&](PersistentState& disk) {
      if (seat.mutant != Mutant::votes_unsaved) disk.vote = vote;
    });
  }
  std::error_code replace_tail(Index from, const std::vector<Entry>& entries) override {
    return write([&](PersistentState& disk) {
      if (seat.mutant == Mutant::entries_unsaved) return;
      std::erase_if(disk.entries, [&](const Entry& entry) { return entry.index >= from; });
      disk.entries.insert(disk.entries.end(), entries.begin(), entries.end());
    });
  }
  std::error_code save_snapshot(const Snapshot& snapshot, bool drop_rest) override {
    return write([&](PersistentState& disk) {
      Membership before = disk.snapshot.membership;
      disk.snapshot = snapshot;
      if (seat.mutant == Mutant::lost_membership && !before.voters.empty()) disk.snapshot.membership = before;
      std::erase_if(disk.entries,
                    [&](const Entry& entry) { return drop_rest || entry.index <= snapshot.index; });
    });
  }
  std::error_code save_note(Index commit, const std::string&) override {
    return write([&](PersistentState& disk) { disk.commit = commit; });
  }

  void apply(const Entry& change) override { seat.body->machine += change.data; }
  // Last change first: no state begins like another, so pieces of two make neither.
  std::string take_snapshot() const override {
    return {seat.body->machine.rbegin(), seat.body->machine.rend()};
  }
  void restore(const std::string& state) override { seat.body->machine.assign(state.rbegin(), state.rend()); }

 private:
  template <typename Work>
  std::error_code write(Work work) {
    if (seat.trouble.refuses || seat.lost) return std::make_error_code(std::errc::no_space_on_device);
    if (seat.trouble.writes == 0) {
      seat.lost = true;
      return std::make_error_code(std::errc::io_error);
    }
    if (seat.trouble.writes > 0) --seat.trouble.writes;
    work(seat.body->disk);
    return {};
  }
};

thread_local Desk::Seat Desk::seat;

Desk& desk() {
  static Desk only;
  return only;
}

void start(const ExploreOptions& options, Body& body, bool first) {
  if (!first)
    ++body.lives;  // an id is drawn at every start, and serves where the disk is empty or of the past
  raft::Options made;
  made.address = address_of(body.index);
  for (int i = 0; i < options.members; ++i) made.founders.push_back(address_of(static_cast<std::size_t>(i)));
  made.seeds = made.founders;
  made.first_start = first;
  made.fresh_id =
      options.mutant == Mutant::forgetful ? founder_id(made.address) : 1000 * (body.index + 1u) + body.lives;
  made.seed = options.seed * 64 + body.index + 1;
  made.snapshot_after_entries = options.snapshot_after_entries;
  made.max_append_bytes = options.append_bytes;
  made.snapshot_chunk_bytes = options.piece_bytes;
  made.timing = options.timing;
  body.machine = nothing_applied;
  body.core = std::make_unique<Core>(desk(), desk(), std::move(made));
  body.core->start(body.now);
  if (options.mutant == Mutant::promise_forgotten) Probe::forget_promise(*body.core, body.now);
}

// What a guard keeps off, let in.
bool mangle(Mutant mutant, Core& core, Message& message) {
  bool piece = message.kind == MessageKind::snapshot_chunk && message.term >= core.term();
  if (mutant == Mutant::early_install && piece && !message.snapshot.state.empty()) {
    message.offset = 0;
    message.total = message.snapshot.state.size();
    message.digest = state_digest(message.snapshot.state);
    return true;
  }
  if ((mutant == Mutant::mixed_pieces || mutant == Mutant::mixed_unchecked) && piece) {
    Probe::keep_of_another(core, message, mutant == Mutant::mixed_unchecked);
    return true;
  }
  if (mutant == Mutant::outsider_votes && message.flag) {
    Probe::count_outsider(core, message);
    return true;
  }
  bool asks = message.kind == MessageKind::pre_vote_request || message.kind == MessageKind::vote_request;
  if (mutant == Mutant::blind_votes && asks) {
    message.index = message.log_term = 1'000'000;
    return true;
  }
  if (mutant == Mutant::old_terms && message.kind == MessageKind::append_entries &&
      message.term < core.term()) {
    message.term = core.term();
    return true;
  }
  if (mutant == Mutant::late_lease && message.kind == MessageKind::append_response) {
    message.round = Probe::round(core);
    return true;
  }
  return false;
}

void deliver(const ExploreOptions& options, Body& body, const Message& message) {
  if (options.mutant != Mutant::none) {
    Message changed = message;
    if (mangle(options.mutant, *body.core, changed)) return body.core->step(body.now, changed);
  }
  body.core->step(body.now, message);
}

void act(const ExploreOptions& options, Body& body, const Action& action) {
  switch (action.act) {
    case Act::deliver:
      return deliver(options, body, *action.message);
    case Act::timeout:
      body.now = std::max(body.now, Probe::due(*body.core));
      if (options.mutant == Mutant::outsider_stands && Probe::stand_outside(*body.core, body.now)) return;
      return body.core->tick(body.now);
    case Act::lapse:
      body.now = std::max(body.now, Probe::lapses(*body.core));
      return body.core->tick(body.now);
    case Act::pass:
      body.now += Duration(options.rates[body.index % options.rates.size()]);
      return;
    case Act::tick:
      return body.core->tick(body.now);
    case Act::crash:
      return start(options, body, false);
    case Act::wipe:
      body.disk = {};
      return start(options, body, false);
    case Act::propose:
      body.core->propose(body.now, action.change);
      return;
    case Act::transfer_leadership:
      return body.core->transfer_leadership(body.now);
    case Act::leave:
      return body.core->leave(body.now);
    case Act::appear:
      start(options, body, false);
      // It asks at once.
      return body.core->tick(body.now);
    case Act::put_back:
      body.disk = action.shelf->disk;
      return start(options, body, false);
    case Act::end:
      body.core.reset();
      return;
  }
}

bool take(const ExploreOptions& options, Body& body, const Action& action, std::vector<OutgoingMessage>& out,
          bool settles) {
  Desk::seat = {&body, action.trouble, options.mutant, false};
  Membership before;
  Time due = body.core ? Probe::due(*body.core) : Time{};
  if (options.mutant == Mutant::one_entry && body.core) before = body.core->log().membership();
  act(options, body, action);
  bool comes = action.trouble.writes < 0 || Desk::seat.lost;
  if (body.core) {
    Core& core = *body.core;
    if (options.mutant == Mutant::half && core.role() == Core::Role::candidate &&
        Probe::votes(core) + 1 >= core.log().membership().majority())
      Probe::lead(core, body.now);
    if (options.mutant == Mutant::older_commits) Probe::commit_older(core, body.now);
    if (options.mutant == Mutant::two_changes) Probe::change_again(core, body.now, false);
    if (options.mutant == Mutant::early_membership) Probe::change_again(core, body.now, true);
    std::vector<OutgoingMessage> sent = core.take_out();
    if (options.mutant == Mutant::one_entry && Probe::replace_at_once(core, body.now, before)) {
      sent.clear();
      for (OutgoingMessage& each : core.take_out()) sent.push_back(std::move(each));
    }
    if (Desk::seat.lost) {
      Desk::seat.lost = false;
      Desk::seat.trouble = {};
      start(options, body, false);
    } else {
      for (OutgoingMessage& each : sent) out.push_back(std::move(each));
    }
    Desk::seat.trouble = {};
    if (options.notes && body.disk.commit != body.core->commit()) body.core->save_note("");
    if (settles) Probe::settle(*body.core, body.now, Duration(options.grain), body.index + 1u, due);
  }
  Desk::seat.body = nullptr;
  return comes;
}

void put(std::string& out, std::uint64_t value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof value);
}

}  // namespace

std::string address_of(std::size_t index) { return "m" + std::to_string(index); }

Body& Body::operator=(const Body& other) {
  core = other.core ? std::make_unique<Core>(*other.core) : nullptr;
  disk = other.disk;
  machine = other.machine;
  now = other.now;
  index = other.index;
  lives = other.lives;
  return *this;
}

std::string Body::describe() const {
  std::string out = machine;
  put(out, index);
  put(out, lives);
  put(out, core != nullptr);
  if (!core) return out;
  out += core->describe(now);
  // The disk holds what the core holds, but for a faulty one; by the log's terms that tells.
  put(out, disk.self);
  put(out, disk.vote.term);
  put(out, disk.vote.voted_for);
  put(out, disk.commit);
  put(out, disk.snapshot.index);
  put(out, disk.snapshot.term);
  for (const Member& voter : disk.snapshot.membership.voters) put(out, voter.id);
  for (const Entry& entry : disk.entries) put(out, entry.term);
  return out;
}

bool take_step(const ExploreOptions& options, Body& body, const Action& action,
               std::vector<OutgoingMessage>& out) {
  return take(options, body, action, out, true);
}

bool take_free_step(const ExploreOptions& options, Body& body, const Action& action,
                    std::vector<OutgoingMessage>& out) {
  return take(options, body, action, out, false);
}

Body first_body(const ExploreOptions& options, std::size_t index) {
  Body body;
  body.index = static_cast<std::uint8_t>(index);
  if (index >= static_cast<std::size_t>(options.members)) return body;
  Desk::seat = {&body, {}, options.mutant, false};
  start(options, body, true);
  // A core that has run for a while: nobody holds votes back any more.
  Probe::forget_promise(*body.core, body.now);
  Probe::settle(*body.core, body.now, Duration(options.grain), index + 1, Time{});
  Desk::seat.body = nullptr;
  return body;
}

MemberId id_of(const Body& body) { return body.core ? body.core->self() : 0; }

}  // namespace pearspar::simulation
