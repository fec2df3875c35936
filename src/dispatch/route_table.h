// Route lookup: of the routes of a request's host, the one with the longest matching path prefix.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/configuration.h"

namespace pearspar::dispatch {

// The routes and services of one configuration.
class RouteTable {
 public:
  explicit RouteTable(catalog::ConfigurationPtr configuration);

  // `host` as in the Host header, with or without a port. Null if no route matches.
  const catalog::Route* find(std::string_view host, std::string_view target) const;
  // Null if there is no service of that name.
  const catalog::Service* service(const std::string& name) const;
  const catalog::ConfigurationPtr& configuration() const { return configuration_; }

 private:
  catalog::ConfigurationPtr configuration_;
  std::unordered_map<std::string, std::vector<const catalog::Route*>> by_host_;  // longest prefix first
  std::unordered_map<std::string, const catalog::Service*> services_;
};

}  // namespace pearspar::dispatch
