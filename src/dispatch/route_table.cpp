#include "dispatch/route_table.h"

#include <algorithm>

namespace pearspar::dispatch {
namespace {

std::string host_key(std::string_view host) {
  std::string key(host.substr(0, host.rfind(':')));
  for (char& c : key)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
  return key;
}

}  // namespace

RouteTable::RouteTable(averau::ConfigurationPtr configuration) : configuration_(std::move(configuration)) {
  for (const averau::Route& route : configuration_->routes) by_host_[host_key(route.host)].push_back(&route);
  for (auto& [host, routes] : by_host_)
    std::stable_sort(routes.begin(), routes.end(), [](const averau::Route* a, const averau::Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  for (const averau::Depot& depot : configuration_->depots) depots_[depot.name] = &depot;
}

const averau::Route* RouteTable::find(std::string_view host, std::string_view target) const {
  auto found = by_host_.find(host_key(host));
  if (found == by_host_.end()) return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  for (const averau::Route* route : found->second)
    if (path.starts_with(route->prefix)) return route;
  return nullptr;
}

const averau::Depot* RouteTable::depot(const std::string& name) const {
  auto found = depots_.find(name);
  return found == depots_.end() ? nullptr : found->second;
}

}  // namespace pearspar::dispatch
