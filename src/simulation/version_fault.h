// How a bad version of an index server answers, in the rig.
#pragma once

#include <string>

namespace pearspar::simulation {

struct VersionFault {
  enum class Kind { none, errors, slow, under_load, one_route, late };
  Kind kind = Kind::none;
  double share = 0.5;              // of the answers
  double slow_factor = 8;          // kind slow: so many times as long
  double load_per_s = 0;           // kind under_load: from so many requests for the service on
  double late_after_s = 3;         // kind late: after the server's start
  std::string route_path = "/g/";  // kind one_route: the route whose answers fail
};

}  // namespace pearspar::simulation
