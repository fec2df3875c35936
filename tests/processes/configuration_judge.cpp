#include "processes/configuration_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace pearspar::processes {
namespace {

constexpr std::uint64_t brief_step = 4, brief_kept = 8;  // revisions a block, blocks kept beside the newest
constexpr std::uint64_t steady_step = 64, steady_kept = 1;
constexpr std::uint64_t moved_step = 8;
constexpr std::uint64_t once_step = 48, once_kept = 4;
constexpr const char* services[] = {"plain", "shard0", "shard1"};
constexpr double seconds_per_ms = 0.001;
constexpr double config_within_s = config_within_ms * seconds_per_ms;
constexpr double in_touch_s = in_touch_ms * seconds_per_ms;
constexpr double outer_s = outer_ms * seconds_per_ms;

bool is_kept(std::uint64_t block, std::uint64_t newest, std::uint64_t kept) {
  return block <= newest && block + kept >= newest;
}

void add_kept(std::vector<ProbeRoute>& routes, ProbeRoute::Family family, std::uint64_t newest,
              std::uint64_t kept) {
  for (std::uint64_t block = newest > kept ? newest - kept : 0; block <= newest; ++block)
    routes.push_back({family, block});
}

std::optional<std::uint64_t> number_after(const std::string& path, const std::string& prefix) {
  if (!path.starts_with(prefix)) return std::nullopt;
  return std::strtoull(path.c_str() + prefix.size(), nullptr, 10);
}

bool overlaps(const std::pair<double, double>& span, double from, double until) {
  return span.first <= until && span.second >= from;
}

// The newest revision that may have been acknowledged for longer than the bound when the probe was sent.
std::uint64_t oldest_allowed(const std::vector<Change>& changes, double acknowledged_before) {
  std::uint64_t oldest = 0;
  for (const Change& change : changes)
    if (change.acknowledged_at < acknowledged_before) oldest = std::max(oldest, change.revision);
  return oldest;
}

// The newest revision, sent by then, that handles the probe so; none if there is no such revision.
std::optional<std::uint64_t> newest_like(const std::vector<Change>& ascending, const ProbeOutcome& probe,
                                         const ProbeRoute& route) {
  for (auto change = ascending.rbegin(); change != ascending.rend(); ++change)
    if (change->sent_at <= probe.handled_at && route.service_at(change->revision) == probe.service)
      return change->revision;
  return std::nullopt;
}

// How long a revision above this one had been acknowledged when the probe was sent.
double lag_behind(const std::vector<Change>& changes, std::uint64_t revision, double sent_at) {
  double lag = 0;
  for (const Change& change : changes)
    if (change.revision > revision) lag = std::max(lag, sent_at - change.acknowledged_at);
  return lag;
}

std::string text_of(const Lag& lag) {
  if (lag.seconds <= 0) return "0.000 s";
  return fmt::format("{:.3f} s ({} at {}, {} {}; {})", lag.seconds, lag.probe.path, lag.probe.edge,
                     lag.probe.service ? "run by " + *lag.probe.service : "404", lag.probe.id,
                     lag.circumstances);
}

void keep_larger(Lag& largest, const Lag& lag) {
  if (lag.seconds > largest.seconds) largest = lag;
}

}  // namespace

std::string ProbeRoute::path_prefix() const {
  switch (family) {
    case Family::brief:
      return fmt::format("/brief/{}/", block);
    case Family::steady:
      return fmt::format("/steady/{}/", block);
    case Family::once:
      return fmt::format("/{}/once/{}/", block % 2 == 0 ? 'g' : 'm', block);
    case Family::moved:
      break;
  }
  return "/moved/";
}

std::optional<ProbeRoute> ProbeRoute::of_path(const std::string& path) {
  if (const auto block = number_after(path, "/brief/")) return ProbeRoute{Family::brief, *block};
  if (const auto block = number_after(path, "/steady/")) return ProbeRoute{Family::steady, *block};
  for (const char* prefix : {"/g/once/", "/m/once/"})
    if (const auto block = number_after(path, prefix)) return ProbeRoute{Family::once, *block};
  if (path.starts_with("/moved/")) return ProbeRoute{Family::moved, 0};
  return std::nullopt;
}

std::optional<std::string> ProbeRoute::service_at(std::uint64_t revision) const {
  if (family == Family::moved) return services[revision / moved_step % std::size(services)];
  if (family == Family::once && !is_kept(block, once_block_added(revision), once_kept)) return std::nullopt;
  if (family == Family::once) return services[0];
  const bool is_brief = family == Family::brief;
  const std::uint64_t newest = is_brief ? brief_block_added(revision) : steady_block_added(revision);
  if (!is_kept(block, newest, is_brief ? brief_kept : steady_kept)) return std::nullopt;
  return services[0];
}

std::vector<ProbeRoute> probe_routes(std::uint64_t revision) {
  std::vector<ProbeRoute> routes{{ProbeRoute::Family::moved, 0}};
  add_kept(routes, ProbeRoute::Family::brief, brief_block_added(revision), brief_kept);
  add_kept(routes, ProbeRoute::Family::steady, steady_block_added(revision), steady_kept);
  add_kept(routes, ProbeRoute::Family::once, once_block_added(revision), once_kept);
  return routes;
}

