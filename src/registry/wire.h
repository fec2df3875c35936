// What a dialect turns a question into, and how its replies are read. A dialect knows its registry's words
// and nothing of sockets; what comes back is told to a WireUser.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "http/stream.h"
#include "json/json.h"
#include "registry/follower.h"
#include "registry/framer.h"
#include "registry/types.h"

namespace pearspar::registry {

struct Request {
  std::string method;
  std::string target;
  std::string body;
};

// A reply as it comes in: the head once, then the body in pieces.
class ReplyReader {
 public:
  virtual ~ReplyReader() = default;
  // False where the reply cannot be used; fault() says why.
  virtual bool head(const http::ReplyStream& reply) = 0;
  virtual bool piece(std::string_view bytes) = 0;
  virtual bool end() = 0;

  Fault fault() const { return fault_; }
  const std::string& why() const { return why_; }

 protected:
  bool fail(Fault fault, std::string why) {
    fault_ = fault;
    why_ = std::move(why);
    return false;
  }

 private:
  Fault fault_ = Fault::malformed;
  std::string why_;
};

// Whom a reader tells what it has read.
class WireUser {
 public:
  virtual ~WireUser() = default;
  virtual void page_read(std::uint64_t ticket, Page page) = 0;
  virtual void watch_stands(std::uint64_t ticket, const Header& header) = 0;
  virtual void events_read(std::uint64_t ticket, Events events) = 0;
  virtual void look_read(std::uint64_t ticket, const Standing& standing) = 0;
};

struct WireLimits {
  std::size_t value = 64 * 1024;   // bytes of one value, as it is kept
  std::size_t message = 4u << 20;  // bytes of one object on the wire

  FramerLimits framer() const { return {value * 4 / 3 + 8, message, FramerLimits{}.values}; }
};

class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual Request request(const Ask& ask) const = 0;
  virtual std::unique_ptr<ReplyReader> reader(const Ask& ask, WireUser& user) const = 0;
  // A header line that goes with every request, with its end; empty where there is none.
  virtual std::string credentials() const = 0;
};

// Base64 as both registries write values. Nothing where it is none.
std::optional<std::string> decode_base64(std::string_view text);
std::string encode_base64(std::string_view bytes);
// A value in its JSON form into the item; one that is no base64, as what the framer left out is, counts as
// oversized.
void read_value(const json::Value& value, Item& item);

}  // namespace pearspar::registry
