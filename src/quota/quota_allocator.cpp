#include "quota/quota_allocator.h"

#include <algorithm>
#include <set>

#include "protocol/quota_codec.h"

namespace pearspar::quota {
namespace {

bool changes_state(const QuotaRequest& request) {
  return !request.settled.empty() || !request.not_run.empty() || !request.unsure.empty() ||
         !request.returned.empty() || !request.refused.empty() || !request.wants.empty();
}

Duration window_length(const catalog::QuotaRules& rules) { return Duration(rules.window_ms / 1000); }

}  // namespace

void QuotaAllocator::observe_window(Time now, const QuotaLedger& ledger) {
  if (ledger.window() == seen_window_) return;
  seen_window_ = ledger.window();
  window_started_ = now;
}

// Every session that holds tokens gets a full timeout from now on.
void QuotaAllocator::open(Time now, const QuotaLedger& ledger) {
  close();
  open_ = true;
  check_due_ = now;
  for (EdgeSession session : ledger.sessions_with_tokens()) last_heard_[session] = {0, now};
}

void QuotaAllocator::close() {
  open_ = entry_in_flight_ = false;
  waiting_.clear();
  in_flight_.clear();
  ready_replies_.clear();
  last_heard_.clear();
  index_.reset();
  batch_due_ = Time::max();
}

void QuotaAllocator::on_request(Time now, Link link, QuotaRequest request) {
  if (!open_) return;
  ++counters_.asks;
  last_heard_[request.session] = {link, now};
  if (waiting_.size() >= max_waiting) return static_cast<void>(++counters_.dropped);  // the edge resends it
  bool wants = !request.wants.empty() || !changes_state(request);
  batch_due_ = std::min(batch_due_, now + (wants ? grant_batch_delay : report_batch_delay));
  waiting_.emplace_back(link, std::move(request));
}

void QuotaAllocator::append_timed_commands(Time now, const QuotaLedger& ledger,
                                           const catalog::QuotaRules& rules,
                                           std::vector<protocol::QuotaCommand>& commands) {
  check_due_ = now + check_interval;
  if (ledger.window() == 0 || now - window_started_ >= window_length(rules))
    commands.emplace_back(protocol::AdvanceWindow{ledger.window() + 1});
  for (EdgeSession session : ledger.sessions_with_tokens()) {
    auto [heard, fresh] = last_heard_.try_emplace(session, Link{0}, now);
    if (fresh || now - heard->second.second <= session_timeout) continue;
    commands.emplace_back(protocol::ExpireEdge{session});
    ++counters_.given_up;
  }
}

std::optional<std::string> QuotaAllocator::next_entry(Time now, const QuotaLedger& ledger,
                                                      const catalog::QuotaRules* rules) {
  if (!rules) waiting_.clear();
  if (!open_ || entry_in_flight_ || !rules) return std::nullopt;
  std::vector<protocol::QuotaCommand> commands;
  // Before the requests, so that their grants belong to the window that is current when they are answered.
  if (now >= check_due_) append_timed_commands(now, ledger, *rules, commands);
  if (now >= batch_due_) {
    batch_due_ = Time::max();
    for (auto& [link, request] : std::exchange(waiting_, {})) {
      if (!changes_state(request) || ledger.applied(request.session, request.number)) {
        // A heartbeat, or a resent request that has already been applied.
        ready_replies_.emplace_back(link, make_reply(now, request, ledger, rules));
        continue;
      }
      commands.emplace_back(request);
      in_flight_.emplace_back(link, std::move(request));
    }
  }
  if (commands.empty()) return std::nullopt;
  ++counters_.entries;
  return protocol::pack_quota_commands(commands);
}

void QuotaAllocator::proposed(std::optional<std::uint64_t> index) {
  entry_in_flight_ = index.has_value();
  index_ = index;
  if (!entry_in_flight_) in_flight_.clear();  // the entry was rejected; edges resend their requests
}

Duration QuotaAllocator::left(Time now, const catalog::QuotaRules* rules) const {
  return rules ? std::max(Duration(0), window_started_ + window_length(*rules) - now) : Duration(0);
}

QuotaReply QuotaAllocator::make_reply(Time now, const QuotaRequest& request, const QuotaLedger& ledger,
                                      const catalog::QuotaRules* rules) const {
  QuotaReply reply;
  reply.number = request.number;
  reply.window = ledger.window();
  reply.left_ms = static_cast<std::uint64_t>(left(now, rules).count() * 1000);
  reply.session_expired = ledger.is_expired(request.session);
  if (const auto* given = ledger.given(request.session, request.number)) reply.given = *given;
  return reply;
}

std::vector<std::pair<Link, QuotaReply>> QuotaAllocator::take_replies(Time now, std::uint64_t applied,
                                                                      const QuotaLedger& ledger,
                                                                      const catalog::QuotaRules* rules) {
  std::vector<std::pair<Link, QuotaReply>> replies = std::exchange(ready_replies_, {});
  if (!entry_in_flight_ || applied < *index_) return replies;
  entry_in_flight_ = false;
  std::map<EdgeSession, std::set<AccountKey>> recalled;
  std::set<AccountKey> exhausted;
  for (auto& [link, request] : std::exchange(in_flight_, {})) {
    replies.emplace_back(link, make_reply(now, request, ledger, rules));
    for (const GrantResult& given : replies.back().second.given)
      if (given.exhausted)
        exhausted.insert(given.account_key);
      else if (given.count == 0)
        for (EdgeSession session : ledger.sessions_holding(given.account_key))
          if (session != request.session) recalled[session].insert(given.account_key);
  }
  // Announces exhausted accounts to all recent sessions, and recalls idle tokens.
  for (const auto& [session, heard] : last_heard_) {
    auto back = recalled.find(session);
    if (heard.first == 0 || (back == recalled.end() && exhausted.empty())) continue;
    QuotaReply notice;
    notice.window = ledger.window();
    notice.left_ms = static_cast<std::uint64_t>(left(now, rules).count() * 1000);
    if (back != recalled.end()) notice.recalled.assign(back->second.begin(), back->second.end());
    for (const AccountKey& account_key : exhausted) notice.given.push_back({account_key, 0, true});
    replies.emplace_back(heard.first, std::move(notice));
  }
  return replies;
}

Time QuotaAllocator::due(const catalog::QuotaRules* rules) const {
  if (!open_ || !rules) return Time::max();
  return entry_in_flight_ ? Time::max() : std::min(batch_due_, check_due_);
}

}  // namespace pearspar::quota
