#include "simulation/explore_space.h"

#include <algorithm>
#include <random>

#include "protocol/raft_codec.h"
#include "simulation/explore_probe.h"

namespace pearspar::simulation {

using namespace raft;

namespace {

Digest key_of(std::uint64_t first, std::uint64_t second) {
  std::uint64_t both[2] = {first, second};
  return digest_of(both, sizeof both);
}

// Which count bounds it.
std::optional<State::Count> count_of(Kind kind) {
  switch (kind) {
    case Kind::double_:
      return State::doubles;
    case Kind::deliver_power_1:
    case Kind::deliver_power_2:
      return State::power;
    case Kind::deliver_full:
    case Kind::propose_full:
      return State::refusals;
    case Kind::timeout:
      return State::timeouts;
    case Kind::beat:
      return State::beats;
    case Kind::lapse:
      return State::lapses;
    case Kind::pass:
      return State::passes;
    case Kind::crash:
      return State::crashes;
    case Kind::wipe:
      return State::wipes;
    case Kind::copy:
      return State::copies;
    case Kind::put_back:
      return State::put_back;
    case Kind::propose:
      return State::changes;
    case Kind::transfer_leadership:
      return State::hand_overs;
    case Kind::leave:
      return State::leaves;
    case Kind::end:
      return State::ends;
    default:
      return std::nullopt;
  }
}

}  // namespace

Space::Space(const ExploreOptions& options)
    : options_(options),
      bodies_(
          std::min<std::size_t>(most_bodies, static_cast<std::size_t>(options.members + options.newcomers))),
      in_flight_(options.in_flight) {
  letters_.number(digest_of("none"), Letter{});  // 0 is no message
}

std::uint32_t Space::number(Body&& body) {
  Digest digest = digest_of(body.describe());
  std::uint32_t found = 0;
  if (members_.find(digest, found)) return found;
  Member member;
  if (body.core) {
    member.leads = body.core->role() == Core::Role::leader;
    member.speaks = body.core->holds_lease(body.now);
    member.leaving = Probe::leaving(*body.core);
    member.lives = body.now < Probe::lapses(*body.core);
  }
  member.body = std::move(body);
  return members_.number(digest, std::move(member));
}

std::uint32_t Space::number(Past&& past) {
  Digest digest = digest_of(past.describe());
  return pasts_.number(digest, std::move(past));
}

std::uint32_t Space::number(std::size_t to, Message&& message) {
  protocol::Packer packer;
  packer.array(2);
  packer.number(to);
  protocol::pack(packer, message);
  Digest digest = digest_of(packer.view());
  return letters_.number(digest, Letter{static_cast<std::uint8_t>(to), std::move(message)});
}

std::optional<std::size_t> Space::place_of(const std::string& address) const {
  for (std::size_t i = 0; i < bodies_; ++i)
    if (address_of(i) == address) return i;
  return std::nullopt;
}

// Voters' own wish to be taken in comes to nothing; unless it is asked for, it is lost.
bool Space::goes(const Body& from, const OutgoingMessage& out) const {
  if (out.message.kind != MessageKind::join || options_.all_joins) return true;
  return !from.core || out.message.from != from.core->self() ||
         !from.core->log().membership().has(from.core->self());
}

State Space::first() {
  State state;
  for (std::size_t i = 0; i < bodies_; ++i) state.body[i] = number(first_body(options_, i));
  state.past = number(Past());
  if (!options_.settled) return state;
  // One of them stands, all is delivered in order, and a round tells the others.
  std::string fault;
  auto deliver_all = [&] {
    while (state.flying[0] != 0)
      if (auto after = next(state, {Kind::deliver, state.flying[0]}, fault)) state = *after;
  };
  // No count is used up.
  auto move_first = [&](Act act) {
    Call call;
    call.action.act = act;
    move(state, 0, call, fault);
    deliver_all();
  };
  move_first(Act::timeout);
  move_first(Act::timeout);
  open(state);
  state.used = {};
  return state;
}

void Space::enabled(const State& state, std::vector<Event>& events) const {
  events.clear();
  auto left = [&](State::Count count, int bound) { return state.used[count] < bound; };
  auto of = [](int whom, std::uint32_t i) { return whom == 0 || (whom >> i & 1) != 0; };
  std::size_t flying = 0;
  while (flying < most_flying && state.flying[flying] != 0) ++flying;
  for (std::size_t i = 0; i < flying; ++i) {
    if (i > 0 && state.flying[i] == state.flying[i - 1]) continue;
    std::uint32_t at = state.flying[i];
    const Body& to = members_[state.body[letters_[at].to]].body;
    // What never arrives is lost; so it has to be told only where a word to all others has no room.
    if (flying + bodies_ > in_flight_ + 1 || !to.core) events.push_back({Kind::lose, at});
    if (!to.core) continue;
    events.push_back({Kind::deliver, at});
    if (left(State::doubles, options_.doubles) && of(options_.doubles_of, letters_[at].to))
      events.push_back({Kind::double_, at});
    if (left(State::power, options_.power)) {
      events.push_back({Kind::deliver_power_1, at});
      events.push_back({Kind::deliver_power_2, at});
    }
    if (left(State::refusals, options_.refusals)) events.push_back({Kind::deliver_full, at});
  }
  if (left(State::passes, options_.passes)) events.push_back({Kind::pass, 0});
  for (std::uint32_t i = 0; i < bodies_; ++i) {
    const Member& member = members_[state.body[i]];
    if (!member.body.core) {
      if (i >= static_cast<std::uint32_t>(options_.members) && member.body.lives == 0)
        events.push_back({Kind::appear, i});
      continue;
    }
    if (options_.timed) {
      if (member.body.core->due() <= member.body.now) events.push_back({Kind::tick, i});
    } else if (member.leads) {
      if (left(State::beats, options_.beats) && of(options_.beats_of, i)) events.push_back({Kind::beat, i});
    } else {
      if (left(State::timeouts, options_.timeouts) && of(options_.timeouts_of, i))
        events.push_back({Kind::timeout, i});
      if (member.lives && left(State::lapses, options_.lapses) && of(options_.lapses_of, i))
        events.push_back({Kind::lapse, i});
    }
    if (left(State::crashes, options_.crashes) && of(options_.crashes_of, i))
      events.push_back({Kind::crash, i});
    if (left(State::wipes, options_.wipes) && of(options_.wipes_of, i)) events.push_back({Kind::wipe, i});
    if (left(State::copies, options_.copies) && state.shelf == 0) events.push_back({Kind::copy, i});
    if (state.shelf != 0 && left(State::put_back, options_.put_back) &&
        members_[state.shelf - 1].body.index == i)
      events.push_back({Kind::put_back, i});
    if (member.leads && left(State::changes, options_.changes) && of(options_.changes_of, i)) {
      events.push_back({Kind::propose, i});
      if (left(State::refusals, options_.refusals)) events.push_back({Kind::propose_full, i});
    }
    if (member.leads && left(State::hand_overs, options_.hand_overs))
      events.push_back({Kind::transfer_leadership, i});
    if (!member.leaving && left(State::leaves, options_.leaves) && of(options_.leaves_of, i))
      events.push_back({Kind::leave, i});
    if (member.leaving && member.body.core->may_shut_down()) events.push_back({Kind::end_asked, i});
    if (left(State::ends, options_.ends) && of(options_.ends_of, i)) events.push_back({Kind::end, i});
  }
}

Space::Call Space::call_of(const State& state, const Event& event) const {
  Call call;
  if (about_message(event.kind)) {
    call.argument = event.at;
    call.action.act = Act::deliver;
    call.action.message = &letters_[event.at].message;
  }
  switch (event.kind) {
    case Kind::deliver_power_1:
      call.action.trouble.writes = 1;
      break;
    case Kind::deliver_power_2:
      call.action.trouble.writes = 2;
      break;
    case Kind::deliver_full:
      call.action.trouble.refuses = true;
      break;
    case Kind::timeout:
    case Kind::beat:
      call.action.act = Act::timeout;
      break;
    case Kind::lapse:
      call.action.act = Act::lapse;
      break;
    case Kind::pass:
      call.action.act = Act::pass;
      break;
    case Kind::tick:
      call.action.act = Act::tick;
      break;
    case Kind::crash:
      call.action.act = Act::crash;
      break;
    case Kind::wipe:
      call.action.act = Act::wipe;
      break;
    case Kind::put_back:
      call.action.act = Act::put_back;
      call.action.shelf = &members_[state.shelf - 1].body;
      call.argument = state.shelf;
      break;
    case Kind::appear:
      call.action.act = Act::appear;
      break;
    case Kind::propose_full:
      call.action.trouble.refuses = true;
      [[fallthrough]];
    case Kind::propose:
      call.action.act = Act::propose;
      call.argument = state.used[State::changes];
      call.action.change = std::string(1, static_cast<char>('a' + call.argument));
      break;
    case Kind::transfer_leadership:
      call.action.act = Act::transfer_leadership;
      break;
    case Kind::leave:
      call.action.act = Act::leave;
      break;
    case Kind::end:
    case Kind::end_asked:
      call.action.act = Act::end;
      break;
    default:
      break;
  }
  return call;
}

// A step of one member, worked out at its first time.
std::uint32_t Space::step_of(std::uint32_t number_before, const Call& call) {
  std::uint64_t trouble =
      static_cast<std::uint64_t>(call.action.trouble.writes + 1) * 2 + call.action.trouble.refuses;
  Digest key = key_of(number_before, static_cast<std::uint64_t>(call.argument) << 32 |
                                         static_cast<std::uint64_t>(call.action.act) << 8 | trouble);
  std::uint32_t found = 0;
  if (steps_.find(key, found)) return found;
  Body body = members_[number_before].body;
  std::vector<OutgoingMessage> out;
  Result result;
  result.before = number_before;
  result.comes = take_step(options_, body, call.action, out);
  if (result.comes) {
    for (OutgoingMessage& each : out)
      if (auto to = place_of(each.address); to && goes(body, each))
        result.sent.push_back(number(*to, std::move(each.message)));
    result.body = number(std::move(body));
  }
  return steps_.insert(key, results_.add(std::move(result))).first;
}

std::uint32_t Space::verdict_of(std::uint32_t result, std::uint32_t past) {
  Digest key = key_of(result, past);
  std::uint32_t found = 0;
  if (judged_.find(key, found)) return found;
  Past after = pasts_[past];
  Verdict verdict;
  const Body& before = members_[results_[result].before].body;
  verdict.fault = after.see(Glance(before), before.core ? &before.core->log() : nullptr,
                            members_[results_[result].body].body, true);
  verdict.past = number(std::move(after));
  return judged_.insert(key, verdicts_.add(std::move(verdict))).first;
}

std::uint32_t Space::leader_verdict_of(std::uint32_t body, std::uint32_t past) {
  Digest key = key_of(body, past);
  std::uint32_t found = 0;
  if (leaders_.find(key, found)) return found;
  Verdict verdict{past, pasts_[past].judge_leader(members_[body].body)};
  return leaders_.insert(key, verdicts_.add(std::move(verdict))).first;
}

void Space::post(State& state, const std::vector<std::uint32_t>& sent) const {
  std::size_t flying = 0;
  while (flying < most_flying && state.flying[flying] != 0) ++flying;
  for (std::uint32_t letter : sent) {
    if (flying >= std::min(in_flight_, most_flying)) break;
    if (std::find(state.flying.begin(), state.flying.end(), letter) != state.flying.end()) continue;
    state.flying[flying++] = letter;
  }
  std::sort(state.flying.begin(), state.flying.begin() + static_cast<std::ptrdiff_t>(flying));
}

// One member's part of a step, judged.
bool Space::move(State& state, std::size_t index, const Call& call, std::string& fault) {
  std::uint32_t taken = step_of(state.body[index], call);
  const Result& result = results_[taken];
  if (!result.comes) return false;
  std::uint32_t before = state.past;
  const Verdict& verdict = verdicts_[verdict_of(taken, before)];
  state.body[index] = result.body;
  state.past = verdict.past;
  if (!verdict.fault.empty() && fault.empty()) fault = verdict.fault;
  for (std::size_t i = 0; i < bodies_; ++i) {
    if (!members_[state.body[i]].leads || (i != index && state.past == before)) continue;
    const Verdict& leader = verdicts_[leader_verdict_of(state.body[i], state.past)];
    if (!leader.fault.empty() && fault.empty()) fault = leader.fault;
  }
  post(state, result.sent);
  return true;
}

void Space::speakers(State& state, std::string& fault) {
  if (!options_.lease) return;
  std::vector<const Body*> bodies;
  for (std::size_t i = 0; i < bodies_; ++i)
    if (members_[state.body[i]].speaks) bodies.push_back(&members_[state.body[i]].body);
  if (bodies.empty()) return;
  Past after = pasts_[state.past];
  std::string found = after.judge_speakers(bodies);
  if (!found.empty() && fault.empty()) fault = found;
  state.past = number(std::move(after));
}

std::optional<State> Space::next(const State& state, const Event& event, std::string& fault) {
  State after = state;
  std::size_t index = event.at;
  if (about_message(event.kind)) {
    index = letters_[event.at].to;
    if (event.kind != Kind::double_) {
      auto at = std::find(after.flying.begin(), after.flying.end(), event.at);
      std::move(at + 1, after.flying.end(), at);
      after.flying.back() = 0;
    }
  }
  if (auto count = count_of(event.kind)) ++after.used[*count];
  if (event.kind == Kind::propose_full) ++after.used[State::changes];
  if (event.kind == Kind::lose) return after;
  if (event.kind == Kind::copy || event.kind == Kind::wipe) after.shelf = state.body[index] + 1;
  if (event.kind == Kind::put_back) after.shelf = 0;
  if (event.kind == Kind::copy) return after;
  Call call = call_of(state, event);
  if (event.kind == Kind::pass) {
    for (std::size_t i = 0; i < bodies_; ++i)
      if (members_[after.body[i]].body.core) move(after, i, call, fault);
  } else if (!move(after, index, call, fault)) {
    return std::nullopt;
  }
  speakers(after, fault);
  return after;
}

std::string Space::tell(const State& state, const Event& event) const {
  static const char* names[] = {"deliver",
                                "deliver, and keep on its way,",
                                "lose power at the 2nd write of",
                                "lose power at the 3rd write of",
                                "find the disk full at",
                                "lose",
                                "time-out of",
                                "round of",
                                "no leader is heard any more at",
                                "time passes",
                                "look at the clock of",
                                "crash of",
                                "lost disk of",
                                "copy of the disk of",
                                "the kept disk is back at",
                                "newcomer",
                                "change proposed to",
                                "change proposed, disk full, to",
                                "hand-over of",
                                "end asked of",
                                "end of",
                                "end, as asked, of"};
  static const char* words[] = {"ask_pre_vote", "pre_vote", "ask_vote", "vote",     "append",
                                "appended",     "install",  "join",     "take_over"};
  std::string out = names[static_cast<int>(event.kind)];
  if (event.kind == Kind::pass) return out;
  if (!about_message(event.kind)) {
    const Body& body = members_[state.body[event.at]].body;
    return out + " " + address_of(event.at) +
           (body.core ? " (id " + std::to_string(body.core->self() % 100000) + ", term " +
                            std::to_string(body.core->term()) + ")"
                      : "");
  }
  const Letter& letter = letters_[event.at];
  const Message& message = letter.message;
  auto kind = static_cast<std::size_t>(message.kind);
  out += std::string(" ") + (kind < std::size(words) ? words[kind] : "message " + std::to_string(kind)) +
         " of term " + std::to_string(message.term) + " from " + message.from_address + " to " +
         address_of(letter.to) + (message.flag ? ", yes" : "") + ", index " + std::to_string(message.index);
  for (const Entry& entry : message.entries) {
    out += ", entry " + std::to_string(entry.index) + "/" + std::to_string(entry.term);
    if (entry.kind == EntryKind::change) out += " " + entry.data;
    if (entry.kind != EntryKind::membership) continue;
    out += " {";
    for (const auto& voter : entry.membership.voters) out += " " + std::to_string(voter.id % 100000);
    out += " }";
  }
  return out;
}

std::string Space::hold_against(std::uint64_t seed, std::size_t steps) {
  std::mt19937_64 random(seed);
  State state = first();
  std::vector<Body> real;
  auto begin = [&] {
    state = first();
    real.clear();
    for (std::size_t i = 0; i < bodies_; ++i) real.push_back(body(state, i));
  };
  begin();
  std::vector<Event> events;
  for (std::size_t step = 0; step < steps; ++step) {
    enabled(state, events);
    if (events.empty()) {
      begin();
      continue;
    }
    Event event = events[random() % events.size()];
    std::string fault;
    auto after = next(state, event, fault);
    if (!after) continue;
    if (event.kind != Kind::lose && event.kind != Kind::copy) {
      Call call = call_of(state, event);
      for (std::size_t i = 0; i < bodies_; ++i) {
        bool all = event.kind == Kind::pass;
        std::size_t index = about_message(event.kind) ? letters_[event.at].to : event.at;
        if (all ? !real[i].core : i != index) continue;
        std::vector<OutgoingMessage> out;
        take_step(options_, real[i], call.action, out);
        std::vector<std::uint32_t> sent;
        for (OutgoingMessage& each : out)
          if (auto to = place_of(each.address); to && goes(real[i], each))
            sent.push_back(number(*to, std::move(each.message)));
        if (sent != results_[step_of(state.body[i], call)].sent)
          return "step " + std::to_string(step) + ", " + tell(state, event) + ": other messages are sent";
        if (real[i].describe() != members_[after->body[i]].body.describe())
          return "step " + std::to_string(step) + ", " + tell(state, event) + ": another state is reached";
      }
    }
    state = *after;
  }
  return {};
}

}  // namespace pearspar::simulation
