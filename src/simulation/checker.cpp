#include "simulation/checker.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>

namespace pearspar::simulation {

Checker::Text Checker::text_of(const std::string& text) {
  return {std::hash<std::string>{}(text), text.size()};
}

void Checker::change_sent(std::uint64_t on_top_of, std::uint64_t revision, const std::string& text) {
  sent_.emplace(text_of(text), Sent{on_top_of, revision});
}

// Whoever has seen it: this text is that revision, for all and for ever.
void Checker::stands(double at, std::uint64_t revision, Text text, const std::string& where) {
  if (auto refused = refused_.find(text); refused != refused_.end())
    broken("CONFIG", "edition " + std::to_string(revision) + " was refused (" + refused->second +
                         ") and is in force: " + where + " at " + std::to_string(at - 1000));
  auto [same, fresh] = in_force_.emplace(revision, text);
  if (!fresh && same->second != text)
    broken("CONFIG", "two texts are edition " + std::to_string(revision) + ": " + where);
  if (auto sent = sent_.find(text); sent == sent_.end() || sent->second.revision != revision)
    broken("CONFIG", "edition " + std::to_string(revision) + " is a text that nobody sent: " + where);
  if (stood_.empty() || revision > stood_.back().second) stood_.emplace_back(at, revision);
}

double Checker::stood_since(std::uint64_t revision) const {
  if (revision == 0) return 0;
  for (const auto& [at, stands] : stood_)
    if (stands >= revision) return at;
  return std::numeric_limits<double>::infinity();
}

std::uint64_t Checker::known_before(double moment) const {
  auto after = std::lower_bound(stood_.begin(), stood_.end(), std::pair<double, std::uint64_t>(moment, 0));
  return after == stood_.begin() ? 0 : std::prev(after)->second;
}

void Checker::change_answered(double at, std::uint64_t on_top_of, std::uint64_t revision,
                              const std::string& text, int status) {
  Text digest = text_of(text);
  if (status == 200) {
    stands(at, revision, digest, "acknowledged");
    acked_.emplace(revision, digest);
    auto [base, first] = acked_on_.emplace(on_top_of, digest);
    if (!first && base->second != digest)
      broken("CONFIG", "two changes on top of edition " + std::to_string(on_top_of) + " acknowledged");
    newest_ = std::max(newest_, revision);
  } else if (status == 400 || status == 412) {
    refused_.emplace(digest, std::to_string(status) + " on " + std::to_string(on_top_of) + " at " +
                                 std::to_string(at - 1000));
    if (auto known = in_force_.find(revision); known != in_force_.end() && known->second == digest)
      broken("CONFIG", "edition " + std::to_string(revision) + " stands and was refused");
  }
}

void Checker::read(double began, double at, std::uint64_t revision, const std::string& text) {
  if (revision < known_before(began))
    broken("CONFIG", "read edition " + std::to_string(revision) + " after " +
                         std::to_string(known_before(began)) + " was known to stand");
  stands(at, revision, text_of(text), "read");
}

void Checker::read_nothing(double began) {
  if (known_before(began) > 0)
    broken("CONFIG", "nothing to read after " + std::to_string(known_before(began)) + " was known to stand");
}

// Each kind of call has answers that no other has.
void Checker::call_answered(const Call& call, int status, const std::string& body) {
  bool config = call.path == "/pearspar/config";
  bool order = config && call.method == "PUT";
  bool whole = body.starts_with("{\"edition\":");
  bool beat = body.starts_with("{\"beatAddress\":");
  auto other = [&] {
    broken("ANSWER", call.method + " " + call.path + " gets " + std::to_string(status) + " " +
                         body.substr(0, 60) + ", which belongs to another");
  };
  if (status == 503) return;
  if (call.path.starts_with("/pearspar/rollouts")) {
    if (status == 200 && !body.starts_with("{\"nodeState\":")) other();
    return;
  }
  if (status == 200 && !order && config) {
    if (!whole) other();
  } else if (status == 200 && call.method == "PUT" && !config) {
    if (!beat) other();
  } else if (whole || beat || (status == 412 && !order) || (status == 400 && !order) ||
             (status == 404 && !(config && !order))) {
    other();
  }
}

void Checker::edge_routes_by(double at, const std::string& edge, std::uint64_t life, std::uint64_t revision,
                             const std::string& text) {
  std::uint64_t& before = edge_revision_[{edge, life}];
  if (revision < before) broken("CONFIG", edge + " went back to edition " + std::to_string(revision));
  before = std::max(before, revision);
  stands(at, revision, text_of(text), edge);
}

void Checker::leaving_acknowledged(double at, const std::string& node) { left_.emplace(node, at); }

void Checker::request_made(double at, const std::string& request, const std::vector<std::string>& services) {
  for (const std::string& service : services) traffic_[service].requests.push_back(at);
  static_cast<void>(request);
}

void Checker::request_reached(double at, const std::string& node, const std::string& service,
                              const std::string& request, bool edge_in_touch) {
  auto left = left_.find(node);
  if (edge_in_touch && left != left_.end() && at > left->second + drain_s)
    broken("DRAIN", node + " was asked " + std::to_string(at - left->second) + " s after its leaving");
  Traffic& traffic = traffic_[service];
  if (!traffic.seen.insert(request).second) traffic.extra.push_back(at);
}

void Checker::service_set(const std::vector<std::string>& services) {
  sets_.insert(std::set<std::string>(services.begin(), services.end()));
}

void Checker::gathered(const std::string& request, const std::vector<Part>& parts, std::size_t missing,
                       std::size_t top, double min_shard_ratio, const std::string& body) {
  std::set<std::string> services;
  std::vector<std::string> records;
  for (const Part& part : parts) {
    if (!services.insert(part.service).second) broken("MIXED", request + " names " + part.service + " twice");
    records.insert(records.end(), part.records.begin(), part.records.end());
  }
  bool fits = std::any_of(sets_.begin(), sets_.end(), [&](const std::set<std::string>& set) {
    return set.size() == services.size() + missing &&
           std::includes(set.begin(), set.end(), services.begin(), services.end());
  });
  if (!fits) broken("MIXED", request + " names parts of no one configuration");
  if (parts.empty() || static_cast<double>(parts.size()) + 1e-9 <
                           min_shard_ratio * static_cast<double>(parts.size() + missing))
    broken("MIXED", request + " has too few parts");
  std::sort(records.begin(), records.end(), std::greater<>());
  if (records.size() > top) records.resize(top);
  std::string wanted;
  for (const std::string& record : records) wanted += record;
  if (wanted != body) broken("MIXED", request + " holds other records than its parts");
}

void Checker::settled(const std::string& edge, std::uint64_t revision) {
  if (revision < newest_)
    broken("CONFIG", edge + " goes by edition " + std::to_string(revision) + " with " +
                         std::to_string(newest_) + " acknowledged long ago");
}

// What follows from all the answers together.
void Checker::finish_changes() {
  for (const auto& [base, text] : acked_on_) {
    std::uint64_t revision = sent_[text].revision;
    auto between = in_force_.upper_bound(base);
    if (between != in_force_.end() && between->first < revision)
      broken("CONFIG", "edition " + std::to_string(between->first) + " stood between " +
                           std::to_string(base) + " and " + std::to_string(revision) + ", built on it");
    if (base == 0 || acked_.count(base)) continue;
    bool can_stand = std::any_of(sent_.begin(), sent_.end(), [&, base = base](const auto& sent) {
      return sent.second.revision == base && !refused_.count(sent.first);
    });
    if (!can_stand)
      broken("CONFIG", "a change on top of " + std::to_string(base) + " is acknowledged, all such refused");
  }
}

void Checker::finish() {
  finish_changes();
  for (auto& [service, traffic] : traffic_) {
    std::sort(traffic.requests.begin(), traffic.requests.end());
    std::sort(traffic.extra.begin(), traffic.extra.end());
    auto count = [](const std::vector<double>& times, double from, double to) {
      return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) -
                                 std::lower_bound(times.begin(), times.end(), from));
    };
    double w = retry_window_s;
    for (double end : traffic.extra) {
      double to = end + 1e-9, from = to - w;
      double extra = count(traffic.extra, from, to);
      double requests =
          std::max({count(traffic.requests, from, to), count(traffic.requests, from - w, to - w),
                    count(traffic.requests, from - w / 2, to - w / 2)});
      if (extra <= retry_ratio * requests + retry_slack) continue;
      broken("BUDGET", service + " got " + std::to_string(extra) + " more for " + std::to_string(requests));
      break;
    }
  }
}

}  // namespace pearspar::simulation
