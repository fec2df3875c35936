#include "biella/allowance_explore.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_set>

#include "pramperet/purse.h"
#include "protocol/pack.h"

namespace pearspar::biella {
namespace {

using pramperet::Accounts;
using pramperet::Ask;
using pramperet::Duration;
using pramperet::Leaf;
using pramperet::Purse;
using pramperet::Tell;
using pramperet::Time;

constexpr double tick_s =
    1.6;  // one: questions are sent again, the lease holds; two: it and the silence are over
constexpr double silence_s = 3;
const Leaf leaf{"f", "k"};

struct EdgeState {
  std::optional<Purse> purse;
  std::optional<Ask> ask;    // on its way
  std::optional<Tell> tell;  // on its way
  int said = 0;
};

struct State {
  int now = 0;  // ticks
  Accounts accounts;
  std::vector<EdgeState> edges;
  std::map<pramperet::Life, int> heard;
  std::map<pramperet::Window, std::set<int>> spent;  // keys, by the window of their tokens
  int crashes = 0, losses = 0, turns = 0, given_up = 0;
  std::uint64_t starts = 0;
};

struct Seen {
  State state;
  std::size_t parent = 0;
  std::string how;
  std::size_t depth = 0;
};

class Search {
 public:
  explicit Search(const AllowanceExploreOptions& options) : options_(options) {
    auto rules = std::make_shared<catalog::QuotaRules>();
    rules->window_ms = 3.6e6;
    rules->accounts.push_back({leaf.holder, leaf.kind, static_cast<std::uint64_t>(options.limit), false});
    rules->account_index[leaf.holder + '\n' + leaf.kind] = 0;
    rules_ = std::move(rules);
  }

  AllowanceExplored run() {
    State first;
    first.accounts.configure(rules_);
    first.accounts.set_unsettled(static_cast<std::uint64_t>(options_.unsettled));
    first.accounts.turn(1);
    first.edges.resize(static_cast<std::size_t>(options_.edges));
    for (EdgeState& edge : first.edges) start(first, edge);
    add(std::move(first), 0, "start", 0);
    for (std::size_t at = 0; at < queue_.size() && found_.fault.empty(); ++at) {
      if (queue_.size() > options_.most_states) return finish(false);
      expand(at);
      // What was expanded is only needed for its history.
      queue_[at].state = State{};
    }
    return finish(found_.fault.empty());
  }

 private:
  Time time(const State& state) const { return Time{Duration(1000 + tick_s * state.now)}; }

  void start(State& state, EdgeState& edge) {
    edge = {};
    edge.purse.emplace(1000 * ++state.starts + 7);
    edge.purse->set_unsettled(static_cast<std::uint64_t>(options_.unsettled));
    edge.purse->configure(rules_);
  }

  std::string describe(const State& state) const {
    protocol::Packer packer;
    state.accounts.fold(packer);
    std::string out(packer.view());
    auto put = [&](std::uint64_t value) { out += std::to_string(value) + ','; };
    put(static_cast<std::uint64_t>(state.now));
    put(static_cast<std::uint64_t>(state.crashes) * 64 + static_cast<std::uint64_t>(state.losses) * 8 +
        static_cast<std::uint64_t>(state.turns));
    for (const EdgeState& edge : state.edges) {
      out += edge.purse->describe(time(state));
      put(static_cast<std::uint64_t>(edge.said));
      out += edge.ask ? "a" : "-";
      if (edge.ask) put(edge.ask->number);
      out += edge.tell ? "t" : "-";
      if (edge.tell) {
        put(edge.tell->number), put(edge.tell->window), put(edge.tell->gone);
        for (const auto& given : edge.tell->given) put(given.count), put(given.exhausted);
      }
    }
    for (const auto& [life, at] : state.heard)
      put(life), put(static_cast<std::uint64_t>(std::min(7, state.now - at)));
    for (const auto& [window, keys] : state.spent)
      for (int key : keys) put(window), put(static_cast<std::uint64_t>(key));
    return out;
  }

  void check(const State& state) {
    for (const auto& line : state.accounts.lines()) {
      auto spent = state.spent.find(line.window);
      std::uint64_t truth = spent == state.spent.end() ? 0 : spent->second.size();
      std::uint64_t held = line.count.drawn + line.count.in_doubt + line.count.out;
      if (truth > line.limit) found_.fault = "more was spent than the limit";
      if (line.window == state.accounts.window() && held > line.limit)
        found_.fault = "more is out than the limit";
      if (truth > held) found_.fault = "something was spent that nothing covers";
    }
    for (const auto& [window, keys] : state.spent) found_.spent = std::max(found_.spent, keys.size());
  }

