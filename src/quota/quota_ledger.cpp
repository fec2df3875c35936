#include "quota/quota_ledger.h"

#include <algorithm>

namespace pearspar::quota {

std::vector<AccountKey> QuotaLedger::levels(const AccountKey& account_key) {
  std::vector<AccountKey> found{account_key};
  if (std::size_t slash = account_key.holder.find('/'); slash != account_key.holder.npos)
    found.push_back({account_key.holder.substr(0, slash), account_key.kind});
  return found;
}

template <class What>
void QuotaLedger::at_levels(Period& period, const AccountKey& account_key, What what) {
  for (const AccountKey& level : levels(account_key)) what(period.counts[level]);
}

QuotaLedger::Period* QuotaLedger::period(Window window) {
  for (Period& each : periods_)
    if (each.number == window) return &each;
  return nullptr;
}

UsageCounts QuotaLedger::count(const AccountKey& level) const {
  if (periods_.empty()) return {};
  auto found = periods_.back().counts.find(level);
  return found == periods_.back().counts.end() ? UsageCounts{} : found->second;
}

// What may still go out: the least that is left at a level that binds.
std::uint64_t QuotaLedger::available(const AccountKey& account_key) const {
  std::optional<std::uint64_t> least;
  std::vector<AccountKey> all = levels(account_key);
  for (const AccountKey& level : all) {
    const catalog::QuotaAccount* account = rules_->find(level.holder, level.kind);
    if (!account) continue;
    // Past its own limit a branch that borrows is bound by its firm alone.
    if (account->borrows && rules_->find(all.back().holder, account_key.kind)) continue;
    UsageCounts used = count(level);
    std::uint64_t sum = used.out + used.drawn + used.in_doubt;
    std::uint64_t left = account->limit > sum ? account->limit - sum : 0;
    least = std::min(least.value_or(left), left);
  }
  return least.value_or(0);
}

void QuotaLedger::settle(Held& held, const SettledDraws& settled) {
  Period* at = period(settled.window);
  if (!at && !periods_.empty())
    at = &periods_.front();  // so late that its window is closed: counted all the same
  if (!at) return;
  auto grant = held.grants.find({settled.account_key, at->number});
  for (RequestKey key : settled.keys) {
    if (grant != held.grants.end()) {
      // The token that was spent: out with a session, or in doubt since that session was given up.
      if (grant->second.out > 0) {
        --grant->second.out;
        at_levels(*at, settled.account_key, [](UsageCounts& count) { count.out -= count.out > 0; });
      } else if (grant->second.in_doubt > 0) {
        --grant->second.in_doubt;
        at_levels(*at, settled.account_key, [](UsageCounts& count) { count.in_doubt -= count.in_doubt > 0; });
      }
    }
    Claim* claim = nullptr;
    for (Period& each : periods_)
      if (auto known = each.keys.find(key); known != each.keys.end()) {
        claim = &known->second;
        sure(each, *claim);  // this try will tell
      }
    if (claim) {
      ++claim->tries;
      at_levels(*at, settled.account_key, [](UsageCounts& count) { ++count.repeated; });
    } else {
      at->keys[key] = {settled.account_key, 1, false};
      at_levels(*at, settled.account_key, [](UsageCounts& count) { ++count.drawn; });
    }
  }
}

void QuotaLedger::back(const DrawId& back) {
  for (Period& each : periods_) {
    auto known = each.keys.find(back.key);
    if (known == each.keys.end()) continue;
    // Another try of it may have run.
    if (--known->second.tries > 0) return;
    sure(each, known->second);
    at_levels(each, known->second.account_key, [](UsageCounts& count) {
      count.drawn -= count.drawn > 0;
      ++count.given_back;
    });
    each.keys.erase(known);
    return;
  }
}

void QuotaLedger::sure(Period& period, Claim& claim) {
  if (!claim.unsure) return;
  claim.unsure = false;
  at_levels(period, claim.account_key, [](UsageCounts& count) { count.unsure -= count.unsure > 0; });
}

void QuotaLedger::unsure(const DrawId& which) {
  for (Period& each : periods_) {
    auto known = each.keys.find(which.key);
    if (known == each.keys.end() || known->second.unsure) continue;
    known->second.unsure = true;
    at_levels(each, known->second.account_key, [](UsageCounts& count) { ++count.unsure; });
    return;
  }
}

void QuotaLedger::grant_tokens(Held& held, const Amount& want) {
  GrantResult given{want.account_key, 0, false};
  std::uint64_t left = available(want.account_key);
  // Half of the rest at most, so that the others find some.
  given.count = std::min(want.count, (left + 1) / 2);
  if (given.count > 0) {
    held.grants[{want.account_key, window()}].out += given.count;
    at_levels(periods_.back(), want.account_key, [&](UsageCounts& count) { count.out += given.count; });
  } else {
    std::uint64_t out = 0;
    for (const AccountKey& level : levels(want.account_key)) out += count(level).out;
    given.exhausted = out == 0;
  }
  held.given.push_back(std::move(given));
}

void QuotaLedger::apply(const QuotaRequest& request) {
  if (!rules_ || periods_.empty()) return;
  Held& held = held_[request.session];
  if (request.number <= held.number) return;
  held.number = request.number;
  held.heard = window();
  held.given.clear();
  for (const SettledDraws& settled : request.settled) settle(held, settled);
  for (const DrawId& each : request.not_run) back(each);
  for (const DrawId& each : request.unsure) unsure(each);
  for (const Amount& returned : request.returned) {
    auto grant = held.grants.find({returned.account_key, request.window});
    if (held.gone || grant == held.grants.end()) continue;
    std::uint64_t count = std::min(returned.count, grant->second.out);
    grant->second.out -= count;
    if (Period* at = period(request.window))
      at_levels(*at, returned.account_key, [&](UsageCounts& each) { each.out -= std::min(each.out, count); });
  }
  for (const Amount& refused : request.refused)
    at_levels(periods_.back(), refused.account_key,
              [&](UsageCounts& count) { count.refused += refused.count; });
  if (held.gone) return;
  for (const Amount& want : request.wants) grant_tokens(held, want);
}

void QuotaLedger::advance_window(Window next) {
  if (next != window() + 1) return;
  periods_.push_back({next, {}, {}});
  if (periods_.size() > periods_kept) periods_.pop_front();
  // What is older than the windows that are kept is forgotten, and who has not asked since.
  Window oldest = periods_.front().number;
  std::erase_if(held_, [&](const auto& each) { return each.second.heard < oldest; });
  for (auto& [session, held] : held_)
    std::erase_if(held.grants, [&](const auto& grant) { return grant.first.second < oldest; });
}

void QuotaLedger::expire_edge(EdgeSession session) {
  auto found = held_.find(session);
  if (found == held_.end() || found->second.gone || !rules_) return;
  found->second.gone = true;
  for (auto& [place, grant] : found->second.grants) {
    Period* at = period(place.second);
    if (!at || grant.out == 0) continue;
    std::uint64_t out = grant.out;
    std::uint64_t doubt = rules_->spend_when_disconnected ? out : std::min(out, max_unsettled_);
    grant.out = 0;
    grant.in_doubt = doubt;
    at_levels(*at, place.first, [&](UsageCounts& count) {
      count.out -= std::min(count.out, out);
      count.in_doubt += doubt;
    });
  }
}

const std::vector<GrantResult>* QuotaLedger::given(EdgeSession session, std::uint64_t number) const {
  auto found = held_.find(session);
  // Tokens of a window that is over are of no use to anybody.
  if (found == held_.end() || found->second.number != number || found->second.heard != window())
    return nullptr;
  return &found->second.given;
}

bool QuotaLedger::applied(EdgeSession session, std::uint64_t number) const {
  auto found = held_.find(session);
  return found != held_.end() && found->second.number >= number;
}

bool QuotaLedger::is_expired(EdgeSession session) const {
  auto found = held_.find(session);
  return found != held_.end() && found->second.gone;
}

std::vector<EdgeSession> QuotaLedger::sessions_with_tokens() const {
  std::vector<EdgeSession> found;
  for (const auto& [session, held] : held_)
    if (!held.gone && std::any_of(held.grants.begin(), held.grants.end(),
                                  [](const auto& grant) { return grant.second.out > 0; }))
      found.push_back(session);
  return found;
}

std::vector<EdgeSession> QuotaLedger::sessions_holding(const AccountKey& account_key) const {
  std::vector<EdgeSession> found;
  const std::string firm = levels(account_key).back().holder;
  for (const auto& [session, held] : held_) {
    if (held.gone) continue;
    for (const auto& [place, grant] : held.grants)
      if (grant.out > 0 && place.second == window() && place.first.kind == account_key.kind &&
          levels(place.first).back().holder == firm) {
        found.push_back(session);
        break;
      }
  }
  return found;
}

std::vector<QuotaLedger::Line> QuotaLedger::lines() const {
  std::vector<Line> found;
  for (auto at = periods_.rbegin(); at != periods_.rend(); ++at)
    for (const auto& [account_key, count] : at->counts) {
      const catalog::QuotaAccount* account =
          rules_ ? rules_->find(account_key.holder, account_key.kind) : nullptr;
      found.push_back({at->number, account_key, account ? account->limit : 0, account != nullptr, count});
    }
  return found;
}

}  // namespace pearspar::quota
