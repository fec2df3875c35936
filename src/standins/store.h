// A key-value store with revisions, as a stand-in for a registry's: every change has a revision, former ones
// can be read until they are compacted away, keys may hang on leases. Several stand-in members may serve one
// store.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/clock.h"

namespace pearspar::standins {

struct Kv {
  std::string key;
  std::string value;
  std::int64_t created = 0;
  std::int64_t modified = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

struct StoreEvent {
  std::int64_t revision = 0;
  bool removed = false;
  Kv kv;
};

// One change of a transaction.
struct Write {
  std::string key;
  std::optional<std::string> value;  // none = delete
  std::int64_t lease = 0;
};

class Store {
 public:
  explicit Store(std::uint64_t cluster = 0x70656172) : cluster_(cluster) {}

  std::uint64_t cluster() const { return cluster_; }
  std::uint64_t term() const { return term_; }
  std::int64_t revision() const { return revision_; }
  std::int64_t compacted() const { return compacted_; }

  // All at one revision, or none where nothing would change (deleting what is not there). The revision after.
  std::int64_t write(const std::vector<Write>& writes);
  std::int64_t put(const std::string& key, const std::string& value, std::int64_t lease = 0) {
    return write({{key, value, lease}});
  }
  std::int64_t remove(const std::string& key) { return write({{key, std::nullopt, 0}}); }

  // Keys in [from, to), to empty = that one key, as of a revision (0: now).
  std::vector<Kv> range(const std::string& from, const std::string& to, std::int64_t at = 0) const;
  std::size_t count(const std::string& from, const std::string& to) const;
  const std::map<std::string, Kv>& now() const { return now_; }
  const Kv* find(const std::string& key) const;
  // Events from a revision on, by revision.
  const std::vector<StoreEvent>& events() const { return events_; }
  std::size_t first_event_from(std::int64_t revision) const;

  // Revisions before this one can be read no more.
  void compact(std::int64_t revision);
  void elect() { ++term_; }

  std::int64_t grant(net::Duration ttl, net::Time now);
  // The seconds left anew, 0 where the lease is gone.
  std::int64_t keep_alive(std::int64_t lease, net::Time now);
  void revoke(std::int64_t lease);
  void expire(net::Time now);
  net::Time next_expiry() const;
  std::size_t leases() const { return leases_.size(); }

  // A restart from a copy taken earlier: an older revision, a new term of leadership, perhaps a new identity.
  void restore(const Store& backup, bool new_identity);
  // A restart with nothing.
  void wipe();
  // Called after each change.
  std::function<void()> on_change;

 private:
  struct Lease {
    net::Duration ttl{};
    net::Time until{};
    std::set<std::string> keys;
  };
  void changed() {
    if (on_change) on_change();
  }

  std::uint64_t cluster_;
  std::uint64_t term_ = 2;
  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
  std::map<std::string, Kv> now_;
  std::vector<StoreEvent> events_;  // since the compaction
  std::map<std::string, Kv> base_;  // as of the compaction
  std::map<std::int64_t, Lease> leases_;
  std::int64_t last_lease_ = 0;
};

}  // namespace pearspar::standins
