// Which route a request takes: of the routes of its host, the one with the longest prefix of its path.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "averau/config.h"

namespace pearspar::dispatch {

class RouteTable {
 public:
  explicit RouteTable(averau::ConfigurationPtr configuration);

  // `host` as the client wrote it, with or without a port. Nothing where there is no route.
  const averau::Route* find(std::string_view host, std::string_view target) const;
  const averau::Depot* depot(const std::string& name) const;
  const averau::ConfigurationPtr& configuration() const { return configuration_; }

 private:
  averau::ConfigurationPtr configuration_;
  std::unordered_map<std::string, std::vector<const averau::Route*>> by_host_;  // longest prefix first
  std::unordered_map<std::string, const averau::Depot*> depots_;
};

}  // namespace pearspar::dispatch
