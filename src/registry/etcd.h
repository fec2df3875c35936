// etcd v3 through its JSON gateway (etcd's published API: api/etcdserverpb/rpc.proto and its gateway's paths
// under /v3). Numbers of 64 bits travel as texts, bytes as base64, and what has its type's zero value is left
// out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "json/json.h"
#include "registry/wire.h"

namespace pearspar::registry::etcd {

// The end of the range that holds all keys that begin with `prefix`.
std::string range_end(std::string_view prefix);

Header read_header(const json::Value& reply);
Page read_page(const json::Value& reply);
Standing read_standing(const json::Value& reply);

struct WatchMessage {
  enum class Kind { made, events, cancelled, failed };
  Kind kind = Kind::events;
  Events events;           // its header is set for every kind but `failed`
  Revision compacted = 0;  // cancelled: the first revision that is still kept, 0 = for another reason
  std::string reason;
};
WatchMessage read_watch(const json::Value& message);

struct ErrorReply {
  int code = 0;  // gRPC's
  std::string text;
  // What was asked for is no longer kept: OutOfRange with those words.
  bool compacted() const { return code == 11 && text.find("compacted") != std::string::npos; }
};
ErrorReply read_error(const json::Value& reply);

// What an operator's command line and a broker's own registration send.
Request put(std::string_view key, std::string_view value, std::int64_t lease = 0);
Request remove(std::string_view key);
// Puts only where the key stands at that revision (0: does not exist); so that two hands do not undo each
// other.
Request put_if(std::string_view key, std::string_view value, Revision modified);
Request get(std::string_view key);
Request grant(std::int64_t seconds);
Request keep_alive(std::int64_t lease);
Request revoke(std::int64_t lease);
// The lease of a grant's or keep-alive's reply and the seconds it has; 0 seconds = it is gone.
std::pair<std::int64_t, std::int64_t> read_lease(const json::Value& reply);
// Whether a transaction's condition held.
bool read_succeeded(const json::Value& reply);

class EtcdDialect final : public Dialect {
 public:
  EtcdDialect(std::string prefix, const WireLimits& limits, std::string token = {})
      : prefix_(std::move(prefix)), limits_(limits), token_(std::move(token)) {}
  Request request(const Ask& ask) const override;
  std::unique_ptr<ReplyReader> reader(const Ask& ask, WireUser& user) const override;
  std::string credentials() const override {
    return token_.empty() ? std::string() : "Authorization: " + token_ + "\r\n";
  }

 private:
  std::string prefix_;
  WireLimits limits_;
  std::string token_;
};

}  // namespace pearspar::registry::etcd
