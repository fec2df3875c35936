// The allowance's words as bytes: on links, and as entries of the log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fanes/pack.h"
#include "pramperet/words.h"

namespace pearspar::fanes {

void pack(Packer& packer, const pramperet::Ask& ask);
pramperet::Ask unpack_ask(Unpacker& in);
void pack(Packer& packer, const pramperet::Tell& tell);
pramperet::Tell unpack_tell(Unpacker& in);

// What one entry does, in this order.
struct Turn {
  pramperet::Window window = 0;
};
struct Gone {
  pramperet::Life life = 0;
};
using AllowanceStep = std::variant<pramperet::Ask, Turn, Gone>;

std::string pack_steps(const std::vector<AllowanceStep>& steps);
// Nothing where the bytes hold none.
std::optional<std::vector<AllowanceStep>> unpack_steps(std::string_view bytes);

}  // namespace pearspar::fanes
