// One member of a stand-in registry that speaks etcd v3's JSON gateway, over a store that other members may
// serve too. Written from the published protocol; what of it the broker does not use is not there.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standins/server.h"
#include "standins/store.h"

namespace pearspar::standins {

class EtcdServer {
 public:
  EtcdServer(net::Loop& loop, Store& store, std::uint64_t member, const net::Address& address);

  Server& server() { return server_; }
  net::Address address() const { return server_.address(); }
  // To be called after each change of the store: tells the watches.
  void store_changed();
  std::size_t watches() const { return watches_.size(); }
  std::uint64_t asks(const std::string& path) const;

  // ---- faults ----
  // It has taken in nothing behind this revision: its watches tell no further. Its reads wait for the leader,
  // as linearizable ones do, and so are not behind. None = it keeps up.
  void lag_at(std::optional<std::int64_t> revision);
  // Its watches stand and say nothing.
  void mute(bool on) { mute_ = on; }
  // Each message of a watch comes twice.
  void repeat(bool on) { repeat_ = on; }
  // Messages come in pairs, the second of a pair first.
  void swap(bool on);
  // Events a message at most; a revision's are split into fragments. 0 = all of what there is.
  void split(std::size_t events) { split_ = events; }
  // The next message of a watch is broken JSON.
  void garble() { garble_ = true; }
  // Its header names another cluster.
  void pose_as(std::optional<std::uint64_t> cluster) { pose_ = cluster; }
  // A mark of progress on every watch that has told all.
  void mark_progress();
  // Called with a request's path before it is answered: a test changes the world in between.
  std::function<void(const std::string& path)> on_ask;

 private:
  struct Watch {
    std::string from;
    std::string to;
    std::int64_t next = 0;  // revision
    std::string kept;       // a message that waits for its pair
  };
  void take(const Server::Ask& ask);
  std::string range(const std::string& body, int& status);
  std::string txn(const std::string& body);
  void watch(const Server::Ask& ask);
  void tell(net::SlotId id, Watch& watch);
  void send(net::SlotId id, Watch& watch, const std::string& message);
  std::int64_t seen() const;

  net::Loop& loop_;
  Store& store_;
  std::uint64_t member_;
  Server server_;
  std::map<net::SlotId, Watch> watches_;
  std::map<std::string, std::uint64_t> asks_;
  std::optional<std::int64_t> lag_;
  std::optional<std::uint64_t> pose_;
  bool mute_ = false;
  bool repeat_ = false;
  bool swap_ = false;
  bool garble_ = false;
  std::size_t split_ = 0;
};

}  // namespace pearspar::standins
