#include "pramperet/purse.h"

#include <xxhash.h>

#include <algorithm>

namespace pearspar::pramperet {

void Purse::configure(std::shared_ptr<const catalog::QuotaRules> rules) {
  rules_ = std::move(rules);
  if (rules_ && life_ == 0) life_ = random_ = random_ * 6364136223846793005u + 1442695040888963407u;
  // What was exhausted may have room again.
  for (auto& [leaf, held] : held_) held.exhausted_until = {};
}

// A branch that is not listed draws as its firm; a holder that is not listed at all draws on nothing.
std::optional<Leaf> Purse::leaf_of(const std::string& holder, const std::string& kind) const {
  if (rules_->find(holder, kind)) return Leaf{holder, kind};
  std::string firm = holder.substr(0, holder.find('/'));
  if (rules_->find(firm, kind)) return Leaf{std::move(firm), kind};
  return std::nullopt;
}

bool Purse::may_spend(Time now, const Held& held) const {
  if (held.tokens == 0 || retire_ || window_ == 0) return false;
  if (rules_->spend_when_disconnected) return now < window_end_;
  return now < lease_until_ && held.unsettled < most_unsettled_;
}

Verdict Purse::draw(Time now, const std::string& holder, const std::string& kind, std::string_view key,
                    bool again) {
  Verdict verdict;
  if (!rules_ || kind.empty()) return verdict;
  auto leaf = leaf_of(holder, kind);
  if (!leaf) return verdict;
  std::string text = holder + '\n' + kind + '\n';
  text += key;
  Ticket& ticket = verdict.ticket;
  ticket.leaf = *leaf;
  ticket.key = XXH3_64bits(text.data(), text.size());
  ticket.window = window_;
  Held& held = held_[*leaf];
  if (again && held.waiting > 0) --held.waiting;
  for (auto& known : known_)
    if (auto found = known.find(ticket.key); found != known.end()) {
      ++found->second;
      ++counters_.repeated;
      ticket.serial = serial_;
      verdict.kind = Verdict::Kind::drawn;
      return verdict;
    }
  if (may_spend(now, held)) {
    --held.tokens;
    ++held.unsettled;
    held.used = now;
    ticket.serial = ++serial_;
    known_[window_ % 2][ticket.key] = 1;
    auto place = std::find_if(pending_.begin(), pending_.end(), [&](const Settled& each) {
      return each.window == window_ && each.leaf == *leaf;
    });
    if (place == pending_.end()) place = pending_.insert(place, {*leaf, window_, {}});
    place->keys.push_back(ticket.key);
    if (held.tokens * 2 < held.batch) held.short_of = true;
    ++counters_.drawn;
    counters_.drawn_late += again;
    verdict.kind = Verdict::Kind::drawn;
    return verdict;
  }
  if (now < held.exhausted_until) {
    ++held.refused;
    ++counters_.refused;
    verdict.kind = Verdict::Kind::refused;
    verdict.retry_after = left(now);
    return verdict;
  }
  ++held.waiting;
  if (!again) ++counters_.waited;
  held.short_of = urgent_ = true;
  verdict.kind = Verdict::Kind::wait;
  return verdict;
}

void Purse::refuse(const std::string& holder, const std::string& kind) {
  if (!rules_) return;
  if (auto leaf = leaf_of(holder, kind)) {
    Held& held = held_[*leaf];
    if (held.waiting > 0) --held.waiting;
    ++held.refused;
  }
  ++counters_.refused;
}

// The last try that may have run is gone: so is the draw.
void Purse::not_run(const Ticket& ticket) {
  for (auto& known : known_) {
    auto found = known.find(ticket.key);
    if (found == known.end()) continue;
    if (--found->second > 0) return;
    known.erase(found);
    back_.push_back({ticket.leaf, ticket.key});
    ++counters_.given_back;
    return;
  }
}

std::optional<Ask> Purse::take_ask(Time now) {
  if (!rules_ || life_ == 0) return std::nullopt;
  if (under_way_) {
    if (now < sent_ + again_after) return std::nullopt;
    sent_ = now;
    ++counters_.asks;
    return under_way_;
  }
  if (retire_ && pending_.empty() && back_.empty() && unsure_.empty()) {
    retire_ = false;
    life_ = random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    number_ = 0;
  }
  Ask ask;
  ask.life = life_;
  ask.window = window_;
  bool holds = false;
  for (auto& [leaf, held] : held_) {
    if (held.tokens > 0 && now - held.used > idle_after && held.waiting == 0) {
      ask.returned.push_back({leaf, held.tokens});
      held.tokens = 0;
      held.short_of = false;
    }
    holds = holds || held.tokens > 0;
    if (held.refused > 0) {
      // Told with something else, or by and by.
      if (!pending_.empty() || now >= sent_ + touch_every) {
        ask.refused.push_back({leaf, held.refused});
        held.refused = 0;
      } else {
        holds = true;
      }
    }
    if (!held.short_of || retire_ || now < held.exhausted_until || now < held.not_before) continue;
    held.short_of = false;
    held.batch = now - held.wanted < Duration(1) ? std::min(held.batch * 2, most_batch)
                                                 : std::max(held.batch / 2, least_batch);
    held.wanted = now;
    std::uint64_t wanted = std::max(held.batch, held.waiting);
    if (wanted > held.tokens) ask.wants.push_back({leaf, wanted - held.tokens});
  }
  urgent_ = false;
  ask.settled = std::exchange(pending_, {});
  ask.back = std::exchange(back_, {});
  ask.unsure = std::exchange(unsure_, {});
  bool empty = ask.settled.empty() && ask.back.empty() && ask.unsure.empty() && ask.returned.empty() &&
               ask.refused.empty() && ask.wants.empty();
  if (empty && (!holds || now < sent_ + touch_every)) return std::nullopt;
  ask.number = ++number_;
  under_way_ = ask;
  under_way_to_ = serial_;
  first_sent_ = sent_ = now;
  ++counters_.asks;
  return ask;
}

void Purse::drop_tokens() {
  for (auto& [leaf, held] : held_) held.tokens = 0;
}

void Purse::on_tell(Time now, const Tell& tell) {
  if (!rules_) return;
  bool answers = under_way_ && tell.number == under_way_->number;
  if (tell.number != 0 && !answers) return;
  if (tell.window > window_) {
    // Tokens of a window that is over are spent by nobody.
    drop_tokens();
    Window before = window_;
    window_ = tell.window;
    known_[window_ % 2].clear();
    if (tell.window - before > 1) known_[(window_ + 1) % 2].clear();
    for (auto& [leaf, held] : held_) held.exhausted_until = {};
    std::erase_if(held_, [&](const auto& each) {
      return each.second.unsettled == 0 && each.second.waiting == 0 && each.second.refused == 0;
    });
  }
  if (tell.window == window_) window_end_ = now + Duration(static_cast<double>(tell.left_ms) / 1000);
  for (const Leaf& leaf : tell.recalled)
    for (auto& [each, held] : held_) {
      // All of its firm's: what one branch lacks may lie idle at another.
      if (each.kind != leaf.kind ||
          each.holder.substr(0, each.holder.find('/')) != leaf.holder.substr(0, leaf.holder.find('/')))
        continue;
      if (held.waiting > 0 || held.tokens == 0) continue;
      held.used = Time{};
      urgent_ = true;
    }
  if (tell.number == 0 && tell.window == window_)
    for (const Given& given : tell.given)
      if (given.exhausted) held_[given.leaf].exhausted_until = std::min(window_end_, now + believe);
  if (!answers) return;
  lease_until_ = first_sent_ + token_lease;
  for (const Settled& settled : under_way_->settled) {
    Held& held = held_[settled.leaf];
    held.unsettled -= std::min<std::uint64_t>(held.unsettled, settled.keys.size());
  }
  settled_ = std::max(settled_, under_way_to_);
  under_way_.reset();
  if (tell.gone) {
    drop_tokens();
    retire_ = true;
    return;
  }
  for (const Given& given : tell.given) {
    Held& held = held_[given.leaf];
    held.tokens += given.count;
    held.exhausted_until = given.exhausted ? std::min(window_end_, now + believe) : Time{};
    if (given.count > 0) {
      held.used = std::max(held.used, now);
    } else if (held.waiting > 0) {
      held.short_of = true;
      held.not_before = now + retry_every;
    }
  }
}

std::string Purse::describe(Time now) const {
  std::string out;
  auto put = [&](std::uint64_t value) { out += std::to_string(value) + ','; };
  // Further away than a lease is all the same.
  auto span = [&](Time time) {
    double seconds = std::clamp(Duration(time - now).count(), -3.0, 3.0);
    put(static_cast<std::uint64_t>((seconds + 3) * 10 + 0.5));
  };
  put(life_);
  put(number_);
  put(window_);
  put(retire_);
  span(lease_until_);
  span(sent_);
  for (const auto& [leaf, held] : held_) {
    put(held.tokens);
    put(held.unsettled);
    put(held.waiting > 0);
    put(held.short_of);
    put(held.batch);
    span(held.exhausted_until);
    span(held.not_before);
    span(held.used);
    span(held.wanted);
  }
  out += 'k';
  for (const auto& known : known_)
    for (const auto& [key, tries] : std::map<Key, std::uint64_t>(known.begin(), known.end()))
      put(key), put(tries);
  out += 'p';
  for (const Settled& each : pending_)
    for (Key key : each.keys) put(each.window), put(key);
  out += 'u';
  if (under_way_) {
    span(first_sent_);
    put(under_way_to_);
    for (const Settled& each : under_way_->settled)
      for (Key key : each.keys) put(each.window), put(key);
    for (const Amount& each : under_way_->wants) put(each.count);
    for (const Amount& each : under_way_->returned) put(each.count);
  }
  return out;
}

Time Purse::due(Time now) const {
  if (!rules_) return Time::max();
  if (under_way_) return sent_ + again_after;
  if (urgent_ || !pending_.empty() || !back_.empty() || !unsure_.empty()) return now;
  Time due = Time::max();
  for (const auto& [leaf, held] : held_) {
    if (held.tokens > 0 || held.refused > 0) due = std::min(due, sent_ + touch_every);
    if (held.short_of) due = std::min(due, std::max({now, held.not_before, held.exhausted_until}));
  }
  return due;
}

}  // namespace pearspar::pramperet
