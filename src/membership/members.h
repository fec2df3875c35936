// The list of nodes, wherever it comes from, and who is told of it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/clock.h"
#include "net/socket.h"

namespace pearspar::membership {

enum class Phase { gone, ready, draining };

struct Entry {
  std::string id;
  net::Address address;
  std::string zone;
  std::string kind;
  int cell = 0;
  Phase phase = Phase::ready;
  double size = 1;
  double up_since_ms = 0;  // Unix time; 0 = long ago

  bool operator==(const Entry&) const = default;
};

struct MemberList {
  std::int64_t revision = 0;  // counted by its source; of another source, or another life, it says nothing
  bool complete = false;      // the whole list, not only what has changed
  std::vector<Entry> entries;
};

class MembersHandler {
 public:
  virtual ~MembersHandler() = default;
  virtual void members_told(const MemberList& list) = 0;
  virtual void members_failed() = 0;
};

struct SourceCounters {
  std::uint64_t lists = 0;    // whole ones
  std::uint64_t changes = 0;  // tellings that held any
  std::uint64_t stale = 0;    // older than what stands, or told before
  std::uint64_t failures = 0;

  SourceCounters& operator+=(const SourceCounters& other) {
    lists += other.lists;
    changes += other.changes;
    stale += other.stale;
    failures += other.failures;
    return *this;
  }
};

// One place that the list comes from: the platform's agent, a registry, a list that stands in a file. The
// first thing that it tells is a whole list.
class Source {
 public:
  virtual ~Source() = default;
  // Names the place: two sources of one name are the same.
  virtual const std::string& where() const = 0;
  virtual void start() = 0;  // does nothing where it has started already
  virtual void stop() = 0;
  // Asks for the whole list again.
  virtual void fetch() = 0;
  // Goes on telling for as long as it can without a new connection.
  virtual void stop_reconnecting() = 0;
  // Of the list that stands; -1 where there is none yet.
  virtual std::int64_t revision() const = 0;
  virtual SourceCounters counters() const = 0;
  // More of its own, as members of a JSON object; empty where there are none.
  virtual std::string details_json() const { return {}; }
};

}  // namespace pearspar::membership