  void add(State state, std::size_t parent, std::string how, std::size_t depth) {
    ++found_.steps;
    if (!seen_.insert(describe(state)).second) return;
    check(state);
    found_.depth = std::max(found_.depth, depth);
    found_.given_up += state.given_up > 0;
    queue_.push_back({std::move(state), parent, std::move(how), depth});
    if (!found_.fault.empty() && found_.history.empty())
      for (std::size_t at = queue_.size() - 1;; at = queue_[at].parent) {
        found_.history.insert(found_.history.begin(), queue_[at].how);
        if (at == 0) break;
      }
  }

  template <class What>
  void step(std::size_t at, const std::string& how, What what) {
    State next = queue_[at].state;
    if (what(next)) add(std::move(next), at, how, queue_[at].depth + 1);
  }

  void expand(std::size_t at) {
    int edges = options_.edges;
    for (int e = 0; e < edges && found_.fault.empty(); ++e) {
      std::string name = "edge " + std::to_string(e);
      auto of = [e](State& state) -> EdgeState& { return state.edges[static_cast<std::size_t>(e)]; };
      for (int key = 0; key < options_.keys; ++key)
        step(at, name + " is asked for " + std::to_string(key), [&](State& state) {
          auto verdict =
              of(state).purse->draw(time(state), leaf.holder, leaf.kind, std::to_string(key), false);
          // Tries of what was counted before change nothing that is checked here.
          std::uint64_t before = queue_[at].state.edges[static_cast<std::size_t>(e)].purse->counters().drawn;
          if (of(state).purse->counters().drawn > before) {
            bool repeated = false;
            for (const auto& [window, keys] : state.spent) repeated = repeated || keys.count(key);
            if (!repeated) state.spent[verdict.ticket.window].insert(key);
          }
          bool first =
              of(state).purse->counters().waited == 1 && verdict.kind == pramperet::Verdict::Kind::wait;
          return first || of(state).purse->counters().drawn > before;
        });
      step(at, name + " says what it has to say", [&](State& state) {
        if (of(state).ask || of(state).said >= options_.asks) return false;
        ++of(state).said;
        auto ask = of(state).purse->take_ask(time(state));
        of(state).ask = ask;
        return ask.has_value();
      });
      step(at, "its words are applied: " + name, [&](State& state) {
        EdgeState& edge = of(state);
        if (!edge.ask) return false;
        state.heard[edge.ask->life] = state.now;
        state.accounts.apply(*edge.ask);
        Tell tell;
        tell.number = edge.ask->number;
        tell.window = state.accounts.window();
        tell.left_ms = 3600000;
        tell.gone = state.accounts.is_gone(edge.ask->life);
        if (const auto* given = state.accounts.given(edge.ask->life, edge.ask->number)) tell.given = *given;
        edge.tell = std::move(tell);
        edge.ask.reset();
        return true;
      });
      step(at, name + " hears", [&](State& state) {
        EdgeState& edge = of(state);
        if (!edge.tell) return false;
        edge.purse->on_tell(time(state), *edge.tell);
        edge.tell.reset();
        return true;
      });
      if (queue_[at].state.losses < options_.losses) {
        step(at, "a question is lost: " + name, [&](State& state) {
          ++state.losses;
          bool there = of(state).ask.has_value();
          of(state).ask.reset();
          return there;
        });
        step(at, "an answer is lost: " + name, [&](State& state) {
          ++state.losses;
          bool there = of(state).tell.has_value();
          of(state).tell.reset();
          return there;
        });
      }
      if (queue_[at].state.crashes < options_.crashes)
        step(at, name + " dies and starts anew", [&](State& state) {
          ++state.crashes;
          // What it has said is on its way all the same.
          auto said = of(state).ask;
          start(state, of(state));
          if (said) state.accounts.apply(*said);
          return true;
        });
    }
    if (queue_[at].state.now < options_.ticks)
      step(at, "1.6 seconds pass", [&](State& state) { return ++state.now > 0; });
    if (queue_[at].state.turns < options_.turns)
      step(at, "the window turns", [&](State& state) {
        ++state.turns;
        state.accounts.turn(state.accounts.window() + 1);
        return true;
      });
    for (pramperet::Life life : queue_[at].state.accounts.lives())
      step(at, "a life is given up", [&](State& state) {
        auto heard = state.heard.find(life);
        int since = heard == state.heard.end() ? 0 : heard->second;
        if (!options_.forget_silence && (state.now - since) * tick_s <= silence_s) return false;
        state.accounts.gone(life);
        ++state.given_up;
        return true;
      });
  }

  AllowanceExplored finish(bool exhausted) {
    found_.states = seen_.size();
    found_.exhausted = exhausted;
    return std::move(found_);
  }

  AllowanceExploreOptions options_;
  std::shared_ptr<const catalog::QuotaRules> rules_;
  std::deque<Seen> queue_;
  std::unordered_set<std::string> seen_;
  AllowanceExplored found_;
};

}  // namespace

AllowanceExplored explore_allowance(const AllowanceExploreOptions& options) { return Search(options).run(); }

}  // namespace pearspar::biella
