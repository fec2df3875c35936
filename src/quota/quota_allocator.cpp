#include "quota/quota_allocator.h"

#include <algorithm>
#include <set>

#include "protocol/quota_codec.h"

namespace pearspar::quota {
namespace {

bool changes_something(const QuotaRequest& ask) {
  return !ask.settled.empty() || !ask.not_run.empty() || !ask.unsure.empty() || !ask.returned.empty() ||
         !ask.refused.empty() || !ask.wants.empty();
}

Duration length(const catalog::QuotaRules& rules) { return Duration(rules.window_ms / 1000); }

}  // namespace

void QuotaAllocator::observe_window(Time now, const QuotaLedger& ledger) {
  if (ledger.window() == seen_) return;
  seen_ = ledger.window();
  turned_ = now;
}

// Whoever held tokens gets the time of a silence anew.
void QuotaAllocator::open(Time now, const QuotaLedger& ledger) {
  close();
  open_ = true;
  look_due_ = now;
  for (EdgeSession session : ledger.sessions_with_tokens()) heard_[session] = {0, now};
}

void QuotaAllocator::close() {
  open_ = busy_ = false;
  waiting_.clear();
  under_way_.clear();
  now_.clear();
  heard_.clear();
  index_.reset();
  gather_due_ = Time::max();
}

void QuotaAllocator::on_request(Time now, Link link, QuotaRequest ask) {
  if (!open_) return;
  ++counters_.asks;
  heard_[ask.session] = {link, now};
  if (waiting_.size() >= most_waiting) return static_cast<void>(++counters_.dropped);  // it comes again
  bool wants = !ask.wants.empty() || !changes_something(ask);
  gather_due_ = std::min(gather_due_, now + (wants ? gather_wants : gather_reports));
  waiting_.emplace_back(link, std::move(ask));
}

void QuotaAllocator::look(Time now, const QuotaLedger& ledger, const catalog::QuotaRules& rules,
                          std::vector<protocol::QuotaCommand>& steps) {
  look_due_ = now + look_every;
  if (ledger.window() == 0 || now - turned_ >= length(rules))
    steps.emplace_back(protocol::AdvanceWindow{ledger.window() + 1});
  for (EdgeSession session : ledger.sessions_with_tokens()) {
    auto [heard, fresh] = heard_.try_emplace(session, Link{0}, now);
    if (fresh || now - heard->second.second <= silence) continue;
    steps.emplace_back(protocol::ExpireEdge{session});
    ++counters_.given_up;
  }
}

std::optional<std::string> QuotaAllocator::next_entry(Time now, const QuotaLedger& ledger,
                                                      const catalog::QuotaRules* rules) {
  if (!rules) waiting_.clear();
  if (!open_ || busy_ || !rules) return std::nullopt;
  std::vector<protocol::QuotaCommand> steps;
  // Before the questions: what they get is of the window that runs when they are answered.
  if (now >= look_due_) look(now, ledger, *rules, steps);
  if (now >= gather_due_) {
    gather_due_ = Time::max();
    for (auto& [link, ask] : std::exchange(waiting_, {})) {
      if (!changes_something(ask) || ledger.applied(ask.session, ask.number)) {
        // A word of session, or one that is in force already and whose answer was lost.
        now_.emplace_back(link, tell(now, ask, ledger, rules));
        continue;
      }
      steps.emplace_back(ask);
      under_way_.emplace_back(link, std::move(ask));
    }
  }
  if (steps.empty()) return std::nullopt;
  ++counters_.entries;
  return protocol::pack_quota_commands(steps);
}

void QuotaAllocator::proposed(std::optional<std::uint64_t> index) {
  busy_ = index.has_value();
  index_ = index;
  if (!busy_) under_way_.clear();  // the disk refuses; edges ask again
}

Duration QuotaAllocator::left(Time now, const catalog::QuotaRules* rules) const {
  return rules ? std::max(Duration(0), turned_ + length(*rules) - now) : Duration(0);
}

QuotaReply QuotaAllocator::tell(Time now, const QuotaRequest& ask, const QuotaLedger& ledger,
                                const catalog::QuotaRules* rules) const {
  QuotaReply tell;
  tell.number = ask.number;
  tell.window = ledger.window();
  tell.left_ms = static_cast<std::uint64_t>(left(now, rules).count() * 1000);
  tell.session_expired = ledger.is_expired(ask.session);
  if (const auto* given = ledger.given(ask.session, ask.number)) tell.given = *given;
  return tell;
}

std::vector<std::pair<Link, QuotaReply>> QuotaAllocator::take_replies(Time now, std::uint64_t applied,
                                                                      const QuotaLedger& ledger,
                                                                      const catalog::QuotaRules* rules) {
  std::vector<std::pair<Link, QuotaReply>> out = std::exchange(now_, {});
  if (!busy_ || applied < *index_) return out;
  busy_ = false;
  std::map<EdgeSession, std::set<AccountKey>> recalled;
  std::set<AccountKey> exhausted;
  for (auto& [link, ask] : std::exchange(under_way_, {})) {
    out.emplace_back(link, tell(now, ask, ledger, rules));
    for (const GrantResult& given : out.back().second.given)
      if (given.exhausted)
        exhausted.insert(given.account_key);
      else if (given.count == 0)
        for (EdgeSession session : ledger.sessions_holding(given.account_key))
          if (session != ask.session) recalled[session].insert(given.account_key);
  }
  // What has run out is told to all that have asked lately; what lies idle is asked back.
  for (const auto& [session, heard] : heard_) {
    auto back = recalled.find(session);
    if (heard.first == 0 || (back == recalled.end() && exhausted.empty())) continue;
    QuotaReply word;
    word.window = ledger.window();
    word.left_ms = static_cast<std::uint64_t>(left(now, rules).count() * 1000);
    if (back != recalled.end()) word.recalled.assign(back->second.begin(), back->second.end());
    for (const AccountKey& account_key : exhausted) word.given.push_back({account_key, 0, true});
    out.emplace_back(heard.first, std::move(word));
  }
  return out;
}

Time QuotaAllocator::due(const catalog::QuotaRules* rules) const {
  if (!open_ || !rules) return Time::max();
  return busy_ ? Time::max() : std::min(gather_due_, look_due_);
}

}  // namespace pearspar::quota
