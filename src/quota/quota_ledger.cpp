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
void QuotaLedger::for_each_level(WindowState& window_state, const AccountKey& account_key, What what) {
  for (const AccountKey& level : levels(account_key)) what(window_state.counts[level]);
}

QuotaLedger::WindowState* QuotaLedger::find_window(Window window) {
  for (WindowState& each : windows_)
    if (each.number == window) return &each;
  return nullptr;
}

UsageCounts QuotaLedger::count(const AccountKey& level) const {
  if (windows_.empty()) return {};
  auto found = windows_.back().counts.find(level);
  return found == windows_.back().counts.end() ? UsageCounts{} : found->second;
}

// Tokens that may still be granted: the minimum left over all accounts that apply.
std::uint64_t QuotaLedger::available(const AccountKey& account_key) const {
  std::optional<std::uint64_t> least;
  std::vector<AccountKey> all = levels(account_key);
  for (const AccountKey& level : all) {
    const catalog::QuotaAccount* account = rules_->find(level.holder, level.kind);
    if (!account) continue;
    // A branch that borrows is limited only by its firm.
    if (account->borrows && rules_->find(all.back().holder, account_key.kind)) continue;
    UsageCounts used = count(level);
    std::uint64_t sum = used.out + used.drawn + used.in_doubt;
    std::uint64_t left = account->limit > sum ? account->limit - sum : 0;
    least = std::min(least.value_or(left), left);
  }
  return least.value_or(0);
}

void QuotaLedger::apply_settled(EdgeState& edge, const SettledDraws& settled) {
  WindowState* at = find_window(settled.window);
  if (!at && !windows_.empty())
    at = &windows_.front();  // reported after its window was dropped: still counted
  if (!at) return;
  auto grant = edge.grants.find({settled.account_key, at->number});
  for (RequestKey key : settled.keys) {
    if (grant != edge.grants.end()) {
      // The spent token is still out, or in doubt if the session has expired.
      if (grant->second.out > 0) {
        --grant->second.out;
        for_each_level(*at, settled.account_key, [](UsageCounts& count) { count.out -= count.out > 0; });
      } else if (grant->second.in_doubt > 0) {
        --grant->second.in_doubt;
        for_each_level(*at, settled.account_key,
                       [](UsageCounts& count) { count.in_doubt -= count.in_doubt > 0; });
      }
    }
    Claim* claim = nullptr;
    for (WindowState& each : windows_)
      if (auto known = each.keys.find(key); known != each.keys.end()) {
        claim = &known->second;
        clear_unsure(each, *claim);  // the outcome of this attempt decides
      }
    if (claim) {
      ++claim->tries;
      for_each_level(*at, settled.account_key, [](UsageCounts& count) { ++count.repeated; });
    } else {
      at->keys[key] = {settled.account_key, 1, false};
      for_each_level(*at, settled.account_key, [](UsageCounts& count) { ++count.drawn; });
    }
  }
}

void QuotaLedger::apply_not_run(const DrawId& back) {
  for (WindowState& each : windows_) {
    auto known = each.keys.find(back.key);
    if (known == each.keys.end()) continue;
    // Another attempt may have run.
    if (--known->second.tries > 0) return;
    clear_unsure(each, known->second);
    for_each_level(each, known->second.account_key, [](UsageCounts& count) {
      count.drawn -= count.drawn > 0;
      ++count.given_back;
    });
    each.keys.erase(known);
    return;
  }
}

void QuotaLedger::clear_unsure(WindowState& window_state, Claim& claim) {
  if (!claim.unsure) return;
  claim.unsure = false;
  for_each_level(window_state, claim.account_key,
                 [](UsageCounts& count) { count.unsure -= count.unsure > 0; });
}

void QuotaLedger::apply_unsure(const DrawId& which) {
  for (WindowState& each : windows_) {
    auto known = each.keys.find(which.key);
    if (known == each.keys.end() || known->second.unsure) continue;
    known->second.unsure = true;
    for_each_level(each, known->second.account_key, [](UsageCounts& count) { ++count.unsure; });
    return;
  }
}

void QuotaLedger::grant_tokens(EdgeState& edge, const Amount& want) {
  GrantResult given{want.account_key, 0, false};
  std::uint64_t left = available(want.account_key);
  // At most half of what is left, so that other edges find some.
  given.count = std::min(want.count, (left + 1) / 2);
  if (given.count > 0) {
    edge.grants[{want.account_key, window()}].out += given.count;
    for_each_level(windows_.back(), want.account_key, [&](UsageCounts& count) { count.out += given.count; });
  } else {
    std::uint64_t out = 0;
    for (const AccountKey& level : levels(want.account_key)) out += count(level).out;
    given.exhausted = out == 0;
  }
  edge.given.push_back(std::move(given));
}

