#include "pederu/admission.h"

#include <algorithm>
#include <cmath>

namespace pearspar::pederu {

double Admission::given_up(const std::string& service_name) const {
  auto found = services_.find(service_name);
  return found == services_.end() ? 0 : found->second.level;
}

void Admission::outcome(Time now, const std::string& service_name, bool refused_or_late, bool narrowest) {
  Service& service = services_[service_name];
  if (now - service.window_start >= window) close_window(now, service);
  ++service.outcomes;
  service.bad += refused_or_late;
  service.narrowest = service.narrowest && narrowest;
}

void Admission::close_window(Time now, Service& service) {
  bool gave_up = service.level > 0;
  // A window that ended long ago tells nothing of now.
  bool fresh = now - service.window_start < 2 * window;
  if (!fresh) {
    service.level = 0;
  } else if (service.outcomes >= least_outcomes) {
    double bad = static_cast<double>(service.bad) / service.outcomes;
    if (bad > strain && service.narrowest)
      service.level = std::min(most, service.level + step);
    else if (bad < strain / 2)
      service.level = std::max(0.0, service.level - step);
    if (service.level < step / 2) service.level = 0;
  }
  if (service.level > 0) share_out(service);
  if (service.level == 0) service.routes.clear();
  strained_ += (service.level > 0) - gave_up;
  service.window_start = now;
  service.outcomes = service.bad = 0;
  service.narrowest = true;
}

// What is worth least for its work goes first, until the level's share of the work is given up.
void Admission::share_out(Service& service) {
  std::vector<Asked*> order;
  double all = 0;
  for (auto& [key, asked] : service.routes) {
    order.push_back(&asked);
    all += asked.work;
  }
  std::sort(order.begin(), order.end(), [](const Asked* a, const Asked* b) { return a->worth < b->worth; });
  double left = service.level * all;
  for (Asked* asked : order) {
    asked->refused = asked->work > 0 ? std::min(1.0, left / asked->work) : 0;
    left -= std::min(left, asked->work);
    asked->work = 0;
  }
}

bool Admission::admit(Time now, const catalog::Route& route, const std::vector<std::string>& services,
                      std::size_t least, double part_ms) {
  if (strained_ == 0) return true;
  std::vector<double> refused;
  double work = std::max(part_ms, 0.1);
  for (const std::string& service_name : services) {
    auto found = services_.find(service_name);
    if (found == services_.end() || found->second.level == 0) {
      refused.push_back(0);
      continue;
    }
    // Nothing has ended there for long: whoever comes now finds out.
    if (now - found->second.window_start >= 2 * window) close_window(now, found->second);
    if (found->second.level == 0) {
      refused.push_back(0);
      continue;
    }
    auto [asked, fresh] = found->second.routes.try_emplace(route.host + route.path_prefix);
    asked->second.work += work;
    asked->second.worth = 1 / (1.0 + route.precedence) / (work * static_cast<double>(services.size()));
    if (fresh) asked->second.refused = found->second.level;
    refused.push_back(asked->second.refused);
  }
  if (refused.empty()) return true;
  std::size_t place = std::min(std::max<std::size_t>(least, 1), refused.size()) - 1;
  std::nth_element(refused.begin(), refused.begin() + static_cast<std::ptrdiff_t>(place), refused.end());
  // By turns that never run in step with the clients.
  return std::fmod(static_cast<double>(++turn_) * 0.6180339887498949, 1.0) >= refused[place];
}

}  // namespace pearspar::pederu
