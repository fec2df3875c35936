#include "peers/core.h"

#include <algorithm>
#include <cmath>

namespace pearspar::peers {
namespace {

using net::Address;
using net::Duration;
using net::Time;

constexpr int worst_health_score = 8;
constexpr int indirect_probe_helpers = 3;
constexpr int max_confirmations = 3;     // independent confirmations with which a suspicion is shortest
constexpr int trusted_member_draws = 8;  // draws of a random member before a suspect is accepted
constexpr int gossip_fanout = 2;         // members per gossip tick
constexpr double gossips_per_period = 4;
constexpr double probers_per_suspect = 6;  // expected number of brokers that probe a suspect in each period
constexpr int max_suspect_probes_per_period = 8;  // extra probes of suspects by one broker
constexpr double direct_probe_share = 0.5;        // of a period, before indirect probes are sent
constexpr double helper_timeout_share = 0.3;      // of a period, before a helper reports a missing answer
constexpr double settled_periods = 5;
constexpr double joining_periods = 10;  // time for seeds to answer before a broker without peers may settle
constexpr double differ_periods = 3;    // time for gossip to level out before an anti-entropy exchange
constexpr double records_differ_periods = 25;        // the same for records
constexpr std::size_t greeting_padding_bytes = 260;  // room for the answer's news
constexpr int max_pages_per_exchange = 16;
constexpr std::size_t max_relays = 64;
constexpr std::size_t max_seeds = 64;         // from each source
constexpr double datagrams_per_period = 64;   // accepted from one member
constexpr double unverified_per_period = 64;  // accepted from all unverified addresses together
constexpr double burst_periods = 4;           // burst size of both rate limits
constexpr double max_namesake_pings = 5;      // unanswered pings to a namesake before its name is taken back

std::uint32_t accuser_id(std::string_view name) { return static_cast<std::uint32_t>(hash_of(name, 2)); }

AddressMatch match_address(const Address& theirs, const Address& ours) {
  return theirs == ours                 ? AddressMatch::same
         : AddressOrder()(theirs, ours) ? AddressMatch::lower
                                        : AddressMatch::higher;
}

}  // namespace

const char* text_of(Cause cause) {
  constexpr const char* texts[] = {"its own word",
                                   "no answer to us",
                                   "several accusers",
                                   "its address is another's",
                                   "told",
                                   "no answer from the namesake",
                                   "alone",
                                   "our own announcement"};
  return texts[static_cast<int>(cause)];
}

Core::Core(Options options, Self self, std::uint64_t seed, Time now)
    : options_(std::move(options)),
      self_(std::move(self)),
      own_{self_.run, 1},
      codec_(options_.fleet),
      random_(seed ^ hash_of(self_.name, self_.run)),
      secret_(random_()),
      table_(options_.max_members),
      next_period_(now + options_.period * std::uniform_real_distribution<double>(0, 1)(random_)),
      next_gossip_(Time::max()),
      last_gossip_(now - options_.period),
      next_reconnect_(now),
      next_forget_(now + options_.remember_gone / 16),
      tokens_(static_cast<double>(options_.bytes_per_s)),
      tokens_at_(now),
      unverified_tokens_(unverified_per_period * burst_periods),
      unverified_tokens_at_(now),
      changed_at_(now),
      disagreed_at_(now),
      join_deadline_(now + options_.period * joining_periods) {
  encode_own_word();
}

// ---- lifecycle and local state ----

void Core::ready(Time now) {
  if (phase_ != Phase::joining) return;
  phase_ = Phase::alive;
  raise_incarnation(now, 0);
}

void Core::leave(Time now) {
  if (phase_ == Phase::leaving || phase_ == Phase::left) return;
  phase_ = Phase::leaving;
  raise_incarnation(now, 0);
}

void Core::finish(Time now) {
  if (phase_ == Phase::left) return;
  const bool participated = participates();
  phase_ = Phase::left;
  raise_incarnation(now, 0);
  finish_by_ = now;
  if (!participated || table_.in_force().empty()) return;
  finish_by_ = now + options_.period;
  probes_.clear();
  // Sent directly to several members, not only by gossip.
  std::vector<Member*> some = table_.in_force();
  std::shuffle(some.begin(), some.end(), random_);
  if (some.size() > 5) some.resize(5);
  for (Member* member : some) {
    wire::Body body = body_for(member->address, member);
    *body.add_news() = own_news();
    send(now, member->address, body, SendBudget::always);
  }
}

bool Core::publish(Time now, const std::string& key, const std::string& value) {
  if (key.empty() || key.size() > max_key_bytes || value.size() > max_value_bytes) return false;
  auto found = own_records_.find(key);
  if (found != own_records_.end() && found->second.value == value) return true;
  RecordMap next = own_records_;
  next[key] = {value, records_version_ + 1};
  if (next.size() > static_cast<std::size_t>(max_records) || bytes_of(next) > max_records_bytes) return false;
  ++records_version_;
  own_records_ = std::move(next);
  disseminate(now, self_.name, Priority::record);
  snapshot_.reset();
  return true;
}

void Core::set_discovered_seeds(std::vector<Address> seeds) {
  if (seeds.size() > max_seeds) seeds.resize(max_seeds);
  discovered_seeds_ = std::move(seeds);
}

// ---- our own status ----

void Core::encode_own_word() {
  wire::Word word;
  word.set_host(self_.address.host);
  word.set_port(self_.address.port);
  word.set_serves_host(self_.serves.host);
  word.set_serves_port(self_.serves.port);
  word.set_zone(self_.zone);
  word.set_region(self_.region);
  word.set_version(self_.version);
  word.set_phase(static_cast<wire::Phase>(phase_));
  word_ = word.SerializeAsString();
}

void Core::raise_incarnation(Time now, std::uint64_t above) {
  own_ = next_incarnation(own_, above);
  self_.run = own_.run;
  encode_own_word();
  changed(now);
  updates_.add(self_.name, Priority::verdict);
  if (!own_records_.empty()) disseminate(now, self_.name, Priority::record);
}

void Core::apply_own_news(Time now, const wire::News& news) {
  Member heard;
  if (!MemberTable::read_word(news.word(), heard)) heard.address = self_.address;
  heard.status.run = news.run();
  heard.status.incarnation = news.incarnation();
  heard.status.verdict = static_cast<Verdict>(news.verdict());
  if (news.word().empty()) heard.status.phase = phase_;
  // We are leaving for good: nothing to refute.
  if (phase_ == Phase::left && heard.status.run == own_.run) return;
  const AddressMatch place = match_address(heard.address, self_.address);
  const OwnMergeResult merged = merge_own_status(own_, heard.status, place);
  switch (merged.effect) {
    case OwnEffect::none:
      return;
    case OwnEffect::refute:
      ++counters_.refuted;
      if (heard.status.verdict != Verdict::trusted) degrade_health(1);
      break;
    case OwnEffect::outrun:
      ++counters_.outruns;
      if (heard.status.run >= max_run) return;
      break;
    case OwnEffect::yield:
      if (yields_) return;
      yields_ = true;
      namesake_ = heard.address;
      namesake_pings_ = 0;
      namesake_run_ = heard.status.run;
      probes_.clear();
      events_.push_back({self_.name, heard.status.run, heard.status.incarnation, State::alive, true,
                         State::gone, Cause::address_taken, heard.address.text(), 0});
      next_period_ = now;
      changed(now);
      return;
  }
  own_ = {merged.next.run, merged.next.incarnation - (merged.effect == OwnEffect::refute ? 1 : 0)};
  raise_incarnation(now, 0);
}

// Takes our name back if the namesake no longer answers; it keeps the name while it does.
void Core::probe_namesake(Time now) {
  next_period_ = now + options_.period * 5;
  if (++namesake_pings_ > max_namesake_pings) {
    yields_ = false;
    ++counters_.outruns;
    own_ = {std::max(own_.run, namesake_run_) + 1, 0};
    events_.push_back({self_.name, own_.run, own_.incarnation, State::gone, true, State::alive,
                       Cause::silence, namesake_.text(), 0});
    raise_incarnation(now, 0);
    return;
  }
  ping(now, namesake_, nullptr, 0, true);
}

void Core::reset_membership(Time now) {
  ++counters_.startovers;
  former_addresses_.clear();
  for (const Member* member : table_.in_force())
    if (former_addresses_.size() < max_seeds) former_addresses_.push_back(member->address);
  std::vector<std::string> names;
  for (const auto& [name, member] : table_.all()) names.push_back(name);
  for (const std::string& name : names) {
    updates_.drop(name);
    table_.erase(name);
  }
  suspicion_deadlines_.clear();
  round_.clear();
  join_deadline_ = now + options_.period * joining_periods;
  raise_incarnation(now, 0);
}

void Core::degrade_health(int by) {
  if (options_.local_health) health_ = std::min(worst_health_score, health_ + by);
}
void Core::improve_health() { health_ = std::max(0, health_ - 1); }

Duration Core::scaled_period() const { return options_.period * (1 + health_); }

void Core::detect_stall(Time now) {
  const Time expected = due();
  if (expected == Time::max() || now - expected <= options_.period / 2) return;
  const Duration stall = now - expected;
  ++counters_.held_up;
  degrade_health(stall > options_.period * 2 ? 2 : 1);
  // Unanswered probes say nothing about others while our own loop was stalled.
  probes_.clear();
  relays_.clear();
  std::set<std::pair<Time, std::string>> moved;
  for (const auto& [at, name] : suspicion_deadlines_) {
    moved.insert({at + stall, name});
    if (Member* member = table_.find(name)) {
      member->suspicion_deadline += stall;
      member->suspected_at += stall;
    }
  }
  suspicion_deadlines_ = std::move(moved);
  // Counts a stall once, however many datagrams are read before the next tick.
  for (Time* each : {&next_period_, &next_reconnect_, &next_forget_, &next_gossip_})
    if (*each < now) *each = now;
  if (finish_by_ < now) finish_by_ = now;
  if (stall > options_.remember_gone / 2) reset_membership(now);
}

// ---- members ----

void Core::changed(Time now) {
  changed_at_ = now;
  snapshot_.reset();
}

int Core::confirmations_wanted() const {
  return std::clamp(static_cast<int>(in_force()) - 2, 0, max_confirmations);
}

Time Core::suspicion_deadline_of(const Member& member) const {
  const int wanted = confirmations_wanted();
  const double others = std::max<double>(0, static_cast<double>(member.accusers.size()) - 1);
  const double share = wanted == 0 ? 1 : std::min(1.0, std::log(others + 1) / std::log(wanted + 1.0));
  return member.suspected_at + member.suspicion_max - (member.suspicion_max - member.suspicion_min) * share;
}

void Core::set_status(Time now, Member& member, const MemberStatus& status, Cause cause,
                      const std::string& by) {
  const MemberStatus held = member.status;
  const bool known = held.run != 0;
  const State before = member.status.state();
  suspicion_deadlines_.erase({member.suspicion_deadline, member.name});
  table_.change(member, [&](Member& each) {
    if (each.status.run != status.run) {
      each.records.clear();
      each.seen = {};
      each.cookie = 0;
    }
    each.status = status;
  });
  const State after = status.state();
  const int accusers = static_cast<int>(member.accusers.size());
  if (after != State::suspect) member.accusers.clear();
  if (!known || before != after || held.run != status.run) {
    member.since = now;
    events_.push_back(
        {member.name, status.run, status.incarnation, before, known, after, cause, by, accusers});
  }
  changed(now);
}

void Core::disseminate(Time now, const std::string& name, Priority priority) {
  updates_.add(name, priority);
  // Batches updates that arrive together.
  const Time soon = now + options_.period / (gossips_per_period * 8);
  next_gossip_ = std::max(std::min(next_gossip_, soon), last_gossip_ + options_.period / gossips_per_period);
}

void Core::suspect(Time now, Member& member, const MemberStatus& next, Cause cause, const std::string& by,
                   std::vector<std::uint32_t> accusers) {
  member.accusers = std::move(accusers);
  set_status(now, member, next, cause, by);
  const double size = std::max(1.0, std::log10(static_cast<double>(in_force())));
  member.suspected_at = now;
  member.suspicion_min = options_.period * (options_.suspicion_periods * size * (1 + health_ / 3.0));
  member.suspicion_max = member.suspicion_min * options_.suspicion_stretch;
  if (!options_.suspicion) member.suspicion_min = member.suspicion_max = Duration(0);
  member.suspicion_deadline = suspicion_deadline_of(member);
  suspicion_deadlines_.insert({member.suspicion_deadline, member.name});
  disseminate(now, member.name, Priority::verdict);
  disagreed_at_ = now;
}

void Core::suspect_locally(Time now, Member& member, Cause cause) {
  MemberStatus next = member.status;
  next.verdict = Verdict::suspect;
  suspect(now, member, next, cause, self_.name, {accuser_id(self_.name)});
}

void Core::confirm_suspicion(Time now, Member& member, std::uint32_t accuser) {
  if (member.status.state() != State::suspect ||
      std::find(member.accusers.begin(), member.accusers.end(), accuser) != member.accusers.end())
    return;
  if (static_cast<int>(member.accusers.size()) >= max_confirmations + 1) return;
  member.accusers.push_back(accuser);
  suspicion_deadlines_.erase({member.suspicion_deadline, member.name});
  member.suspicion_deadline = suspicion_deadline_of(member);
  suspicion_deadlines_.insert({member.suspicion_deadline, member.name});
  disseminate(now, member.name, Priority::verdict);
}

void Core::declare_gone(Time now, Member& member) {
  MemberStatus next = member.status;
  next.verdict = Verdict::gone;
  ++counters_.removed;
  set_status(now, member, next, member.accusers.size() > 1 ? Cause::accusers : Cause::suspicion_expired,
             self_.name);
  disseminate(now, member.name, Priority::verdict);
}

void Core::forget_old(Time now) {
  next_forget_ = now + options_.remember_gone / 16;
  std::vector<std::string> old;
  for (const auto& [name, member] : table_.all())
    if (!member.status.in_force() && now - member.since > options_.remember_gone) old.push_back(name);
  for (const std::string& name : old) {
    updates_.drop(name);
    table_.erase(name);
  }
  if (!old.empty()) snapshot_.reset();
}

// Makes room for a member in force by evicting the one gone longest. False if all are in force.
bool Core::evict_oldest() {
  const Member* oldest = nullptr;
  for (const auto& [name, member] : table_.all())
    if (!member.status.in_force() && (!oldest || member.since < oldest->since)) oldest = &member;
  if (!oldest) return false;
  const std::string name = oldest->name;
  updates_.drop(name);
  table_.erase(name);
  return true;
}

void Core::apply_news(Time now, const wire::News& news, const std::string& reporter) {
  if (news.run() > max_run) {
    ++counters_.malformed;
    return;
  }
  if (news.name() == self_.name) return apply_own_news(now, news);
  Member* member = table_.find(news.name());
  std::optional<MemberStatus> held;
  if (member) held = member->status;
  Member read;
  const bool same_word = held && held->run == news.run() && held->incarnation == news.incarnation();
  if (!same_word || !news.word().empty()) {
    if (news.word().empty()) {
      const bool old = held && (news.run() < held->run ||
                                (news.run() == held->run && news.incarnation() < held->incarnation));
      if (!old) ++counters_.wordless;
      return;
    }
    if (!MemberTable::read_word(news.word(), read)) {
      ++counters_.malformed;
      return;
    }
  } else {
    read.status.phase = held->phase;
  }
  read.status.run = news.run();
  read.status.incarnation = news.incarnation();
  read.status.verdict = static_cast<Verdict>(news.verdict());
  const MergeResult merged = merge_status(held, read.status);
  if (merged.effect == MergeEffect::none) return;
  if (merged.effect == MergeEffect::confirmed) {
    for (std::uint32_t accuser : news.accusers()) confirm_suspicion(now, *member, accuser);
    if (read.status.verdict == Verdict::gone) confirm_suspicion(now, *member, accuser_id(reporter));
    return;
  }
  if (!member) member = table_.add(news.name());
  if (!member && merged.next.in_force() && evict_oldest()) member = table_.add(news.name());
  if (!member) {
    ++counters_.table_full;
    return;
  }
  if (!news.word().empty()) {
    Member* there = merged.next.in_force() ? table_.at(read.address) : nullptr;
    if (there == member || (there && !there->status.in_force())) there = nullptr;
    const bool moved = !(member->address == read.address);
    table_.change(*member, [&](Member& each) {
      const MemberStatus before = each.status;
      MemberTable::read_word(news.word(), each);
      each.status = before;
      if (moved) each.cookie = 0;
    });
    if (there && there->status.verdict == Verdict::trusted)
      suspect_locally(now, *there, Cause::address_taken);
  }
  if (merged.effect == MergeEffect::suspected) {
    std::vector<std::uint32_t> accusers;
    auto add = [&](std::uint32_t accuser) {
      if (std::find(accusers.begin(), accusers.end(), accuser) == accusers.end()) accusers.push_back(accuser);
    };
    for (std::uint32_t accuser : news.accusers()) add(accuser);
    // A member that reports gone has confirmed the suspicion itself.
    if (accusers.empty() || read.status.verdict == Verdict::gone) add(accuser_id(reporter));
    return suspect(now, *member, merged.next, Cause::reported, reporter, std::move(accusers));
  }
  set_status(now, *member, merged.next,
             merged.effect == MergeEffect::recorded ? Cause::reported : Cause::own_update, reporter);
  if (merged.effect == MergeEffect::recorded && !held) {
    // A reported removal of an unknown member is kept for half the time and not passed on; otherwise it
    // would circulate forever among joining members.
    member->since = now - options_.remember_gone / 2;
    return;
  }
  disseminate(now, member->name,
              merged.effect == MergeEffect::joined ? Priority::joining : Priority::verdict);
}

void Core::apply_shelf(Time now, const wire::Shelf& shelf) {
  Member* member = table_.find(shelf.name());
  if (!member || member->status.run != shelf.run() || !member->status.in_force()) return;
  bool changed_any = false, fits = true;
  table_.change(*member, [&](Member& each) { fits = merge_records(each.records, shelf, changed_any); });
  if (!fits) ++counters_.shelf_full;
  if (!changed_any) return;
  snapshot_.reset();
  disseminate(now, member->name, Priority::record);
}

// ---- incoming datagrams ----

void Core::receive(Time now, const Address& from, std::string_view bytes) {
  detect_stall(now);
  ++counters_.received;
  counters_.received_bytes += bytes.size();
  if (phase_ == Phase::left) return;
  wire::Body body;
  switch (codec_.decode(bytes, body)) {
    case DecodeResult::good:
      break;
    case DecodeResult::oversized:
      ++counters_.oversized;
      return;
    case DecodeResult::malformed:
      ++counters_.malformed;
      return;
    case DecodeResult::foreign:
      ++counters_.foreign;
      return;
    case DecodeResult::other_format:
      ++counters_.other_format;
      return;
    case DecodeResult::checksum_mismatch:
      ++counters_.spoilt;
      return;
  }
  if (!(Address{body.host(), static_cast<std::uint16_t>(body.port())} == from) || body.run() > max_run) {
    ++counters_.wrong_source;
    return;
  }
  if (body.name() == self_.name) {
    if (!(from == self_.address)) handle_namesake(now, from, body, bytes.size());
    return;
  }
  if (yields_) return;
  if (body.echo() == cookie_for(from))
    handle_verified(now, from, body, bytes.size());
  else
    handle_unverified(now, from, body, bytes.size());
}

// Ignores the content; the answer lets the sender prove its address and is no larger than the datagram, so
// it cannot be used for amplification.
void Core::handle_unverified(Time now, const Address& from, const wire::Body& body, std::size_t size) {
  ++counters_.unproven;
  const Duration passed = now - unverified_tokens_at_;
  unverified_tokens_at_ = now;
  unverified_tokens_ = std::min(unverified_per_period * burst_periods,
                                unverified_tokens_ + passed / options_.period * unverified_per_period);
  if (unverified_tokens_ < 1) {
    ++counters_.too_many;
    return;
  }
  unverified_tokens_ -= 1;
  if (body.has_answer()) return;  // answering an answer could go on forever
  if (body.has_ping() && !body.ping().target().empty() && body.ping().target() != self_.name) {
    ++counters_.not_for_us;
    return;
  }
  wire::Body answer = body_for(from, nullptr);
  answer.set_echo(body.cookie());
  answer.mutable_answer()->set_probe(body.has_ping() ? body.ping().probe() : 0);
  auto fits = [&](const wire::News& news) {
    return answer.ByteSizeLong() + size_of(news) + codec_.envelope_bytes() <= size;
  };
  // What is held against the sender takes precedence over our own status.
  const Member* member = table_.find(body.name());
  const bool is_accused = member && (member->status.run > body.run() ||
                                     (member->status.run == body.run() && !member->status.in_force()));
  if (is_accused) {
    wire::News news = news_of(*member, true);
    if (fits(news)) *answer.add_news() = std::move(news);
  }
  wire::News own = own_news();
  if (fits(own)) *answer.add_news() = std::move(own);
  if (answer.ByteSizeLong() + codec_.envelope_bytes() <= size) send(now, from, answer, SendBudget::if_any);
}

// Handles a datagram under our own name from another address.
void Core::handle_namesake(Time now, const Address& from, const wire::Body& body, std::size_t size) {
  ++counters_.namesakes;
  const bool proven = body.echo() == cookie_for(from);
  if (yields_) {
    if (proven && from == namesake_) namesake_pings_ = 0;
    return;
  }
  const bool later = body.run() > own_.run || (body.run() == own_.run && AddressOrder()(self_.address, from));
  if (proven && later) {
    wire::News news;
    news.set_name(self_.name);
    news.set_run(body.run());
    news.set_incarnation(body.incarnation());
    wire::Word word;
    word.set_host(from.host);
    word.set_port(from.port);
    word.set_phase(wire::ALIVE);
    word.SerializeToString(news.mutable_word());
    return apply_own_news(now, news);
  }
  if (!body.has_answer()) handle_unverified(now, from, body, size);
}

bool Core::within_rate_limit(Time now, Member& member) {
  const double most = datagrams_per_period * burst_periods;
  if (member.tokens_at == Time{}) {
    member.datagram_tokens = most;
  } else {
    member.datagram_tokens = std::min(
        most, member.datagram_tokens + (now - member.tokens_at) / options_.period * datagrams_per_period);
  }
  member.tokens_at = now;
  if (member.datagram_tokens < 1) return false;
  member.datagram_tokens -= 1;
  return true;
}

void Core::handle_verified(Time now, const Address& from, const wire::Body& body, std::size_t size) {
  Member* member = table_.find(body.name());
  auto admit = [&](Member& each) {
    if (!(each.address == from)) {
      ++counters_.wrong_source;
    } else if (!within_rate_limit(now, each)) {
      ++counters_.too_many;
    } else if (!each.seen.accept(body.number())) {
      ++counters_.repeated;
    } else {
      each.cookie = body.cookie();
      each.heard = heard_at_ = now;
      return true;
    }
    return false;
  };
  if (member && body.run() < member->status.run) {
    ++counters_.old_run;
    wire::Body answer = body_for(from, nullptr);
    answer.set_echo(body.cookie());
    *answer.add_news() = news_of(*member, true);
    if (answer.ByteSizeLong() + codec_.envelope_bytes() <= std::max(size, std::size_t{256}))
      send(now, from, answer, SendBudget::if_any);
    return;
  }
  const bool known = member && member->status.run == body.run();
  if (known && !admit(*member)) return;
  for (const wire::News& news : body.news()) apply_news(now, news, body.name());
  for (const wire::Shelf& shelf : body.shelves()) apply_shelf(now, shelf);
  if (yields_) return;
  member = table_.find(body.name());
  if (!member || member->status.run != body.run()) {
    // The address is verified, but the sender's word is still missing.
    if (body.has_ping()) return handle_unverified(now, from, body, size);
    if (!body.has_answer()) ping(now, from, nullptr, 0, true);
    return;
  }
  if (!known && !admit(*member)) return;

  const bool agrees = body.members() == digest();
  if (!agrees) disagreed_at_ = now;
  auto update_since = [&](Time& since, bool agrees_now) {
    if (agrees_now)
      since = Time::max();
    else if (since == Time::max())
      since = now;
  };
  update_since(member->digest_differs_since, agrees);
  update_since(member->records_differ_since, body.records() == records_digest());

  bool verdict_sent = false;
  switch (body.kind_case()) {
    case wire::Body::kPing: {
      if (!body.ping().target().empty() && body.ping().target() != self_.name) {
        ++counters_.not_for_us;
        return;
      }
      wire::Body answer = body_for(from, member);
      answer.mutable_answer()->set_probe(body.ping().probe());
      if (!agrees) *answer.add_news() = own_news();
      piggyback(now, answer, member, room_in(answer));
      send(now, from, answer, SendBudget::always);
      verdict_sent = true;
      break;
    }
    case wire::Body::kAnswer:
      handle_ack(now, body);
      break;
    case wire::Body::kAsk:
      handle_ping_request(now, *member, body.ask());
      break;
    case wire::Body::kSummary:
      handle_summary(now, *member, body.summary());
      break;
    case wire::Body::KIND_NOT_SET:
      break;
  }
  const bool is_accused = member->status.verdict != Verdict::trusted && member->status.phase != Phase::left;
  if (is_accused && !verdict_sent) send_verdict(now, *member);
  const bool eager = member->status.verdict == Verdict::gone ||
                     (now < join_deadline_ && member->compared_at == Time{} && !agrees);
  auto differs_longer_than = [&](Time since, double periods) {
    return since != Time::max() && now - since > options_.period * periods;
  };
  // Records change often and arrive by gossip; only a lasting difference means that one was missed.
  if (eager || differs_longer_than(member->digest_differs_since, differ_periods) ||
      differs_longer_than(member->records_differ_since, records_differ_periods))
    start_sync(now, *member, eager);
}

void Core::handle_ack(Time now, const wire::Body& body) {
  const wire::Answer& answer = body.answer();
  if (answer.probe() == 0) return;
  auto probe = std::find_if(probes_.begin(), probes_.end(),
                            [&](const Probe& each) { return each.id == answer.probe(); });
  if (probe != probes_.end()) {
    if (answer.missed()) {
      if (body.name() != probe->target) ++probe->missed;
      return;
    }
    // The target must answer under the probed run; a helper has checked that already.
    if (body.name() == probe->target && body.run() != probe->run) return;
    if (!probe->of_suspect) improve_health();
    probes_.erase(probe);
    return;
  }
  auto relay = std::find_if(relays_.begin(), relays_.end(),
                            [&](const Relay& each) { return each.id == answer.probe(); });
  if (relay == relays_.end()) return;
  const Relay found = *relay;
  relays_.erase(relay);
  const Member* requester = table_.find(found.requester_name);
  wire::Body reply = body_for(found.requester, requester);
  reply.mutable_answer()->set_probe(found.requester_probe);
  send(now, found.requester, reply, SendBudget::always);
}

void Core::handle_ping_request(Time now, const Member& requester, const wire::Ask& ask) {
  const Member* target = table_.find(ask.target());
  if (!target || relays_.size() >= max_relays) return;
  Relay relay{random_() | 1, ask.probe(), requester.address, requester.name,
              now + options_.period * helper_timeout_share};
  relays_.push_back(relay);
  ping(now, target->address, target, relay.id, false);
}

void Core::handle_summary(Time now, const Member& member, const wire::Summary& summary) {
  const auto mine = sums();
  std::array<bool, summary_buckets> differs{};
  bool any = false;
  for (int i = 0; i < summary_buckets; ++i)
    any |= differs[static_cast<std::size_t>(i)] = mine[static_cast<std::size_t>(i)] != summary.sums(i);
  if (!any) return;
  if (!summary.answer()) {
    wire::Body body = body_for(member.address, &member);
    for (std::uint64_t sum : mine) body.mutable_summary()->add_sums(sum);
    body.mutable_summary()->set_answer(true);
    send(now, member.address, body, SendBudget::if_plenty);
  }
  std::vector<const Member*> entries;
  for (const auto& [name, each] : table_.all())
    if (differs[MemberTable::bucket(name)] &&
        (each.status.in_force() || now - each.since < options_.remember_gone / 2))
      entries.push_back(&each);
  // A random order, as not all entries may fit into this exchange.
  std::shuffle(entries.begin(), entries.end(), random_);
  int pages = 0;
  wire::Body page = body_for(member.address, &member);
  bool full = false;
  auto send_page = [&] {
    if (page.news_size() == 0 && page.shelves_size() == 0) return;
    ++counters_.pages;
    full = !send(now, member.address, page, SendBudget::if_plenty) || ++pages >= max_pages_per_exchange;
    page = body_for(member.address, &member);
  };
  auto add_entry = [&](const std::string& name, std::uint64_t run, wire::News&& news,
                       const RecordMap* records) {
    if (size_of(news) > room_in(page)) send_page();
    if (full) return;
    *page.add_news() = std::move(news);
    wire::Shelf item;
    if (!records || records->empty()) return;
    if (!pack_records(name, run, *records, room_in(page), item) ||
        item.records_size() < static_cast<int>(records->size())) {
      send_page();
      if (full) return;
      pack_records(name, run, *records, room_in(page), item);
    }
    if (item.records_size() > 0) *page.add_shelves() = std::move(item);
  };
  if (differs[MemberTable::bucket(self_.name)]) add_entry(self_.name, own_.run, own_news(), &own_records_);
  for (const Member* each : entries) {
    if (full) break;
    add_entry(each->name, each->status.run, news_of(*each, true),
              each->status.in_force() ? &each->records : nullptr);
  }
  if (!full) send_page();
}

// ---- probes ----

// Round-robin over the members, shuffled anew for each round.
Member* Core::next_target() {
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!round_.empty()) {
      const std::string name = std::move(round_.back());
      round_.pop_back();
      Member* member = table_.find(name);
      if (member && member->status.in_force()) return member;
    }
    for (const Member* member : table_.in_force()) round_.push_back(member->name);
    std::sort(round_.begin(), round_.end());
    std::shuffle(round_.begin(), round_.end(), random_);
  }
  return nullptr;
}

