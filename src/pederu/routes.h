// Which route a request takes: of the routes of its host, the one with the longest prefix of its path.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/configuration.h"

namespace pearspar::pederu {

class Routes {
 public:
  explicit Routes(catalog::ConfigurationPtr configuration);

  // `host` as the client wrote it, with or without a port. Nothing where there is no route.
  const catalog::Route* find(std::string_view host, std::string_view target) const;
  const catalog::Service* service(const std::string& name) const;
  const catalog::ConfigurationPtr& configuration() const { return configuration_; }

 private:
  catalog::ConfigurationPtr configuration_;
  std::unordered_map<std::string, std::vector<const catalog::Route*>> by_host_;  // longest prefix first
  std::unordered_map<std::string, const catalog::Service*> services_;
};

}  // namespace pearspar::pederu
