// The list of nodes, the interface of its sources and the handler of its updates.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/clock.h"
#include "net/socket.h"

namespace pearspar::membership {

enum class Phase { gone, ready, draining };

// One node.
struct Entry {
  std::string id;
  net::Address address;
  std::string zone;
  std::string kind;
  int cell = 0;
  Phase phase = Phase::ready;
  double size = 1;
  double up_since_ms = 0;  // Unix time; 0: long ago

  bool operator==(const Entry&) const = default;
};

// An update of the list.
struct MemberList {
  std::int64_t revision = 0;  // comparable only within one run of one source
  bool complete = false;      // the whole list, not only changes
  std::vector<Entry> entries;
};

// Receives the updates of a source.
class MembersHandler {
 public:
  virtual ~MembersHandler() = default;
  virtual void members_told(const MemberList& list) = 0;
  virtual void members_failed() = 0;
};

struct SourceCounters {
  std::uint64_t lists = 0;    // complete lists
  std::uint64_t changes = 0;  // updates with at least one change
  std::uint64_t stale = 0;    // older than the list in force, or repeated
  std::uint64_t failures = 0;

  SourceCounters& operator+=(const SourceCounters& other) {
    lists += other.lists;
    changes += other.changes;
    stale += other.stale;
    failures += other.failures;
    return *this;
  }
};

// A source of the list: the platform's agent, a registry or a fixed list. Its first update is a complete
// list.
class Source {
 public:
  virtual ~Source() = default;
  // Identifies the source: two sources with equal text are the same.
  virtual const std::string& where() const = 0;
  virtual void start() = 0;  // idempotent
  virtual void stop() = 0;
  // Requests the complete list again.
  virtual void fetch() = 0;
  // Keeps reporting on the present connection but opens no new one.
  virtual void stop_reconnecting() = 0;
  // Of the list in force; -1 if there is none yet.
  virtual std::int64_t revision() const = 0;
  virtual SourceCounters counters() const = 0;
  // Further members of a JSON object; may be empty.
  virtual std::string details_json() const { return {}; }
};

}  // namespace pearspar::membership