Member* Core::random_member() {
  const auto& all = table_.in_force();
  if (all.empty()) return nullptr;
  std::uniform_int_distribution<std::size_t> any(0, all.size() - 1);
  Member* member = all[any(random_)];
  // Suspects are notified directly, and gossip to a dead member is lost.
  for (int i = 0; i < trusted_member_draws && member->status.verdict != Verdict::trusted; ++i)
    member = all[any(random_)];
  return member;
}

void Core::begin_period(Time now) {
  if (yields_) return probe_namesake(now);
  next_period_ = now + scaled_period();
  probe_suspects(now);
  if (const Member* target = next_target()) begin_probe(now, *target, false);
}

// Probes suspects of others that we have not probed ourselves: in each period a few brokers probe each
// suspect, which confirms or refutes the suspicion early.
void Core::probe_suspects(Time now) {
  const double probability = probers_per_suspect / static_cast<double>(in_force());
  int checks = 0;
  for (const auto& [at, name] : suspicion_deadlines_) {
    const Member* member = table_.find(name);
    if (!member || static_cast<int>(member->accusers.size()) > max_confirmations) continue;
    const auto own = std::find(member->accusers.begin(), member->accusers.end(), accuser_id(self_.name));
    const bool in_progress =
        std::any_of(probes_.begin(), probes_.end(), [&](const Probe& each) { return each.target == name; });
    if (own != member->accusers.end() || in_progress) continue;
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= probability) continue;
    begin_probe(now, *member, true);
    if (++checks >= max_suspect_probes_per_period) return;
  }
}

