#include "biella/checker.h"

#include <algorithm>
#include <functional>

namespace pearspar::biella {

void Checker::change_sent(std::uint64_t, std::uint64_t, const std::string&) {}

void Checker::change_answered(double at, std::uint64_t on_top_of, std::uint64_t edition,
                              const std::string& text, int status) {
  if (status == 200) {
    auto [same, fresh] = acked_.emplace(edition, text);
    if (!fresh && same->second != text) broken("CONFIG", "two texts acknowledged as one edition");
    auto [base, first] = acked_on_.emplace(on_top_of, text);
    if (!first && base->second != text)
      broken("CONFIG", "two changes on top of edition " + std::to_string(on_top_of) + " acknowledged");
    if (refused_.count(text)) broken("CONFIG", "a refused change was acknowledged");
    newest_ = std::max(newest_, edition);
    acked_at_.emplace_back(at, edition);
  } else if (status == 400 || status == 412) {
    refused_.insert(text);
    if (in_force_.count(text)) broken("CONFIG", "a change in force was refused");
    if (auto known = acked_.find(edition); known != acked_.end() && known->second == text)
      broken("CONFIG", "an acknowledged change was refused");
  }
}

void Checker::read(double began, double, std::uint64_t edition, const std::string& text) {
  for (const auto& [when, acked] : acked_at_)
    if (when < began && acked > edition)
      broken("CONFIG", "read edition " + std::to_string(edition) + " after " + std::to_string(acked) +
                           " was acknowledged");
  if (auto known = acked_.find(edition); known != acked_.end() && known->second != text)
    broken("CONFIG", "edition " + std::to_string(edition) + " reads otherwise than it was sent");
}

void Checker::edge_routes_by(double, const std::string& edge, std::uint64_t life, std::uint64_t edition,
                             const std::string& text) {
  in_force_.insert(text);
  if (refused_.count(text)) broken("CONFIG", "a refused change is in force at " + edge);
  std::uint64_t& before = edge_edition_[{edge, life}];
  if (edition < before) broken("CONFIG", edge + " went back to edition " + std::to_string(edition));
  before = std::max(before, edition);
  if (auto known = acked_.find(edition); known != acked_.end() && known->second != text)
    broken("CONFIG", edge + " goes by another text of edition " + std::to_string(edition));
}

void Checker::leaving_acknowledged(double at, const std::string& node) { left_.emplace(node, at); }

void Checker::request_made(double at, const std::string& request, const std::vector<std::string>& depots) {
  for (const std::string& depot : depots) traffic_[depot].requests.push_back(at);
  static_cast<void>(request);
}

void Checker::request_reached(double at, const std::string& node, const std::string& depot,
                              const std::string& request, bool edge_in_touch) {
  auto left = left_.find(node);
  if (edge_in_touch && left != left_.end() && at > left->second + drain_s)
    broken("DRAIN", node + " was asked " + std::to_string(at - left->second) + " s after its leaving");
  Traffic& traffic = traffic_[depot];
  if (!traffic.seen.insert(request).second) traffic.extra.push_back(at);
}

void Checker::service_set(const std::vector<std::string>& depots) {
  sets_.insert(std::set<std::string>(depots.begin(), depots.end()));
}

void Checker::gathered(const std::string& request, const std::vector<Part>& parts, std::size_t missing,
                       std::size_t top, double least_share, const std::string& body) {
  std::set<std::string> depots;
  std::vector<std::string> records;
  for (const Part& part : parts) {
    if (!depots.insert(part.depot).second) broken("MIXED", request + " names " + part.depot + " twice");
    records.insert(records.end(), part.records.begin(), part.records.end());
  }
  bool fits = std::any_of(sets_.begin(), sets_.end(), [&](const std::set<std::string>& set) {
    return set.size() == depots.size() + missing &&
           std::includes(set.begin(), set.end(), depots.begin(), depots.end());
  });
  if (!fits) broken("MIXED", request + " names parts of no one configuration");
  if (parts.empty() ||
      static_cast<double>(parts.size()) + 1e-9 < least_share * static_cast<double>(parts.size() + missing))
    broken("MIXED", request + " has too few parts");
  std::sort(records.begin(), records.end(), std::greater<>());
  if (records.size() > top) records.resize(top);
  std::string wanted;
  for (const std::string& record : records) wanted += record;
  if (wanted != body) broken("MIXED", request + " holds other records than its parts");
}

void Checker::settled(const std::string& edge, std::uint64_t edition) {
  if (edition < newest_)
    broken("CONFIG", edge + " goes by edition " + std::to_string(edition) + " with " +
                         std::to_string(newest_) + " acknowledged long ago");
}

void Checker::finish() {
  for (auto& [depot, traffic] : traffic_) {
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
      broken("BUDGET", depot + " got " + std::to_string(extra) + " more for " + std::to_string(requests));
      break;
    }
  }
}

}  // namespace pearspar::biella
