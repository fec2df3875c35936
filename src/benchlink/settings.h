// The settings text of an instance (path=value lines), read into the interface's Settings.
#pragma once

#include <string>

#include "policy/policy.h"

namespace pearspar::benchlink {

// Throws WireError on text that cannot be read. Unknown keys are ignored.
Settings parse_settings(const std::string& text);

}  // namespace pearspar::benchlink