void Core::begin_probe(Time now, const Member& target, bool of_suspect) {
  ++counters_.probes;
  Probe probe{Stage::direct,
              of_suspect,
              random_() | 1,
              target.name,
              target.status.run,
              now + scaled_period() * direct_probe_share,
              0,
              0};
  ping(now, target.address, &target, probe.id, target.cookie == 0);
  probes_.push_back(std::move(probe));
}

// Advances to the next stage; false if the probe has ended.
bool Core::advance_probe(Time now, Probe& probe) {
  Member* target = table_.find(probe.target);
  if (!target || !target->status.in_force() || target->status.run != probe.run) return false;
  if (probe.stage == Stage::direct) {
    probe.stage = Stage::indirect;
    probe.due = now + scaled_period() * (1 - direct_probe_share) * 0.96;
    std::vector<Member*> others;
    for (Member* each : table_.in_force())
      if (each != target && each->cookie != 0 && each->status.verdict == Verdict::trusted)
        others.push_back(each);
    for (int i = 0; i < indirect_probe_helpers && !others.empty(); ++i) {
      const std::size_t at = std::uniform_int_distribution<std::size_t>(0, others.size() - 1)(random_);
      Member* helper = others[at];
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
      wire::Body body = body_for(helper->address, helper);
      body.mutable_ask()->set_probe(probe.id);
      body.mutable_ask()->set_target(probe.target);
      if (send(now, helper->address, body, SendBudget::always)) ++probe.helpers;
      ++counters_.asked_others;
    }
    return true;
  }
  ++counters_.probes_failed;
  // An answer from one helper shows that our own network works, so our health score stays.
  if (!probe.of_suspect && probe.missed == 0) degrade_health(1);
  if (target->status.verdict == Verdict::trusted) {
    suspect_locally(now, *target, Cause::own_probe);
    send_verdict(now, *target);
  } else {
    confirm_suspicion(now, *target, accuser_id(self_.name));
  }
  return false;
}

