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

RouteTable::RouteTable(catalog::ConfigurationPtr configuration) : configuration_(std::move(configuration)) {
  for (const catalog::Route& route : configuration_->routes) by_host_[host_key(route.host)].push_back(&route);
  for (auto& [host, routes] : by_host_)
    std::stable_sort(routes.begin(), routes.end(), [](const catalog::Route* a, const catalog::Route* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  for (const catalog::Service& service : configuration_->services) services_[service.name] = &service;
}

const catalog::Route* RouteTable::find(std::string_view host, std::string_view target) const {
  auto found = by_host_.find(host_key(host));
  if (found == by_host_.end()) return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  for (const catalog::Route* route : found->second)
    if (path.starts_with(route->path_prefix)) return route;
  return nullptr;
}

const catalog::Service* RouteTable::service(const std::string& name) const {
  auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace pearspar::dispatch
