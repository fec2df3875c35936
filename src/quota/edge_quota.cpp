#include "quota/edge_quota.h"

#include <xxhash.h>

#include <algorithm>

namespace pearspar::quota {

void EdgeQuota::configure(std::shared_ptr<const catalog::QuotaRules> rules) {
  rules_ = std::move(rules);
  if (rules_ && session_ == 0) session_ = random_ = random_ * 6364136223846793005u + 1442695040888963407u;
  // What was exhausted may have room again.
  for (auto& [account_key, held] : held_) held.exhausted_until = {};
}

// A branch that is not listed draws as its firm; a holder that is not listed at all draws on nothing.
std::optional<AccountKey> EdgeQuota::account_key_of(const std::string& holder,
                                                    const std::string& kind) const {
  if (rules_->find(holder, kind)) return AccountKey{holder, kind};
  std::string firm = holder.substr(0, holder.find('/'));
  if (rules_->find(firm, kind)) return AccountKey{std::move(firm), kind};
  return std::nullopt;
}

bool EdgeQuota::may_spend(Time now, const Held& held) const {
  if (held.tokens == 0 || retire_ || window_ == 0) return false;
  if (rules_->spend_when_disconnected) return now < window_end_;
  return now < lease_until_ && held.unsettled < max_unsettled_;
}

DrawResult EdgeQuota::draw(Time now, const std::string& holder, const std::string& kind, std::string_view key,
                           bool again) {
  DrawResult verdict;
  if (!rules_ || kind.empty()) return verdict;
  auto account_key = account_key_of(holder, kind);
  if (!account_key) return verdict;
  std::string text = holder + '\n' + kind + '\n';
  text += key;
  Draw& ticket = verdict.ticket;
  ticket.account_key = *account_key;
  ticket.key = XXH3_64bits(text.data(), text.size());
  ticket.window = window_;
  Held& held = held_[*account_key];
  if (again && held.waiting > 0) --held.waiting;
  for (auto& known : known_)
    if (auto found = known.find(ticket.key); found != known.end()) {
      ++found->second;
      ++counters_.repeated;
      ticket.serial = serial_;
      verdict.kind = DrawResult::Kind::drawn;
      return verdict;
    }
  if (may_spend(now, held)) {
    --held.tokens;
    ++held.unsettled;
    held.used = now;
    ticket.serial = ++serial_;
    known_[window_ % 2][ticket.key] = 1;
    auto place = std::find_if(pending_.begin(), pending_.end(), [&](const SettledDraws& each) {
      return each.window == window_ && each.account_key == *account_key;
    });
    if (place == pending_.end()) place = pending_.insert(place, {*account_key, window_, {}});
    place->keys.push_back(ticket.key);
    if (held.tokens * 2 < held.batch) held.short_of = true;
    ++counters_.drawn;
    counters_.drawn_late += again;
    verdict.kind = DrawResult::Kind::drawn;
    return verdict;
  }
  if (now < held.exhausted_until) {
    ++held.refused;
    ++counters_.refused;
    verdict.kind = DrawResult::Kind::refused;
    verdict.retry_after = left(now);
    return verdict;
  }
  ++held.waiting;
  if (!again) ++counters_.waited;
  held.short_of = urgent_ = true;
  verdict.kind = DrawResult::Kind::wait;
  return verdict;
}

void EdgeQuota::refuse(const std::string& holder, const std::string& kind) {
  if (!rules_) return;
  if (auto account_key = account_key_of(holder, kind)) {
    Held& held = held_[*account_key];
    if (held.waiting > 0) --held.waiting;
    ++held.refused;
  }
  ++counters_.refused;
}

// The last try that may have run is gone: so is the draw.
void EdgeQuota::not_run(const Draw& ticket) {
  for (auto& known : known_) {
    auto found = known.find(ticket.key);
    if (found == known.end()) continue;
    if (--found->second > 0) return;
    known.erase(found);
    back_.push_back({ticket.account_key, ticket.key});
    ++counters_.given_back;
    return;
  }
}

std::optional<QuotaRequest> EdgeQuota::take_request(Time now) {
  if (!rules_ || session_ == 0) return std::nullopt;
  if (under_way_) {
    if (now < sent_ + again_after) return std::nullopt;
    sent_ = now;
    ++counters_.asks;
    return under_way_;
  }
  if (retire_ && pending_.empty() && back_.empty() && unsure_.empty()) {
    retire_ = false;
    session_ = random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    number_ = 0;
  }
  QuotaRequest ask;
  ask.session = session_;
  ask.window = window_;
  bool holds = false;
  for (auto& [account_key, held] : held_) {
    if (held.tokens > 0 && now - held.used > idle_after && held.waiting == 0) {
      ask.returned.push_back({account_key, held.tokens});
      held.tokens = 0;
      held.short_of = false;
    }
    holds = holds || held.tokens > 0;
    if (held.refused > 0) {
      // Told with something else, or by and by.
      if (!pending_.empty() || now >= sent_ + touch_every) {
        ask.refused.push_back({account_key, held.refused});
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
    if (wanted > held.tokens) ask.wants.push_back({account_key, wanted - held.tokens});
  }
  urgent_ = false;
  ask.settled = std::exchange(pending_, {});
  ask.not_run = std::exchange(back_, {});
  ask.unsure = std::exchange(unsure_, {});
  bool empty = ask.settled.empty() && ask.not_run.empty() && ask.unsure.empty() && ask.returned.empty() &&
               ask.refused.empty() && ask.wants.empty();
  if (empty && (!holds || now < sent_ + touch_every)) return std::nullopt;
  ask.number = ++number_;
  under_way_ = ask;
  under_way_to_ = serial_;
  first_sent_ = sent_ = now;
  ++counters_.asks;
  return ask;
}

void EdgeQuota::drop_tokens() {
  for (auto& [account_key, held] : held_) held.tokens = 0;
}

void EdgeQuota::on_reply(Time now, const QuotaReply& reply) {
  if (!rules_) return;
  bool answers = under_way_ && reply.number == under_way_->number;
  if (reply.number != 0 && !answers) return;
  if (reply.window > window_) {
    // Tokens of a window that is over are spent by nobody.
    drop_tokens();
    Window before = window_;
    window_ = reply.window;
    known_[window_ % 2].clear();
    if (reply.window - before > 1) known_[(window_ + 1) % 2].clear();
    for (auto& [account_key, held] : held_) held.exhausted_until = {};
    std::erase_if(held_, [&](const auto& each) {
      return each.second.unsettled == 0 && each.second.waiting == 0 && each.second.refused == 0;
    });
  }
  if (reply.window == window_) window_end_ = now + Duration(static_cast<double>(reply.left_ms) / 1000);
  for (const AccountKey& account_key : reply.recalled)
    for (auto& [each, held] : held_) {
      // All of its firm's: what one branch lacks may lie idle at another.
      if (each.kind != account_key.kind || each.holder.substr(0, each.holder.find('/')) !=
                                               account_key.holder.substr(0, account_key.holder.find('/')))
        continue;
      if (held.waiting > 0 || held.tokens == 0) continue;
      held.used = Time{};
      urgent_ = true;
    }
  if (reply.number == 0 && reply.window == window_)
    for (const GrantResult& given : reply.given)
      if (given.exhausted) held_[given.account_key].exhausted_until = std::min(window_end_, now + believe);
  if (!answers) return;
  lease_until_ = first_sent_ + token_lease;
  for (const SettledDraws& settled : under_way_->settled) {
    Held& held = held_[settled.account_key];
    held.unsettled -= std::min<std::uint64_t>(held.unsettled, settled.keys.size());
  }
  settled_ = std::max(settled_, under_way_to_);
  under_way_.reset();
  if (reply.session_expired) {
    drop_tokens();
    retire_ = true;
    return;
  }
  for (const GrantResult& given : reply.given) {
    Held& held = held_[given.account_key];
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

std::string EdgeQuota::describe(Time now) const {
  std::string out;
  auto put = [&](std::uint64_t value) { out += std::to_string(value) + ','; };
  // Further away than a lease is all the same.
  auto span = [&](Time time) {
    double seconds = std::clamp(Duration(time - now).count(), -3.0, 3.0);
    put(static_cast<std::uint64_t>((seconds + 3) * 10 + 0.5));
  };
  put(session_);
  put(number_);
  put(window_);
  put(retire_);
  span(lease_until_);
  span(sent_);
  for (const auto& [account_key, held] : held_) {
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
    for (const auto& [key, tries] : std::map<RequestKey, std::uint64_t>(known.begin(), known.end()))
      put(key), put(tries);
  out += 'p';
  for (const SettledDraws& each : pending_)
    for (RequestKey key : each.keys) put(each.window), put(key);
  out += 'u';
  if (under_way_) {
    span(first_sent_);
    put(under_way_to_);
    for (const SettledDraws& each : under_way_->settled)
      for (RequestKey key : each.keys) put(each.window), put(key);
    for (const Amount& each : under_way_->wants) put(each.count);
    for (const Amount& each : under_way_->returned) put(each.count);
  }
  return out;
}

Time EdgeQuota::due(Time now) const {
  if (!rules_) return Time::max();
  if (under_way_) return sent_ + again_after;
  if (urgent_ || !pending_.empty() || !back_.empty() || !unsure_.empty()) return now;
  Time due = Time::max();
  for (const auto& [account_key, held] : held_) {
    if (held.tokens > 0 || held.refused > 0) due = std::min(due, sent_ + touch_every);
    if (held.short_of) due = std::min(due, std::max({now, held.not_before, held.exhausted_until}));
  }
  return due;
}

}  // namespace pearspar::quota