// Pings one gone member or unknown seed at a time, so that the parts of a healed partition merge again.
void Core::reconnect(Time now) {
  const bool alone = table_.in_force().empty();
  const double n = static_cast<double>(in_force());
  next_reconnect_ = now + options_.period * (alone ? 0.5 : std::max(2.0, n / 8));
  std::vector<Address> seeds;
  for (const auto* from : {&options_.seeds, &discovered_seeds_, &former_addresses_})
    for (const Address& seed : *from)
      if (!(seed == self_.address) && !table_.at(seed)) seeds.push_back(seed);
  std::vector<const Member*> gone;
  for (const auto& [name, member] : table_.all())
    if (member.status.run != 0 && member.status.state() == State::gone) gone.push_back(&member);
  for (int i = 0; i < (alone ? 3 : 1); ++i) {
    const std::size_t choices = seeds.size() + gone.size();
    if (choices == 0) return;
    const std::size_t at = std::uniform_int_distribution<std::size_t>(0, choices - 1)(random_);
    if (at < seeds.size())
      ping(now, seeds[at], nullptr, 0, true);
    else
      ping(now, gone[at - seeds.size()]->address, gone[at - seeds.size()], 0, true);
  }
}

void Core::tick(Time now) {
  detect_stall(now);
  while (!suspicion_deadlines_.empty() && suspicion_deadlines_.begin()->first <= now) {
    const std::string name = suspicion_deadlines_.begin()->second;
    suspicion_deadlines_.erase(suspicion_deadlines_.begin());
    Member* member = table_.find(name);
    if (member && member->status.state() == State::suspect) declare_gone(now, *member);
  }
  for (std::size_t i = 0; i < relays_.size();) {
    if (relays_[i].due > now) {
      ++i;
      continue;
    }
    const Relay relay = relays_[i];
    relays_.erase(relays_.begin() + static_cast<std::ptrdiff_t>(i));
    const Member* requester = table_.find(relay.requester_name);
    wire::Body reply = body_for(relay.requester, requester);
    reply.mutable_answer()->set_probe(relay.requester_probe);
    reply.mutable_answer()->set_missed(true);
    send(now, relay.requester, reply, SendBudget::always);
  }
  if (phase_ != Phase::left) {
    for (std::size_t i = 0; i < probes_.size();) {
      if (probes_[i].due > now || advance_probe(now, probes_[i]))
        ++i;
      else
        probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (next_period_ <= now) begin_period(now);
    if (!yields_ && next_reconnect_ <= now) reconnect(now);
    if (next_forget_ <= now) forget_old(now);
  }
  if (next_gossip_ <= now) gossip(now);
}

Time Core::due() const {
  Time due = next_gossip_;
  if (!suspicion_deadlines_.empty()) due = std::min(due, suspicion_deadlines_.begin()->first);
  for (const Relay& relay : relays_) due = std::min(due, relay.due);
  if (finish_by_ != Time::max()) return std::min(due, finish_by_);
  for (const Probe& probe : probes_) due = std::min(due, probe.due);
  if (!yields_) due = std::min(due, next_reconnect_);
  return std::min({due, next_period_, next_forget_});
}

// ---- outgoing datagrams ----

std::uint64_t Core::digest() const {
  return table_.digest() +
         (participates() ? MemberTable::weight(self_.name, {own_.run, own_.incarnation, {}, {}}) : 0);
}
std::uint64_t Core::records_digest() const {
  return table_.records() + (participates() ? MemberTable::weight(self_.name, own_.run, own_records_) : 0);
}
std::array<std::uint64_t, summary_buckets> Core::sums() const {
  auto all = table_.sums();
  if (participates())
    all[MemberTable::bucket(self_.name)] +=
        MemberTable::weight(self_.name, {own_.run, own_.incarnation, {}, {}}) +
        MemberTable::weight(self_.name, own_.run, own_records_);
  return all;
}

std::uint64_t Core::cookie_for(const Address& address) const {
  const std::uint64_t words[2] = {address.host, address.port};
  const std::uint64_t cookie = hash_of({reinterpret_cast<const char*>(words), sizeof words}, secret_);
  return cookie == 0 ? 1 : cookie;
}

wire::Body Core::body_for(const Address& to, const Member* member) {
  wire::Body body;
  body.set_name(self_.name);
  body.set_run(own_.run);
  body.set_incarnation(own_.incarnation);
  body.set_host(self_.address.host);
  body.set_port(self_.address.port);
  body.set_number(++number_);
  body.set_cookie(cookie_for(to));
  if (member) body.set_echo(member->cookie);
  body.set_members(digest());
  body.set_records(records_digest());
  return body;
}

void Core::refill(Time now) {
  const double most = static_cast<double>(options_.bytes_per_s);
  tokens_ = std::min(most, tokens_ + (now - tokens_at_).count() * most);
  tokens_at_ = now;
}

// Probes and answers may overdraw the byte budget by one second; nothing else may.
bool Core::send(Time now, const Address& to, const wire::Body& body, SendBudget budget) {
  refill(now);
  const double most = static_cast<double>(options_.bytes_per_s);
  const double least = budget == SendBudget::always ? -most : budget == SendBudget::if_any ? 0 : most / 4;
  if (tokens_ <= least) {
    ++counters_.unpaid;
    return false;
  }
  std::string bytes = codec_.encode(body);
  if (bytes.size() > max_datagram_bytes) {
    ++counters_.oversized;
    return false;
  }
  tokens_ -= static_cast<double>(bytes.size());
  ++counters_.sent;
  counters_.sent_bytes += bytes.size();
  out_.push_back({to, std::move(bytes)});
  return true;
}

std::size_t Core::room_in(const wire::Body& body) const {
  const std::size_t used = body.ByteSizeLong() + codec_.envelope_bytes();
  return used >= max_datagram_bytes ? 0 : max_datagram_bytes - used;
}

wire::News Core::news_of(const Member& member, bool with_word) const {
  wire::News news;
  news.set_name(member.name);
  news.set_run(member.status.run);
  news.set_incarnation(member.status.incarnation);
  news.set_verdict(static_cast<wire::Verdict>(member.status.verdict));
  if (with_word) news.set_word(member.word);
  for (std::uint32_t accuser : member.accusers)
    if (news.accusers_size() < max_accusers) news.add_accusers(accuser);
  return news;
}

wire::News Core::own_news() const {
  wire::News news;
  news.set_name(self_.name);
  news.set_run(own_.run);
  news.set_incarnation(own_.incarnation);
  news.set_word(word_);
  return news;
}

// Packs the newest records that fit; false if none does.
bool Core::pack_records(const std::string& name, std::uint64_t run, const RecordMap& records,
                        std::size_t room, wire::Shelf& into) const {
  into.Clear();
  into.set_name(name);
  into.set_run(run);
  std::vector<const RecordMap::value_type*> newest;
  for (const auto& each : records) newest.push_back(&each);
  std::sort(newest.begin(), newest.end(),
            [](const auto* a, const auto* b) { return a->second.version > b->second.version; });
  for (const RecordMap::value_type* each : newest) {
    wire::Record* record = into.add_records();
    record->set_key(each->first);
    record->set_value(each->second.value);
    record->set_version(each->second.version);
    if (size_of(into) > room) {
      into.mutable_records()->RemoveLast();
      break;
    }
  }
  return into.records_size() > 0;
}

int Core::transmit_limit() const {
  return 4 * std::max(1, static_cast<int>(std::ceil(std::log10(static_cast<double>(in_force()) + 1))));
}

// Piggybacks updates: the verdict on the receiver first, then the update queue.
void Core::piggyback(Time now, wire::Body& body, const Member* member, std::size_t room) {
  refill(now);
  if (member && member->status.verdict != Verdict::trusted && member->status.phase != Phase::left) {
    wire::News news = news_of(*member, false);
    if (size_of(news) <= room) {
      room -= size_of(news);
      *body.add_news() = std::move(news);
    }
  }
  if (tokens_ <= 0 || updates_.empty()) return;
  updates_.offer(transmit_limit(), [&](const std::string& name, Priority priority) {
    if (room < 48) return -1;
    const bool own = name == self_.name;
    const Member* about = own ? nullptr : table_.find(name);
    if (!own && !about) return 1;
    if (about == member && about) return 0;  // it knows its own status, or its verdict was added above
    if (priority == Priority::record) {
      wire::Shelf item;
      if (!pack_records(name, own ? own_.run : about->status.run, own ? own_records_ : about->records, room,
                        item))
        return room > 400 ? 1 : 0;
      room -= std::min(room, size_of(item));
      *body.add_shelves() = std::move(item);
      return 1;
    }
    wire::News news = own ? own_news() : news_of(*about, about->status.verdict == Verdict::trusted);
    if (size_of(news) > room) return 0;
    room -= size_of(news);
    *body.add_news() = std::move(news);
    return 1;
  });
}

void Core::ping(Time now, const Address& to, const Member* member, std::uint64_t id, bool greet) {
  wire::Body body = body_for(to, member);
  body.mutable_ping()->set_probe(id);
  if (member) body.mutable_ping()->set_target(member->name);
  if (greet)
    body.mutable_padding()->resize(greeting_padding_bytes);
  else
    piggyback(now, body, member, room_in(body));
  send(now, to, body, id == 0 ? SendBudget::if_any : SendBudget::always);
}

void Core::send_verdict(Time now, Member& member) {
  if (member.verdict_sent_at != Time{} && now - member.verdict_sent_at < options_.period / 2) return;
  member.verdict_sent_at = now;
  wire::Body body = body_for(member.address, &member);
  *body.add_news() = news_of(member, true);
  send(now, member.address, body, SendBudget::if_any);
}

// Sends queued updates to a few random members; repeats while the queue is not empty.
void Core::gossip(Time now) {
  next_gossip_ = Time::max();
  last_gossip_ = now;
  if (yields_ || updates_.empty() || table_.in_force().empty()) return;
  next_gossip_ = now + options_.period / gossips_per_period;
  for (int i = 0; i < gossip_fanout && !updates_.empty(); ++i) {
    Member* member = random_member();
    if (member->cookie == 0) {
      ping(now, member->address, member, 0, true);
      continue;
    }
    wire::Body body = body_for(member->address, member);
    piggyback(now, body, member, room_in(body));
    if (body.news_size() + body.shelves_size() > 0) send(now, member->address, body, SendBudget::if_any);
  }
}

void Core::start_sync(Time now, Member& member, bool eager) {
  if (member.compared_at != Time{} && now - member.compared_at < options_.period / 2) return;
  // One exchange at a time: it may resolve the other differences too.
  if (!eager && now - last_compared_ < options_.period) return;
  member.compared_at = last_compared_ = now;
  ++counters_.summaries;
  wire::Body body = body_for(member.address, &member);
  for (std::uint64_t sum : sums()) body.mutable_summary()->add_sums(sum);
  *body.add_news() = own_news();
  send(now, member.address, body, SendBudget::if_plenty);
}

// ---- the view ----

bool Core::settled(Time now) const {
  if (!participates() || !suspicion_deadlines_.empty()) return false;
  const Duration quiet = options_.period * settled_periods;
  if (now - std::max(changed_at_, disagreed_at_) < quiet) return false;
  if (table_.in_force().empty()) return now >= join_deadline_;
  return now - heard_at_ < quiet * (1 + health_);
}

// Compares the members in force with those gone without leaving; in a tie, the half without the lowest name
// counts as the smaller part.
bool Core::smaller_part() const {
  std::size_t here = participates() ? 1 : 0, gone = 0;
  const std::string* lowest = &self_.name;
  bool lowest_here = true;
  for (const auto& [name, member] : table_.all()) {
    const bool in_force = member.status.in_force();
    if (!in_force && member.status.state() != State::gone) continue;
    ++(in_force ? here : gone);
    if (name < *lowest) {
      lowest = &name;
      lowest_here = in_force;
    }
  }
  return gone > here || (gone == here && !lowest_here);
}

std::shared_ptr<const Snapshot> Core::snapshot(Time now) {
  const bool is_settled = settled(now);
  if (snapshot_ && snapshot_->settled == is_settled) return snapshot_;
  auto next = std::make_shared<Snapshot>();
  next->number = ++snapshot_number_;
  next->self = self_.name;
  next->digest = digest();
  next->in_force = in_force();
  next->settled = is_settled;
  next->settled_since = std::max(changed_at_, disagreed_at_) + options_.period * settled_periods;
  next->smaller_part = smaller_part();
  next->yields = yields_;
  auto by_name = [](const MemberView& a, const MemberView& b) { return a.name < b.name; };
  for (const auto& [name, member] : table_.all())
    if (member.status.run != 0)
      next->members.push_back({name, member.status.run, member.status.incarnation, member.status.state(),
                               member.since, member.address, member.serves, member.zone, member.region,
                               member.version, member.status.in_force() ? member.records : RecordMap{}});
  MemberView self{self_.name,   own_.run,      own_.incarnation, MemberStatus{0, 0, {}, phase_}.state(),
                  {},           self_.address, self_.serves,     self_.zone,
                  self_.region, self_.version, own_records_};
  next->members.insert(std::lower_bound(next->members.begin(), next->members.end(), self, by_name),
                       std::move(self));
  snapshot_ = std::move(next);
  return snapshot_;
}

}  // namespace pearspar::peers
