#include "quota/edge_quota.h"

#include <xxhash.h>

#include <algorithm>

namespace pearspar::quota {

void EdgeQuota::configure(std::shared_ptr<const catalog::QuotaRules> rules) {
  rules_ = std::move(rules);
  if (rules_ && session_ == 0) session_ = random_ = random_ * 6364136223846793005u + 1442695040888963407u;
  // The new limits may leave room again.
  for (auto& [account_key, held] : held_) held.exhausted_until = {};
}

// An unlisted branch draws on its firm; no quota applies to a holder that is not listed at all.
std::optional<AccountKey> EdgeQuota::account_key_of(const std::string& holder,
                                                    const std::string& kind) const {
  if (rules_->find(holder, kind)) return AccountKey{holder, kind};
  std::string firm = holder.substr(0, holder.find('/'));
  if (rules_->find(firm, kind)) return AccountKey{std::move(firm), kind};
  return std::nullopt;
}

bool EdgeQuota::may_spend(Time now, const Held& held) const {
  if (held.tokens == 0 || renew_session_ || window_ == 0) return false;
  if (rules_->spend_when_disconnected) return now < window_end_;
  return now < lease_until_ && held.unsettled < max_unsettled_;
}

DrawResult EdgeQuota::draw(Time now, const std::string& holder, const std::string& kind, std::string_view key,
                           bool again) {
  DrawResult result;
  if (!rules_ || kind.empty()) return result;
  auto account_key = account_key_of(holder, kind);
  if (!account_key) return result;
  std::string text = holder + '\n' + kind + '\n';
  text += key;
  Draw& ticket = result.ticket;
  ticket.account_key = *account_key;
  ticket.key = XXH3_64bits(text.data(), text.size());
  ticket.window = window_;
  Held& held = held_[*account_key];
  if (again && held.waiting > 0) --held.waiting;
  for (auto& known : known_requests_)
    if (auto found = known.find(ticket.key); found != known.end()) {
      ++found->second;
      ++counters_.repeated;
      ticket.serial = serial_;
      result.kind = DrawResult::Kind::drawn;
      return result;
    }
  if (may_spend(now, held)) {
    --held.tokens;
    ++held.unsettled;
    held.used = now;
    ticket.serial = ++serial_;
    known_requests_[window_ % 2][ticket.key] = 1;
    auto place = std::find_if(pending_.begin(), pending_.end(), [&](const SettledDraws& each) {
      return each.window == window_ && each.account_key == *account_key;
    });
    if (place == pending_.end()) place = pending_.insert(place, {*account_key, window_, {}});
    place->keys.push_back(ticket.key);
    if (held.tokens * 2 < held.batch) held.needs_tokens = true;
    ++counters_.drawn;
    counters_.drawn_late += again;
    result.kind = DrawResult::Kind::drawn;
    return result;
  }
  if (now < held.exhausted_until) {
    ++held.refused;
    ++counters_.refused;
    result.kind = DrawResult::Kind::refused;
    result.retry_after = left(now);
    return result;
  }
  ++held.waiting;
  if (!again) ++counters_.waited;
  held.needs_tokens = send_now_ = true;
  result.kind = DrawResult::Kind::wait;
  return result;
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

// The draw is returned once no attempt is left that may have run.
void EdgeQuota::not_run(const Draw& ticket) {
  for (auto& known : known_requests_) {
    auto found = known.find(ticket.key);
    if (found == known.end()) continue;
    if (--found->second > 0) return;
    known.erase(found);
    not_run_.push_back({ticket.account_key, ticket.key});
    ++counters_.given_back;
    return;
  }
}

std::optional<QuotaRequest> EdgeQuota::take_request(Time now) {
  if (!rules_ || session_ == 0) return std::nullopt;
  if (in_flight_) {
    if (now < sent_ + resend_after) return std::nullopt;
    sent_ = now;
    ++counters_.asks;
    return in_flight_;
  }
  if (renew_session_ && pending_.empty() && not_run_.empty() && unsure_.empty()) {
    renew_session_ = false;
    session_ = random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    number_ = 0;
  }
  QuotaRequest request;
  request.session = session_;
  request.window = window_;
  bool holds = false;
  for (auto& [account_key, held] : held_) {
    if (held.tokens > 0 && now - held.used > token_idle_time && held.waiting == 0) {
      request.returned.push_back({account_key, held.tokens});
      held.tokens = 0;
      held.needs_tokens = false;
    }
    holds = holds || held.tokens > 0;
    if (held.refused > 0) {
      // Sent along with other reports, or at the next interval.
      if (!pending_.empty() || now >= sent_ + report_interval) {
        request.refused.push_back({account_key, held.refused});
        held.refused = 0;
      } else {
        holds = true;
      }
    }
    if (!held.needs_tokens || renew_session_ || now < held.exhausted_until || now < held.not_before) continue;
    held.needs_tokens = false;
    held.batch = now - held.wanted < Duration(1) ? std::min(held.batch * 2, max_batch)
                                                 : std::max(held.batch / 2, min_batch);
    held.wanted = now;
    std::uint64_t wanted = std::max(held.batch, held.waiting);
    if (wanted > held.tokens) request.wants.push_back({account_key, wanted - held.tokens});
  }
  send_now_ = false;
  request.settled = std::exchange(pending_, {});
  request.not_run = std::exchange(not_run_, {});
  request.unsure = std::exchange(unsure_, {});
  bool empty = request.settled.empty() && request.not_run.empty() && request.unsure.empty() &&
               request.returned.empty() && request.refused.empty() && request.wants.empty();
  if (empty && (!holds || now < sent_ + report_interval)) return std::nullopt;
  request.number = ++number_;
  in_flight_ = request;
  in_flight_serial_ = serial_;
  first_sent_ = sent_ = now;
  ++counters_.asks;
  return request;
}

void EdgeQuota::drop_tokens() {
  for (auto& [account_key, held] : held_) held.tokens = 0;
}

void EdgeQuota::on_reply(Time now, const QuotaReply& reply) {
  if (!rules_) return;
  bool answers = in_flight_ && reply.number == in_flight_->number;
  if (reply.number != 0 && !answers) return;
  if (reply.window > window_) {
    // Tokens of an earlier window must not be spent.
    drop_tokens();
    Window before = window_;
    window_ = reply.window;
    known_requests_[window_ % 2].clear();
    if (reply.window - before > 1) known_requests_[(window_ + 1) % 2].clear();
    for (auto& [account_key, held] : held_) held.exhausted_until = {};
    std::erase_if(held_, [&](const auto& each) {
      return each.second.unsettled == 0 && each.second.waiting == 0 && each.second.refused == 0;
    });
  }
  if (reply.window == window_) window_end_ = now + Duration(static_cast<double>(reply.left_ms) / 1000);
  for (const AccountKey& account_key : reply.recalled)
    for (auto& [each, held] : held_) {
      // All accounts of the firm: idle tokens of one branch also count against the firm's limit.
      if (each.kind != account_key.kind || each.holder.substr(0, each.holder.find('/')) !=
                                               account_key.holder.substr(0, account_key.holder.find('/')))
        continue;
      if (held.waiting > 0 || held.tokens == 0) continue;
      held.used = Time{};
      send_now_ = true;
    }
  if (reply.number == 0 && reply.window == window_)
    for (const GrantResult& given : reply.given)
      if (given.exhausted)
        held_[given.account_key].exhausted_until = std::min(window_end_, now + exhausted_ttl);
  if (!answers) return;
  lease_until_ = first_sent_ + token_lease;
  for (const SettledDraws& settled : in_flight_->settled) {
    Held& held = held_[settled.account_key];
    held.unsettled -= std::min<std::uint64_t>(held.unsettled, settled.keys.size());
  }
  settled_serial_ = std::max(settled_serial_, in_flight_serial_);
  in_flight_.reset();
  if (reply.session_expired) {
    drop_tokens();
    renew_session_ = true;
    return;
  }
  for (const GrantResult& given : reply.given) {
    Held& held = held_[given.account_key];
    held.tokens += given.count;
    held.exhausted_until = given.exhausted ? std::min(window_end_, now + exhausted_ttl) : Time{};
    if (given.count > 0) {
      held.used = std::max(held.used, now);
    } else if (held.waiting > 0) {
      held.needs_tokens = true;
      held.not_before = now + retry_interval;
    }
  }
}

std::string EdgeQuota::describe(Time now) const {
  std::string out;
  auto put = [&](std::uint64_t value) { out += std::to_string(value) + ','; };
  // Times beyond the longest interval are equivalent.
  auto span = [&](Time time) {
    double seconds = std::clamp(Duration(time - now).count(), -3.0, 3.0);
    put(static_cast<std::uint64_t>((seconds + 3) * 10 + 0.5));
  };
  put(session_);
  put(number_);
  put(window_);
  put(renew_session_);
  span(lease_until_);
  span(sent_);
  for (const auto& [account_key, held] : held_) {
    put(held.tokens);
    put(held.unsettled);
    put(held.waiting > 0);
    put(held.needs_tokens);
    put(held.batch);
    span(held.exhausted_until);
    span(held.not_before);
    span(held.used);
    span(held.wanted);
  }
  out += 'k';
  for (const auto& known : known_requests_)
    for (const auto& [key, tries] : std::map<RequestKey, std::uint64_t>(known.begin(), known.end()))
      put(key), put(tries);
  out += 'p';
  for (const SettledDraws& each : pending_)
    for (RequestKey key : each.keys) put(each.window), put(key);
  out += 'u';
  if (in_flight_) {
    span(first_sent_);
    put(in_flight_serial_);
    for (const SettledDraws& each : in_flight_->settled)
      for (RequestKey key : each.keys) put(each.window), put(key);
    for (const Amount& each : in_flight_->wants) put(each.count);
    for (const Amount& each : in_flight_->returned) put(each.count);
  }
  return out;
}

Time EdgeQuota::due(Time now) const {
  if (!rules_) return Time::max();
  if (in_flight_) return sent_ + resend_after;
  if (send_now_ || !pending_.empty() || !not_run_.empty() || !unsure_.empty()) return now;
  Time due = Time::max();
  for (const auto& [account_key, held] : held_) {
    if (held.tokens > 0 || held.refused > 0) due = std::min(due, sent_ + report_interval);
    if (held.needs_tokens) due = std::min(due, std::max({now, held.not_before, held.exhausted_until}));
  }
  return due;
}

}  // namespace pearspar::quota