void QuotaLedger::apply(const QuotaRequest& request) {
  if (!rules_ || windows_.empty()) return;
  EdgeState& edge = edges_[request.session];
  if (request.number <= edge.number) return;
  edge.number = request.number;
  edge.heard = window();
  edge.given.clear();
  for (const SettledDraws& settled : request.settled) apply_settled(edge, settled);
  for (const DrawId& each : request.not_run) apply_not_run(each);
  for (const DrawId& each : request.unsure) apply_unsure(each);
  for (const Amount& returned : request.returned) {
    auto grant = edge.grants.find({returned.account_key, request.window});
    if (edge.expired || grant == edge.grants.end()) continue;
    std::uint64_t count = std::min(returned.count, grant->second.out);
    grant->second.out -= count;
    if (WindowState* at = find_window(request.window))
      for_each_level(*at, returned.account_key,
                     [&](UsageCounts& each) { each.out -= std::min(each.out, count); });
  }
  for (const Amount& refused : request.refused)
    for_each_level(windows_.back(), refused.account_key,
                   [&](UsageCounts& count) { count.refused += refused.count; });
  if (edge.expired) return;
  for (const Amount& want : request.wants) grant_tokens(edge, want);
}

void QuotaLedger::advance_window(Window next) {
  if (next != window() + 1) return;
  windows_.push_back({next, {}, {}});
  if (windows_.size() > max_windows) windows_.pop_front();
  // Drops grants of windows that are no longer kept, and edges that have sent nothing since.
  Window oldest = windows_.front().number;
  std::erase_if(edges_, [&](const auto& each) { return each.second.heard < oldest; });
  for (auto& [session, edge] : edges_)
    std::erase_if(edge.grants, [&](const auto& grant) { return grant.first.second < oldest; });
}

void QuotaLedger::expire_edge(EdgeSession session) {
  auto found = edges_.find(session);
  if (found == edges_.end() || found->second.expired || !rules_) return;
  found->second.expired = true;
  for (auto& [place, grant] : found->second.grants) {
    WindowState* at = find_window(place.second);
    if (!at || grant.out == 0) continue;
    std::uint64_t out = grant.out;
    std::uint64_t doubt = rules_->spend_when_disconnected ? out : std::min(out, max_unsettled_);
    grant.out = 0;
    grant.in_doubt = doubt;
    for_each_level(*at, place.first, [&](UsageCounts& count) {
      count.out -= std::min(count.out, out);
      count.in_doubt += doubt;
    });
  }
}

const std::vector<GrantResult>* QuotaLedger::given(EdgeSession session, std::uint64_t number) const {
  auto found = edges_.find(session);
  // Tokens of an earlier window cannot be spent.
  if (found == edges_.end() || found->second.number != number || found->second.heard != window())
    return nullptr;
  return &found->second.given;
}

bool QuotaLedger::applied(EdgeSession session, std::uint64_t number) const {
  auto found = edges_.find(session);
  return found != edges_.end() && found->second.number >= number;
}

bool QuotaLedger::is_expired(EdgeSession session) const {
  auto found = edges_.find(session);
  return found != edges_.end() && found->second.expired;
}

std::vector<EdgeSession> QuotaLedger::sessions_with_tokens() const {
  std::vector<EdgeSession> found;
  for (const auto& [session, edge] : edges_)
    if (!edge.expired && std::any_of(edge.grants.begin(), edge.grants.end(),
                                     [](const auto& grant) { return grant.second.out > 0; }))
      found.push_back(session);
  return found;
}

std::vector<EdgeSession> QuotaLedger::sessions_holding(const AccountKey& account_key) const {
  std::vector<EdgeSession> found;
  const std::string firm = levels(account_key).back().holder;
  for (const auto& [session, edge] : edges_) {
    if (edge.expired) continue;
    for (const auto& [place, grant] : edge.grants)
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
  for (auto at = windows_.rbegin(); at != windows_.rend(); ++at)
    for (const auto& [account_key, count] : at->counts) {
      const catalog::QuotaAccount* account =
          rules_ ? rules_->find(account_key.holder, account_key.kind) : nullptr;
      found.push_back({at->number, account_key, account ? account->limit : 0, account != nullptr, count});
    }
  return found;
}

}  // namespace pearspar::quota
