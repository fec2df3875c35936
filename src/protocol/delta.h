// What makes one text out of another that the other side has: pieces of the old one and what is new. Cut at
// opening braces, so that a route or a service that did not change is a piece.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pearspar::protocol {

std::string make_delta(std::string_view from, std::string_view to);
// Nothing where `from` is not the text it was made from, or the bytes are no delta: the whole is wanted then.
std::optional<std::string> apply_delta(std::string_view from, std::string_view delta);

}  // namespace pearspar::protocol
