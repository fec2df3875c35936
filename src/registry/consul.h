// Consul's KV store through its HTTP API: the whole prefix by blocking queries (`index`, `wait`). There are
// no pages, no events and no cluster id on this wire: each reply is the whole list at its index, changes
// between two replies come as one, and another registry shows only by an index that goes back.
#pragma once

#include <string>

#include "registry/wire.h"

namespace pearspar::registry::consul {

enum class Consistency {
  plain,       // the leader answers by its lease
  consistent,  // the leader asks the others first
  stale        // any server answers, however far behind
};

struct Options {
  Consistency consistency = Consistency::plain;
  net::Duration most_behind =
      std::chrono::seconds(1);  // stale: a server that last heard the leader before that
  std::string token;
};

Request put(std::string_view key, std::string_view value);
Request put_if(std::string_view key, std::string_view value, Revision modified);
Request get(std::string_view key);
Request remove(std::string_view key);
// A session that is deleted with its keys once it has not been renewed for `seconds`.
Request session(std::int64_t seconds);
Request acquire(std::string_view key, std::string_view value, std::string_view session);
Request renew(std::string_view session);
Request destroy(std::string_view session);
std::string read_session(std::string_view reply);

class ConsulDialect final : public Dialect {
 public:
  ConsulDialect(std::string prefix, const WireLimits& limits, Options options)
      : prefix_(std::move(prefix)), limits_(limits), options_(std::move(options)) {}
  Request request(const Ask& ask) const override;
  std::unique_ptr<ReplyReader> reader(const Ask& ask, WireUser& user) const override;
  std::string credentials() const override {
    return options_.token.empty() ? std::string() : "X-Consul-Token: " + options_.token + "\r\n";
  }

 private:
  std::string prefix_;
  WireLimits limits_;
  Options options_;
};

}  // namespace pearspar::registry::consul
