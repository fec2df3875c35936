// HTTP/1.1 as the rig's clients and nodes speak it: plain, strict, and of its own, so that what is judged is
// not read by the code that wrote it.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "simulation/world.h"

namespace pearspar::simulation {

struct PlainMessage {
  std::string start;  // the first line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Values of all headers of that name, joined by ", ". Without regard to case.
  std::string header(const std::string& name) const;
  bool has(const std::string& name) const;
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const;
  int status() const;  // of an answer; 0 = no such line
};

enum class Plain { more, whole, broken };
// Takes one message off the front of `bytes`, where it is whole. A message without a length has no body,
// which in an answer that could have one is `broken`.
// The body in chunks of sizes that the seed picks.
std::string in_chunks(const std::string& body, World& world, const std::string& trailers = "");
// `to_head`: the answer is to a HEAD, and has none whatever it names.
Plain take_message(std::string& bytes, bool answer, PlainMessage& message, bool to_head = false);

}  // namespace pearspar::simulation
