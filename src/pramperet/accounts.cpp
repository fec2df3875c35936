#include "pramperet/accounts.h"

#include <algorithm>

namespace pearspar::pramperet {

std::vector<Leaf> Accounts::levels(const Leaf& leaf) {
  std::vector<Leaf> found{leaf};
  if (std::size_t slash = leaf.holder.find('/'); slash != leaf.holder.npos)
    found.push_back({leaf.holder.substr(0, slash), leaf.kind});
  return found;
}

template <class What>
void Accounts::at_levels(Period& period, const Leaf& leaf, What what) {
  for (const Leaf& level : levels(leaf)) what(period.counts[level]);
}

Accounts::Period* Accounts::period(Window window) {
  for (Period& each : periods_)
    if (each.number == window) return &each;
  return nullptr;
}

Count Accounts::count(const Leaf& level) const {
  if (periods_.empty()) return {};
  auto found = periods_.back().counts.find(level);
  return found == periods_.back().counts.end() ? Count{} : found->second;
}

// What may still go out: the least that is left at a level that binds.
std::uint64_t Accounts::room(const Leaf& leaf) const {
  std::optional<std::uint64_t> least;
  std::vector<Leaf> all = levels(leaf);
  for (const Leaf& level : all) {
    const catalog::QuotaAccount* account = rules_->find(level.holder, level.kind);
    if (!account) continue;
    // Past its own limit a branch that borrows is bound by its firm alone.
    if (account->borrows && rules_->find(all.back().holder, leaf.kind)) continue;
    Count used = count(level);
    std::uint64_t sum = used.out + used.drawn + used.in_doubt;
    std::uint64_t left = account->limit > sum ? account->limit - sum : 0;
    least = std::min(least.value_or(left), left);
  }
  return least.value_or(0);
}

void Accounts::settle(Held& held, const Settled& settled) {
  Period* at = period(settled.window);
  if (!at && !periods_.empty())
    at = &periods_.front();  // so late that its window is closed: counted all the same
  if (!at) return;
  auto grant = held.grants.find({settled.leaf, at->number});
  for (Key key : settled.keys) {
    if (grant != held.grants.end()) {
      // The token that was spent: out with a life, or in doubt since that life was given up.
      if (grant->second.out > 0) {
        --grant->second.out;
        at_levels(*at, settled.leaf, [](Count& count) { count.out -= count.out > 0; });
      } else if (grant->second.in_doubt > 0) {
        --grant->second.in_doubt;
        at_levels(*at, settled.leaf, [](Count& count) { count.in_doubt -= count.in_doubt > 0; });
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
      at_levels(*at, settled.leaf, [](Count& count) { ++count.repeated; });
    } else {
      at->keys[key] = {settled.leaf, 1, false};
      at_levels(*at, settled.leaf, [](Count& count) { ++count.drawn; });
    }
  }
}

void Accounts::back(const Back& back) {
  for (Period& each : periods_) {
    auto known = each.keys.find(back.key);
    if (known == each.keys.end()) continue;
    // Another try of it may have run.
    if (--known->second.tries > 0) return;
    sure(each, known->second);
    at_levels(each, known->second.leaf, [](Count& count) {
      count.drawn -= count.drawn > 0;
      ++count.given_back;
    });
    each.keys.erase(known);
    return;
  }
}

void Accounts::sure(Period& period, Claim& claim) {
  if (!claim.unsure) return;
  claim.unsure = false;
  at_levels(period, claim.leaf, [](Count& count) { count.unsure -= count.unsure > 0; });
}

void Accounts::unsure(const Back& which) {
  for (Period& each : periods_) {
    auto known = each.keys.find(which.key);
    if (known == each.keys.end() || known->second.unsure) continue;
    known->second.unsure = true;
    at_levels(each, known->second.leaf, [](Count& count) { ++count.unsure; });
    return;
  }
}

void Accounts::give(Held& held, const Amount& want) {
  Given given{want.leaf, 0, false};
  std::uint64_t left = room(want.leaf);
  // Half of the rest at most, so that the others find some.
  given.count = std::min(want.count, (left + 1) / 2);
  if (given.count > 0) {
    held.grants[{want.leaf, window()}].out += given.count;
    at_levels(periods_.back(), want.leaf, [&](Count& count) { count.out += given.count; });
  } else {
    std::uint64_t out = 0;
    for (const Leaf& level : levels(want.leaf)) out += count(level).out;
    given.exhausted = out == 0;
  }
  held.given.push_back(std::move(given));
}

void Accounts::apply(const Ask& ask) {
  if (!rules_ || periods_.empty()) return;
  Held& held = held_[ask.life];
  if (ask.number <= held.number) return;
  held.number = ask.number;
  held.heard = window();
  held.given.clear();
  for (const Settled& settled : ask.settled) settle(held, settled);
  for (const Back& each : ask.back) back(each);
  for (const Back& each : ask.unsure) unsure(each);
  for (const Amount& returned : ask.returned) {
    auto grant = held.grants.find({returned.leaf, ask.window});
    if (held.gone || grant == held.grants.end()) continue;
    std::uint64_t count = std::min(returned.count, grant->second.out);
    grant->second.out -= count;
    if (Period* at = period(ask.window))
      at_levels(*at, returned.leaf, [&](Count& each) { each.out -= std::min(each.out, count); });
  }
  for (const Amount& refused : ask.refused)
    at_levels(periods_.back(), refused.leaf, [&](Count& count) { count.refused += refused.count; });
  if (held.gone) return;
  for (const Amount& want : ask.wants) give(held, want);
}

void Accounts::turn(Window next) {
  if (next != window() + 1) return;
  periods_.push_back({next, {}, {}});
  if (periods_.size() > periods_kept) periods_.pop_front();
  // What is older than the windows that are kept is forgotten, and who has not asked since.
  Window oldest = periods_.front().number;
  std::erase_if(held_, [&](const auto& each) { return each.second.heard < oldest; });
  for (auto& [life, held] : held_)
    std::erase_if(held.grants, [&](const auto& grant) { return grant.first.second < oldest; });
}

void Accounts::gone(Life life) {
  auto found = held_.find(life);
  if (found == held_.end() || found->second.gone || !rules_) return;
  found->second.gone = true;
  for (auto& [place, grant] : found->second.grants) {
    Period* at = period(place.second);
    if (!at || grant.out == 0) continue;
    std::uint64_t out = grant.out;
    std::uint64_t doubt = rules_->spend_when_disconnected ? out : std::min(out, unsettled_);
    grant.out = 0;
    grant.in_doubt = doubt;
    at_levels(*at, place.first, [&](Count& count) {
      count.out -= std::min(count.out, out);
      count.in_doubt += doubt;
    });
  }
}

const std::vector<Given>* Accounts::given(Life life, std::uint64_t number) const {
  auto found = held_.find(life);
  // Tokens of a window that is over are of no use to anybody.
  if (found == held_.end() || found->second.number != number || found->second.heard != window())
    return nullptr;
  return &found->second.given;
}

bool Accounts::applied(Life life, std::uint64_t number) const {
  auto found = held_.find(life);
  return found != held_.end() && found->second.number >= number;
}

bool Accounts::is_gone(Life life) const {
  auto found = held_.find(life);
  return found != held_.end() && found->second.gone;
}

std::vector<Life> Accounts::lives() const {
  std::vector<Life> found;
  for (const auto& [life, held] : held_)
    if (!held.gone && std::any_of(held.grants.begin(), held.grants.end(),
                                  [](const auto& grant) { return grant.second.out > 0; }))
      found.push_back(life);
  return found;
}

std::vector<Life> Accounts::holders_of(const Leaf& leaf) const {
  std::vector<Life> found;
  const std::string firm = levels(leaf).back().holder;
  for (const auto& [life, held] : held_) {
    if (held.gone) continue;
    for (const auto& [place, grant] : held.grants)
      if (grant.out > 0 && place.second == window() && place.first.kind == leaf.kind &&
          levels(place.first).back().holder == firm) {
        found.push_back(life);
        break;
      }
  }
  return found;
}

std::vector<Accounts::Line> Accounts::lines() const {
  std::vector<Line> found;
  for (auto at = periods_.rbegin(); at != periods_.rend(); ++at)
    for (const auto& [leaf, count] : at->counts) {
      const catalog::QuotaAccount* account = rules_ ? rules_->find(leaf.holder, leaf.kind) : nullptr;
      found.push_back({at->number, leaf, account ? account->limit : 0, account != nullptr, count});
    }
  return found;
}

}  // namespace pearspar::pramperet
