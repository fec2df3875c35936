// Parses the JSON node list of the platform's discovery service.
#pragma once

#include "json/json.h"
#include "membership/members.h"

namespace pearspar::discovery {

using membership::Entry;
using membership::MemberList;
using membership::Phase;

// Throws json::ParseError that names the invalid member.
MemberList read_members(const json::Value& value);

}  // namespace pearspar::discovery
