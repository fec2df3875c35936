// The judge of real processes: what operators, clients and edges' logs say goes to the rig's judge, and to
// rules of its own.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "processes/processes.h"

namespace pearspar::processes {

double Judge::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void Judge::sent(const Order& order) {
  std::lock_guard lock(mutex_);
  checker_.change_sent(order.base, order.revision, order.text);
  changes_.try_emplace(order.revision, Change{order.revision, now()});
  ++undecided_[order.revision];
}

bool Judge::answered(const Order& order, int status, const std::string& why) {
  std::lock_guard lock(mutex_);
  if (status != 200 && status != 400 && status != 412) {
    if (status != 0 && status < 500 && status != 307)
      checker_.broken("ANSWER", fmt::format("an order gets {} {}", status, why));
    return false;
  }
  checker_.change_answered(now(), order.base, order.revision, order.text, status);
  auto [first, fresh] = settled_.try_emplace(order.text, order, status);
  if (fresh) {
    ++(status == 200 ? told_.taken : told_.refused);
    --undecided_[order.revision];
  }
  if (!fresh && (first->second.second == 200) != (status == 200))
    checker_.broken("CONFIG", fmt::format("edition {} was answered {} and later {}", order.revision,
                                          first->second.second, status));
  if (status == 200) {
    newest_ = std::max(newest_, order.revision);
    Change& change = changes_.try_emplace(order.revision, Change{order.revision, now()}).first->second;
    change.acknowledged_at = std::min(change.acknowledged_at, now());
  }
  return true;
}

void Judge::waited(double seconds) {
  std::lock_guard lock(mutex_);
  told_.waits.push_back(seconds);
}

void Judge::read(double began, int status, const std::string& body) {
  std::lock_guard lock(mutex_);
  if (status == 404) return checker_.read_nothing(began);
  if (status != 200) return;
  ++told_.reads;
  constexpr std::string_view mark = "{\"edition\":";
  if (!body.starts_with(mark))
    return checker_.broken("ANSWER", "a read gets " + body.substr(0, 80) + ", which belongs to another");
  const auto revision = std::strtoull(body.c_str() + mark.size(), nullptr, 10);
  checker_.read(began, now(), revision, body);
  newest_ = std::max<std::uint64_t>(newest_, revision);
}

void Judge::edge_goes_by(const std::string& edge, std::uint64_t life, std::uint64_t revision) {
  std::lock_guard lock(mutex_);
  std::uint64_t& before = edges_[{edge, life}];
  if (revision < before)
    checker_.broken("CONFIG", fmt::format("{} went back from edition {} to {}", edge, before, revision));
  before = std::max(before, revision);
  if (!changes_.count(revision))
    checker_.broken("CONFIG", fmt::format("{} goes by edition {}, which nobody sent", edge, revision));
}

// Both routes are in every configuration.
void Judge::client(const std::string& path, int status) {
  std::lock_guard lock(mutex_);
  ++told_.asked;
  if (status == 200) ++told_.served;
  if (status == 404) checker_.broken("DENIED", path + " is in every configuration, and 404 was the answer");
}

void Judge::fault(const std::string& rule, const std::string& what) {
  std::lock_guard lock(mutex_);
  checker_.broken(rule, what);
}

void Judge::settled(const std::string& edge, std::uint64_t revision) {
  std::lock_guard lock(mutex_);
  checker_.settled(edge, revision);
}

std::uint64_t Judge::newest() const {
  std::lock_guard lock(mutex_);
  return newest_;
}

std::vector<Change> Judge::changes() const {
  std::lock_guard lock(mutex_);
  std::vector<Change> all;
  for (const auto& [revision, change] : changes_) {
    const bool refused = change.acknowledged_at == never_acknowledged && undecided_.at(revision) == 0;
    if (!refused) all.push_back(change);
  }
  return all;
}

std::uint64_t Judge::acknowledged_before(double at) const {
  std::lock_guard lock(mutex_);
  for (auto change = changes_.rbegin(); change != changes_.rend(); ++change)
    if (change->second.acknowledged_at < at) return change->first;
  return 0;
}

std::vector<std::pair<Order, int>> Judge::definite() const {
  std::lock_guard lock(mutex_);
  std::vector<std::pair<Order, int>> all;
  for (const auto& [text, settled] : settled_) all.push_back(settled);
  return all;
}

Told Judge::finish() {
  std::lock_guard lock(mutex_);
  checker_.finish();
  told_.faults = checker_.faults();
  std::sort(told_.waits.begin(), told_.waits.end());
  return told_;
}

}  // namespace pearspar::processes
