#include "biella/explore.h"

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "lagazuoi/core.h"

namespace pearspar::biella {
namespace {

using namespace lagazuoi;

class MemoryStore : public Store {
 public:
  Stored held;
  std::error_code load(Stored& stored) override { return stored = held, std::error_code(); }
  std::error_code save_self(MemberId self) override { return held.self = self, std::error_code(); }
  std::error_code save_vote(const Vote& vote) override { return held.vote = vote, std::error_code(); }
  std::error_code replace_tail(Index from, const std::vector<Entry>& entries) override {
    std::erase_if(held.entries, [&](const Entry& entry) { return entry.index >= from; });
    held.entries.insert(held.entries.end(), entries.begin(), entries.end());
    return {};
  }
  std::error_code save_snapshot(const Snapshot& snapshot, bool drop_rest) override {
    held.snapshot = snapshot;
    std::erase_if(held.entries,
                  [&](const Entry& entry) { return drop_rest || entry.index <= snapshot.index; });
    return {};
  }
  std::error_code save_note(Index, const std::string&) override { return {}; }
};

class NoMachine : public StateMachine {
 public:
  void apply(const Entry&) override {}
  std::string fold() const override { return {}; }
  void restore(const std::string&) override {}
};

enum class Kind { deliver, lose, timeout, crash, wipe, newcomer, propose };

struct Event {
  Kind kind;
  std::size_t at = 0;  // a message, or a member
};

struct Member1 {
  std::string address;
  MemoryStore store;
  NoMachine machine;
  std::unique_ptr<Core> core;
  Time now{Duration(1000)};
  std::uint64_t lives = 0;
  bool started = false;  // a newcomer is not there before its event
};

struct Flying {
  std::size_t to;
  Message message;
};

// One history, made anew from its events.
class Model {
 public:
  explicit Model(const ExploreOptions& options) : options_(options) {
    for (int i = 0; i < options.members + options.newcomers; ++i) {
      members_.push_back(std::make_unique<Member1>());
      members_.back()->address = "m" + std::to_string(i);
    }
    for (int i = 0; i < options.members; ++i) start(static_cast<std::size_t>(i), true);
  }

  std::vector<Event> enabled() const {
    std::vector<Event> events;
    for (std::size_t i = 0; i < flying_.size(); ++i) events.push_back({Kind::deliver, i});
    if (!flying_.empty()) events.push_back({Kind::lose, 0});
    for (std::size_t i = 0; i < members_.size(); ++i) {
      const Member1& member = *members_[i];
      if (!member.started) {
        if (i >= static_cast<std::size_t>(options_.members)) events.push_back({Kind::newcomer, i});
        continue;
      }
      if (timeouts_ < options_.timeouts) events.push_back({Kind::timeout, i});
      if (crashes_ < options_.crashes) events.push_back({Kind::crash, i});
      if (wipes_ < options_.wipes) events.push_back({Kind::wipe, i});
      if (changes_ < options_.changes && member.core->role() == Core::Role::leader)
        events.push_back({Kind::propose, i});
    }
    return events;
  }

  void apply(const Event& event) {
    if (event.kind == Kind::deliver || event.kind == Kind::lose) {
      Flying flying = flying_[event.at];
      flying_.erase(flying_.begin() + static_cast<std::ptrdiff_t>(event.at));
      Member1& member = *members_[flying.to];
      if (event.kind == Kind::deliver && member.started) {
        member.core->step(member.now, flying.message);
        collect(flying.to);
      }
      return;
    }
    Member1& member = *members_[event.at];
    switch (event.kind) {
      case Kind::timeout:
        ++timeouts_;
        member.now = std::max(member.now, member.core->due()) + Duration(1e-6);
        member.core->tick(member.now);
        break;
      case Kind::crash:
        ++crashes_;
        start(event.at, false);
        break;
      case Kind::wipe:
        ++wipes_;
        member.store.held = {};
        start(event.at, false);
        break;
      case Kind::newcomer:
        start(event.at, false);
        // It asks at once.
        member.now = std::max(member.now, member.core->due());
        member.core->tick(member.now);
        break;
      case Kind::propose:
        ++changes_;
        member.core->propose(member.now, "change" + std::to_string(changes_));
        break;
      default:
        break;
    }
    collect(event.at);
  }

  std::string key() const {
    std::string out;
    for (const auto& member : members_) {
      if (member->started) out += member->core->describe(member->now);
      out += '|';
    }
    for (const Flying& flying : flying_) {
      const Message& m = flying.message;
      out += std::to_string(flying.to) + ':';
      for (std::uint64_t value :
           {static_cast<std::uint64_t>(m.kind), m.from, m.to, m.term, m.index, m.log_term, m.commit,
            std::uint64_t{m.yes}, std::uint64_t{m.entries.size()}, m.snapshot.index})
        out += std::to_string(value) + ',';
    }
    out += "b" + std::to_string(timeouts_) + "," + std::to_string(crashes_) + "," + std::to_string(wipes_) +
           "," + std::to_string(changes_);
    return out;
  }

