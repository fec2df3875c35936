// What may befall a cluster in a schedule, by kind.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pearspar::simulation {

enum class Befalls { member, core, edge, node, orders, beside };

struct Trouble {
  const char* name;
  Befalls befalls;  // `member`: one that may be lost now; `core`: only while none is; `beside`: none is lost
  double least_s;
  double most_s;
};

const std::vector<Trouble>& troubles();
const Trouble* find_trouble(std::string_view name);

}  // namespace pearspar::simulation
