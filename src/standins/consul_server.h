// One server of a stand-in registry that speaks Consul's KV and session API, over a store that others may
// serve too.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "standins/server.h"
#include "standins/store.h"

namespace pearspar::standins {

class ConsulServer {
 public:
  ConsulServer(net::Loop& loop, Store& store, const net::Address& address);

  Server& server() { return server_; }
  net::Address address() const { return server_.address(); }
  void store_changed();
  std::size_t waiting() const { return waiting_.size(); }

  // ---- faults ----
  // It answers as of this revision, and says how long ago it heard its leader. None = it keeps up.
  void lag_at(std::optional<std::int64_t> revision, int last_contact_ms = 0);
  void lose_leader(bool on) { leaderless_ = on; }
  // The index that it names whatever it has.
  void say_index(std::optional<std::int64_t> index) { index_ = index; }
  // Blocking reads are held beyond their time, for good.
  void mute(bool on) { mute_ = on; }
  void garble() { garble_ = true; }

 private:
  struct Waiting {
    std::string prefix;
    std::int64_t index = 0;
    net::Timer timer;
  };
  void take(const Server::Ask& ask);
  void take_kv(const Server::Ask& ask, const std::string& key,
               const std::map<std::string, std::string>& query);
  void list(net::SlotId id, const std::string& prefix, bool recurse);
  std::int64_t index_of(const std::string& prefix) const;
  std::int64_t seen() const;

  net::Loop& loop_;
  Store& store_;
  Server server_;
  std::map<net::SlotId, Waiting> waiting_;
  std::optional<std::int64_t> lag_;
  std::optional<std::int64_t> index_;
  int last_contact_ms_ = 0;
  bool leaderless_ = false;
  bool mute_ = false;
  bool garble_ = false;
};

}  // namespace pearspar::standins