  // What must always be: one leader a term, one entry an index for ever, each leader has all that is
  // committed.
  std::string fault() const { return fault_; }
  std::size_t leaders() const { return leaders_.size(); }
  bool committed_change() const {
    return std::any_of(committed_.begin(), committed_.end(),
                       [](const auto& entry) { return entry.second.kind == EntryKind::change; });
  }
  std::string tell(const Event& event) const {
    static const char* names[] = {"deliver", "lose", "timeout", "crash", "wipe", "newcomer", "propose"};
    std::string out = names[static_cast<int>(event.kind)];
    if (event.kind == Kind::deliver || event.kind == Kind::lose) {
      const Flying& flying = flying_[event.at];
      return out + " kind " + std::to_string(static_cast<int>(flying.message.kind)) + " of term " +
             std::to_string(flying.message.term) + " to " + members_[flying.to]->address;
    }
    return out + " " + members_[event.at]->address;
  }

 private:
  void start(std::size_t index, bool first) {
    Member1& member = *members_[index];
    lagazuoi::Options options;
    options.address = member.address;
    for (int i = 0; i < options_.members; ++i) options.founders.push_back("m" + std::to_string(i));
    options.seeds = options.founders;
    options.first_start = first;
    ++member.lives;
    // A clock goes on over a crash: votes are held back for a while, then given.
    member.now += Duration(1);
    options.fresh_id = options_.forgetful ? founder_id(member.address) : 1000 * (index + 1) + member.lives;
    options.seed = index;
    member.core = std::make_unique<Core>(member.store, member.machine, std::move(options));
    member.core->start(member.now - Duration(1));
    member.started = true;
  }

  void collect(std::size_t from) {
    for (auto& out : members_[from]->core->take_out()) {
      auto to = std::find_if(members_.begin(), members_.end(),
                             [&](const auto& member) { return member->address == out.address; });
      if (to == members_.end()) continue;
      flying_.push_back({static_cast<std::size_t>(to - members_.begin()), std::move(out.message)});
    }
    while (flying_.size() > options_.in_flight) flying_.erase(flying_.begin());
    judge();
  }

  void judge() {
    for (const auto& member : members_) {
      if (!member->started) continue;
      const Core& core = *member->core;
      const Log& log = core.log();
      if (core.role() == Core::Role::leader) {
        auto [leader, fresh] = leaders_.emplace(core.term(), core.self());
        if (!fresh && leader->second != core.self())
          fail("two leaders in term " + std::to_string(core.term()));
      }
      for (Index i = log.first(); i <= std::min(core.commit(), log.last()); ++i) {
        auto [entry, fresh] = committed_.emplace(i, log.at(i));
        if (!fresh && !(entry->second == log.at(i))) fail("two entries committed at " + std::to_string(i));
      }
    }
    for (const auto& member : members_) {
      if (!member->started || member->core->role() != Core::Role::leader) continue;
      const Log& log = member->core->log();
      Term term = member->core->term();
      for (const auto& [index, entry] : committed_) {
        if (entry.term >= term || index <= log.snapshot().index) continue;
        if (index > log.last() || !(log.at(index) == entry))
          fail("the leader of term " + std::to_string(term) + " lacks the committed entry " +
               std::to_string(index));
      }
    }
  }

  void fail(const std::string& what) {
    if (fault_.empty()) fault_ = what;
  }

  const ExploreOptions& options_;
  std::vector<std::unique_ptr<Member1>> members_;
  std::vector<Flying> flying_;
  int timeouts_ = 0, crashes_ = 0, wipes_ = 0, changes_ = 0;
  std::map<Term, MemberId> leaders_;
  std::map<Index, Entry> committed_;
  std::string fault_;
};

}  // namespace

// Breadth first, so that a fault comes with a shortest history. A state is kept as the events that lead to
// it.
Explored explore(const ExploreOptions& options) {
  Explored explored;
  struct Reached {
    std::size_t before;
    Event event;
    std::size_t depth;
  };
  std::vector<Reached> reached{{0, {Kind::lose, 0}, 0}};
  // By a digest of 128 bits: over a million states a false match is out of the question.
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
  auto digest = [](const std::string& key) {
    XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    return std::pair(hash.high64, hash.low64);
  };
  auto path_of = [&](std::size_t state) {
    std::vector<Event> path;
    for (; state != 0; state = reached[state].before) path.push_back(reached[state].event);
    std::reverse(path.begin(), path.end());
    return path;
  };
  seen.insert(digest(Model(options).key()));
  for (std::size_t state = 0; state < reached.size(); ++state) {
    std::vector<Event> path = path_of(state);
    Model base(options);
    for (const Event& event : path) base.apply(event);
    if (base.committed_change()) ++explored.committed;
    explored.leaders = std::max(explored.leaders, base.leaders());
    explored.depth = reached[state].depth;
    for (const Event& event : base.enabled()) {
      Model next(options);
      for (const Event& before : path) next.apply(before);
      next.apply(event);
      ++explored.steps;
      if (!next.fault().empty()) {
        explored.states = reached.size();
        explored.fault = next.fault();
        Model again(options);
        path.push_back(event);
        for (const Event& each : path) {
          explored.history.push_back(again.tell(each));
          again.apply(each);
        }
        return explored;
      }
      if (!seen.insert(digest(next.key())).second) continue;
      if (reached.size() >= options.most_states) {
        explored.states = reached.size();
        return explored;
      }
      reached.push_back({state, event, reached[state].depth + 1});
    }
  }
  explored.states = reached.size();
  explored.exhausted = true;
  return explored;
}

}  // namespace pearspar::biella
