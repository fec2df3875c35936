#include "dispatch/load_shedder.h"

#include <algorithm>
#include <cmath>

namespace pearspar::dispatch {

double LoadShedder::shed_share(const std::string& service_name) const {
  auto found = services_.find(service_name);
  return found == services_.end() ? 0 : found->second.level;
}

void LoadShedder::record_outcome(Time now, const std::string& service_name, bool refused_or_late,
                                 bool at_min_coverage) {
  ServiceLoad& load = services_[service_name];
  if (now - load.window_start >= window) close_window(now, load);
  ++load.outcomes;
  load.bad_outcomes += refused_or_late;
  load.at_min_coverage = load.at_min_coverage && at_min_coverage;
}

void LoadShedder::close_window(Time now, ServiceLoad& load) {
  bool was_shedding = load.level > 0;
  // An old window says nothing about the present load.
  bool recent = now - load.window_start < 2 * window;
  if (!recent) {
    load.level = 0;
  } else if (load.outcomes >= min_outcomes) {
    double bad_ratio = static_cast<double>(load.bad_outcomes) / load.outcomes;
    if (bad_ratio > overload_ratio && load.at_min_coverage)
      load.level = std::min(max_level, load.level + level_step);
    else if (bad_ratio < overload_ratio / 2)
      load.level = std::max(0.0, load.level - level_step);
    if (load.level < level_step / 2) load.level = 0;
  }
  if (load.level > 0) distribute_level(load);
  if (load.level == 0) load.routes.clear();
  shedding_services_ += (load.level > 0) - was_shedding;
  load.window_start = now;
  load.outcomes = load.bad_outcomes = 0;
  load.at_min_coverage = true;
}

// Sets the ratio to shed of each route: lowest value per work first, until the level's share of all work is
// reached.
void LoadShedder::distribute_level(ServiceLoad& load) {
  std::vector<RouteLoad*> order;
  double total_work = 0;
  for (auto& [key, route] : load.routes) {
    order.push_back(&route);
    total_work += route.work;
  }
  std::sort(order.begin(), order.end(),
            [](const RouteLoad* a, const RouteLoad* b) { return a->value_per_work < b->value_per_work; });
  double remaining = load.level * total_work;
  for (RouteLoad* route : order) {
    route->shed_ratio = route->work > 0 ? std::min(1.0, remaining / route->work) : 0;
    remaining -= std::min(remaining, route->work);
    route->work = 0;
  }
}

bool LoadShedder::admit(Time now, const catalog::Route& route, const std::vector<std::string>& services,
                        std::size_t min_parts, double part_ms) {
  if (shedding_services_ == 0) return true;
  std::vector<double> shed_ratios;
  double work = std::max(part_ms, 0.1);
  for (const std::string& service_name : services) {
    auto found = services_.find(service_name);
    if (found == services_.end() || found->second.level == 0) {
      shed_ratios.push_back(0);
      continue;
    }
    // Without recent outcomes the level is reset, and this request tests the service.
    if (now - found->second.window_start >= 2 * window) close_window(now, found->second);
    if (found->second.level == 0) {
      shed_ratios.push_back(0);
      continue;
    }
    auto [load, inserted] = found->second.routes.try_emplace(route.host + route.path_prefix);
    load->second.work += work;
    load->second.value_per_work =
        1 / (1.0 + route.precedence) / (work * static_cast<double>(services.size()));
    if (inserted) load->second.shed_ratio = found->second.level;
    shed_ratios.push_back(load->second.shed_ratio);
  }
  if (shed_ratios.empty()) return true;
  std::size_t place = std::min(std::max<std::size_t>(min_parts, 1), shed_ratios.size()) - 1;
  std::nth_element(shed_ratios.begin(), shed_ratios.begin() + static_cast<std::ptrdiff_t>(place),
                   shed_ratios.end());
  return std::fmod(static_cast<double>(++sequence_) * golden_ratio_fraction, 1.0) >= shed_ratios[place];
}

}  // namespace pearspar::dispatch
