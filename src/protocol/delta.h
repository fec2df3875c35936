// Delta encoding of configuration texts: a new text is described by pieces of the old one and by what is new.
// Texts are split at opening braces, so that an unchanged route or service is one piece.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pearspar::protocol {

std::string make_delta(std::string_view from, std::string_view to);
// Returns nothing where `from` is not the text that the delta was made from, or the bytes are not a delta.
std::optional<std::string> apply_delta(std::string_view from, std::string_view delta);

}  // namespace pearspar::protocol
