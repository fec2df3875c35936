// The list of nodes as the platform's discovery writes it.
#pragma once

#include "json/json.h"
#include "membership/members.h"

namespace pearspar::discovery {

using membership::Entry;
using membership::MemberList;
using membership::Phase;

// Throws json::ParseError, with the member's name, on what is no such list.
MemberList read_members(const json::Value& value);

}  // namespace pearspar::discovery
