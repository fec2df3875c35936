#include "pramperet/bursar.h"

#include <algorithm>
#include <set>

#include "protocol/quota_codec.h"

namespace pearspar::pramperet {
namespace {

bool changes_something(const Ask& ask) {
  return !ask.settled.empty() || !ask.back.empty() || !ask.unsure.empty() || !ask.returned.empty() ||
         !ask.refused.empty() || !ask.wants.empty();
}

Duration length(const catalog::QuotaRules& rules) { return Duration(rules.window_ms / 1000); }

}  // namespace

void Bursar::watch(Time now, const Accounts& accounts) {
  if (accounts.window() == seen_) return;
  seen_ = accounts.window();
  turned_ = now;
}

// Whoever held tokens gets the time of a silence anew.
void Bursar::open(Time now, const Accounts& accounts) {
  close();
  open_ = true;
  look_due_ = now;
  for (Life life : accounts.lives()) heard_[life] = {0, now};
}

void Bursar::close() {
  open_ = busy_ = false;
  waiting_.clear();
  under_way_.clear();
  now_.clear();
  heard_.clear();
  index_.reset();
  gather_due_ = Time::max();
}

void Bursar::ask(Time now, Link link, Ask ask) {
  if (!open_) return;
  ++counters_.asks;
  heard_[ask.life] = {link, now};
  if (waiting_.size() >= most_waiting) return static_cast<void>(++counters_.dropped);  // it comes again
  bool wants = !ask.wants.empty() || !changes_something(ask);
  gather_due_ = std::min(gather_due_, now + (wants ? gather_wants : gather_reports));
  waiting_.emplace_back(link, std::move(ask));
}

void Bursar::look(Time now, const Accounts& accounts, const catalog::QuotaRules& rules,
                  std::vector<protocol::QuotaCommand>& steps) {
  look_due_ = now + look_every;
  if (accounts.window() == 0 || now - turned_ >= length(rules))
    steps.emplace_back(protocol::AdvanceWindow{accounts.window() + 1});
  for (Life life : accounts.lives()) {
    auto [heard, fresh] = heard_.try_emplace(life, Link{0}, now);
    if (fresh || now - heard->second.second <= silence) continue;
    steps.emplace_back(protocol::ExpireEdge{life});
    ++counters_.given_up;
  }
}

std::optional<std::string> Bursar::entry(Time now, const Accounts& accounts,
                                         const catalog::QuotaRules* rules) {
  if (!rules) waiting_.clear();
  if (!open_ || busy_ || !rules) return std::nullopt;
  std::vector<protocol::QuotaCommand> steps;
  // Before the questions: what they get is of the window that runs when they are answered.
  if (now >= look_due_) look(now, accounts, *rules, steps);
  if (now >= gather_due_) {
    gather_due_ = Time::max();
    for (auto& [link, ask] : std::exchange(waiting_, {})) {
      if (!changes_something(ask) || accounts.applied(ask.life, ask.number)) {
        // A word of life, or one that is in force already and whose answer was lost.
        now_.emplace_back(link, tell(now, ask, accounts, rules));
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

void Bursar::proposed(std::optional<std::uint64_t> index) {
  busy_ = index.has_value();
  index_ = index;
  if (!busy_) under_way_.clear();  // the disk refuses; edges ask again
}

Duration Bursar::left(Time now, const catalog::QuotaRules* rules) const {
  return rules ? std::max(Duration(0), turned_ + length(*rules) - now) : Duration(0);
}

Tell Bursar::tell(Time now, const Ask& ask, const Accounts& accounts,
                  const catalog::QuotaRules* rules) const {
  Tell tell;
  tell.number = ask.number;
  tell.window = accounts.window();
  tell.left_ms = static_cast<std::uint64_t>(left(now, rules).count() * 1000);
  tell.gone = accounts.is_gone(ask.life);
  if (const auto* given = accounts.given(ask.life, ask.number)) tell.given = *given;
  return tell;
}

std::vector<std::pair<Link, Tell>> Bursar::tells(Time now, std::uint64_t applied, const Accounts& accounts,
                                                 const catalog::QuotaRules* rules) {
  std::vector<std::pair<Link, Tell>> out = std::exchange(now_, {});
  if (!busy_ || applied < *index_) return out;
  busy_ = false;
  std::map<Life, std::set<Leaf>> recalled;
  std::set<Leaf> exhausted;
  for (auto& [link, ask] : std::exchange(under_way_, {})) {
    out.emplace_back(link, tell(now, ask, accounts, rules));
    for (const Given& given : out.back().second.given)
      if (given.exhausted)
        exhausted.insert(given.leaf);
      else if (given.count == 0)
        for (Life life : accounts.holders_of(given.leaf))
          if (life != ask.life) recalled[life].insert(given.leaf);
  }
  // What has run out is told to all that have asked lately; what lies idle is asked back.
  for (const auto& [life, heard] : heard_) {
    auto back = recalled.find(life);
    if (heard.first == 0 || (back == recalled.end() && exhausted.empty())) continue;
    Tell word;
    word.window = accounts.window();
    word.left_ms = static_cast<std::uint64_t>(left(now, rules).count() * 1000);
    if (back != recalled.end()) word.recalled.assign(back->second.begin(), back->second.end());
    for (const Leaf& leaf : exhausted) word.given.push_back({leaf, 0, true});
    out.emplace_back(heard.first, std::move(word));
  }
  return out;
}

Time Bursar::due(const catalog::QuotaRules* rules) const {
  if (!open_ || !rules) return Time::max();
  return busy_ ? Time::max() : std::min(gather_due_, look_due_);
}

}  // namespace pearspar::pramperet
