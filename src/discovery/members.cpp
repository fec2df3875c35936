#include "discovery/members.h"

namespace pearspar::discovery {
namespace {

[[noreturn]] void fail(const char* name, const char* what) {
  throw json::ParseError(std::string(name) + " " + what);
}

const json::Value& require_member(const json::Value& object, const char* name) {
  const json::Value* value = object.find(name);
  if (!value) fail(name, "is missing");
  return *value;
}

std::string require_text(const json::Value& object, const char* name) {
  auto text = require_member(object, name).text();
  if (!text) fail(name, "is not a string");
  return std::move(*text);
}

Entry read_entry(const json::Value& value) {
  if (!value.is(json::Kind::object)) fail("members", "has an element that is not an object");
  Entry entry;
  entry.id = require_text(value, "id");
  if (entry.id.empty()) fail("id", "is empty");
  std::string phase = require_text(value, "phase");
  if (phase == "ready") {
    entry.phase = Phase::ready;
  } else if (phase == "draining") {
    entry.phase = Phase::draining;
  } else if (phase == "gone") {
    entry.phase = Phase::gone;
    return entry;  // a removed node has no other fields
  } else {
    fail("phase", "has an unknown value");
  }
  auto address = net::Address::parse(require_text(value, "host_port"));
  if (!address || address->port == 0) fail("host_port", "is no address");
  entry.address = *address;
  entry.zone = require_text(value, "locality");
  entry.kind = require_text(value, "flavor");
  auto cell = require_member(value, "cell").integer();
  if (!cell || *cell < 0 || *cell > 65535) fail("cell", "is not from 0 to 65535");
  entry.cell = static_cast<int>(*cell);
  if (const json::Value* size = value.find("size")) {
    auto number = size->number();
    if (!number || *number < 0) fail("size", "is not a non-negative number");
    entry.size = *number;
  }
  if (const json::Value* since = value.find("up_since_ms")) {
    auto number = since->number();
    if (!number || *number < 0) fail("up_since_ms", "is not a non-negative number");
    entry.up_since_ms = *number;
  }
  return entry;
}

}  // namespace

MemberList read_members(const json::Value& value) {
  if (!value.is(json::Kind::object)) fail("the list", "is not an object");
  MemberList list;
  auto revision = require_member(value, "revision").integer();
  if (!revision || *revision < 0) fail("revision", "is not a non-negative integer");
  list.revision = *revision;
  auto complete = require_member(value, "complete").boolean();
  if (!complete) fail("complete", "is neither true nor false");
  list.complete = *complete;
  const json::Value& members = require_member(value, "members");
  if (!members.is(json::Kind::array)) fail("members", "is not an array");
  for (const json::Value& member : members.items) list.entries.push_back(read_entry(member));
  return list;
}

}  // namespace pearspar::discovery