std::uint64_t brief_block_added(std::uint64_t revision) { return revision / brief_step; }

std::uint64_t brief_block_dropped(std::uint64_t revision) {
  const std::uint64_t newest = brief_block_added(revision);
  return newest > brief_kept ? newest - brief_kept - 1 : 0;
}

std::uint64_t steady_block_added(std::uint64_t revision) { return revision / steady_step; }

bool may_be_gathered(const std::string& path) { return path.starts_with("/g/") || path.starts_with("/m/"); }

bool may_need_all_shards(const std::string& path) { return path.starts_with("/m/"); }

std::uint64_t once_block_added(std::uint64_t revision) { return revision / once_step; }

bool is_in_force(const ProbeRoute& route, const std::vector<Change>& changes, double sent_at,
                 double handled_at) {
  const std::uint64_t oldest = oldest_allowed(changes, sent_at - config_within_s);
  return oldest > 0 && std::all_of(changes.begin(), changes.end(), [&](const Change& change) {
           return change.revision < oldest || change.sent_at > handled_at ||
                  route.service_at(change.revision).has_value();
         });
}

void ConfigurationVerdict::add(const ConfigurationVerdict& other) {
  late.insert(late.end(), other.late.begin(), other.late.end());
  settled += other.settled;
  unsettled += other.unsettled;
  keep_larger(largest_settled, other.largest_settled);
  keep_larger(largest_unsettled, other.largest_unsettled);
}

std::string ConfigurationVerdict::summary() const {
  return fmt::format(
      "configuration lag: {} probes in touch, largest {}; {} beside an unsettled core, largest {}; late {}",
      settled, text_of(largest_settled), unsettled, text_of(largest_unsettled), late.size());
}

std::optional<double> ConfigurationJudge::bound_for(const ProbeOutcome& probe) const {
  const double from = probe.sent_at - in_touch_s;
  if (const auto found = edge_troubled_.find(probe.edge); found != edge_troubled_.end())
    for (const auto& span : found->second)
      if (overlaps(span, from, probe.handled_at)) return std::nullopt;
  const bool disturbed = std::any_of(core_disturbed_.begin(), core_disturbed_.end(),
                                     [&](double at) { return at >= from && at <= probe.handled_at; });
  if (!disturbed && core_ran(from, probe.handled_at)) return config_within_s;
  const double stretched = config_within_s + outer_s;
  if (!core_ran(probe.sent_at - stretched, probe.handled_at)) return std::nullopt;
  return stretched;
}

bool ConfigurationJudge::core_ran(double from, double until) const {
  return std::none_of(core_lost_.begin(), core_lost_.end(),
                      [&](const auto& span) { return overlaps(span, from, until); });
}

std::string ConfigurationJudge::circumstances_of(const ProbeOutcome& probe) const {
  double edge_at = -never_acknowledged, core_at = -never_acknowledged;
  if (const auto found = edge_troubled_.find(probe.edge); found != edge_troubled_.end())
    for (const auto& [from, until] : found->second)
      if (from <= probe.sent_at) edge_at = std::max(edge_at, until);
  for (const double at : core_disturbed_)
    if (at <= probe.sent_at) core_at = std::max(core_at, at);
  return fmt::format("the edge's last trouble ended {:.3f} s and the core was disturbed {:.3f} s before",
                     probe.sent_at - edge_at, probe.sent_at - core_at);
}

ConfigurationVerdict ConfigurationJudge::judge(std::vector<Change> changes,
                                               const std::vector<ProbeOutcome>& probes) const {
  std::sort(changes.begin(), changes.end(),
            [](const Change& a, const Change& b) { return a.revision < b.revision; });
  ConfigurationVerdict verdict;
  for (const ProbeOutcome& probe : probes) {
    const auto route = ProbeRoute::of_path(probe.path);
    const auto bound = bound_for(probe);
    if (!route || !bound) continue;
    const bool settled = *bound == config_within_s;
    ++(settled ? verdict.settled : verdict.unsettled);
    const std::uint64_t seen = newest_like(changes, probe, *route).value_or(0);
    const double lag = lag_behind(changes, seen, probe.sent_at);
    Lag& largest = settled ? verdict.largest_settled : verdict.largest_unsettled;
    if (lag > largest.seconds) largest = {lag, probe, circumstances_of(probe)};
    const std::uint64_t oldest = oldest_allowed(changes, probe.sent_at - *bound);
    if (seen >= oldest) continue;
    verdict.late.push_back(
        {probe.id,
         fmt::format("{} {} sent to {} at {:.3f} was {} by {:.3f}: handled by revision {} or older; "
                     "a newer one was acknowledged {:.3f} s before, {} more than {:.0f} s before; "
                     "{}",
                     probe.path, probe.id, probe.edge, probe.sent_at,
                     probe.service ? "run by " + *probe.service : "refused with 404", probe.handled_at, seen,
                     lag, oldest, *bound, circumstances_of(probe))});
  }
  return verdict;
}

}  // namespace pearspar::processes
