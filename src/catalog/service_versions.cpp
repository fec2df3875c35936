#include "catalog/service_versions.h"

#include <algorithm>

namespace pearspar::catalog {

NodeGroup ServiceVersions::group_of(std::string_view version) const {
  if (!candidate.empty() && version == candidate) return NodeGroup::candidate;
  bool known = std::find(allowed.begin(), allowed.end(), version) != allowed.end();
  return known ? NodeGroup::current : NodeGroup::barred;
}

}  // namespace pearspar::catalog
