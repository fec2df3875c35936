#include "simulation/allowance_explore.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_set>

#include "protocol/pack.h"
#include "quota/edge_quota.h"

namespace pearspar::simulation {
namespace {

using quota::AccountKey;
using quota::Duration;
using quota::EdgeQuota;
using quota::QuotaLedger;
using quota::QuotaReply;
using quota::QuotaRequest;
using quota::Time;

constexpr double tick_s =
    1.6;  // one: questions are sent again, the lease holds; two: it and the silence are over
constexpr double silence_s = 3;
const AccountKey account_key{"f", "k"};

struct EdgeState {
  std::optional<EdgeQuota> edge_quota;
  std::optional<QuotaRequest> ask;  // on its way
  std::optional<QuotaReply> tell;   // on its way
  int said = 0;
};

struct State {
  int now = 0;  // ticks
  QuotaLedger quota_ledger;
  std::vector<EdgeState> edges;
  std::map<quota::EdgeSession, int> heard;
  std::map<quota::Window, std::set<int>> spent;  // keys, by the window of their tokens
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
    rules->accounts.push_back(
        {account_key.holder, account_key.kind, static_cast<std::uint64_t>(options.limit), false});
    rules->account_index[account_key.holder + '\n' + account_key.kind] = 0;
    rules_ = std::move(rules);
  }

  AllowanceExplored run() {
    State first;
    first.quota_ledger.configure(rules_);
    first.quota_ledger.set_max_unsettled(static_cast<std::uint64_t>(options_.unsettled));
    first.quota_ledger.advance_window(1);
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
    edge.edge_quota.emplace(1000 * ++state.starts + 7);
    edge.edge_quota->set_max_unsettled(static_cast<std::uint64_t>(options_.unsettled));
    edge.edge_quota->configure(rules_);
  }

  std::string describe(const State& state) const {
    protocol::Packer packer;
    state.quota_ledger.save(packer);
    std::string out(packer.view());
    auto put = [&](std::uint64_t value) { out += std::to_string(value) + ','; };
    put(static_cast<std::uint64_t>(state.now));
    put(static_cast<std::uint64_t>(state.crashes) * 64 + static_cast<std::uint64_t>(state.losses) * 8 +
        static_cast<std::uint64_t>(state.turns));
    for (const EdgeState& edge : state.edges) {
      out += edge.edge_quota->describe(time(state));
      put(static_cast<std::uint64_t>(edge.said));
      out += edge.ask ? "a" : "-";
      if (edge.ask) put(edge.ask->number);
      out += edge.tell ? "t" : "-";
      if (edge.tell) {
        put(edge.tell->number), put(edge.tell->window), put(edge.tell->session_expired);
        for (const auto& given : edge.tell->given) put(given.count), put(given.exhausted);
      }
    }
    for (const auto& [session, at] : state.heard)
      put(session), put(static_cast<std::uint64_t>(std::min(7, state.now - at)));
    for (const auto& [window, keys] : state.spent)
      for (int key : keys) put(window), put(static_cast<std::uint64_t>(key));
    return out;
  }

  void check(const State& state) {
    for (const auto& line : state.quota_ledger.lines()) {
      auto spent = state.spent.find(line.window);
      std::uint64_t truth = spent == state.spent.end() ? 0 : spent->second.size();
      std::uint64_t held = line.count.drawn + line.count.in_doubt + line.count.out;
      if (truth > line.limit) found_.fault = "more was spent than the limit";
      if (line.window == state.quota_ledger.window() && held > line.limit)
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
          auto verdict = of(state).edge_quota->draw(time(state), account_key.holder, account_key.kind,
                                                    std::to_string(key), false);
          // Tries of what was counted before change nothing that is checked here.
          std::uint64_t before =
              queue_[at].state.edges[static_cast<std::size_t>(e)].edge_quota->counters().drawn;
          if (of(state).edge_quota->counters().drawn > before) {
            bool repeated = false;
            for (const auto& [window, keys] : state.spent) repeated = repeated || keys.count(key);
            if (!repeated) state.spent[verdict.ticket.window].insert(key);
          }
          bool first =
              of(state).edge_quota->counters().waited == 1 && verdict.kind == quota::DrawResult::Kind::wait;
          return first || of(state).edge_quota->counters().drawn > before;
        });
      step(at, name + " says what it has to say", [&](State& state) {
        if (of(state).ask || of(state).said >= options_.asks) return false;
        ++of(state).said;
        auto ask = of(state).edge_quota->take_request(time(state));
        of(state).ask = ask;
        return ask.has_value();
      });
      step(at, "its words are applied: " + name, [&](State& state) {
        EdgeState& edge = of(state);
        if (!edge.ask) return false;
        state.heard[edge.ask->session] = state.now;
        state.quota_ledger.apply(*edge.ask);
        QuotaReply tell;
        tell.number = edge.ask->number;
        tell.window = state.quota_ledger.window();
        tell.left_ms = 3600000;
        tell.session_expired = state.quota_ledger.is_expired(edge.ask->session);
        if (const auto* given = state.quota_ledger.given(edge.ask->session, edge.ask->number))
          tell.given = *given;
        edge.tell = std::move(tell);
        edge.ask.reset();
        return true;
      });
      step(at, name + " hears", [&](State& state) {
        EdgeState& edge = of(state);
        if (!edge.tell) return false;
        edge.edge_quota->on_reply(time(state), *edge.tell);
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
          if (said) state.quota_ledger.apply(*said);
          return true;
        });
    }
    if (queue_[at].state.now < options_.ticks)
      step(at, "1.6 seconds pass", [&](State& state) { return ++state.now > 0; });
    if (queue_[at].state.turns < options_.turns)
      step(at, "the window turns", [&](State& state) {
        ++state.turns;
        state.quota_ledger.advance_window(state.quota_ledger.window() + 1);
        return true;
      });
    for (quota::EdgeSession session : queue_[at].state.quota_ledger.sessions_with_tokens())
      step(at, "a life is given up", [&](State& state) {
        auto heard = state.heard.find(session);
        int since = heard == state.heard.end() ? 0 : heard->second;
        if (!options_.forget_silence && (state.now - since) * tick_s <= silence_s) return false;
        state.quota_ledger.expire_edge(session);
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

}  // namespace pearspar::simulation
