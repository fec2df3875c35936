// What a key-value registry holds and says, whatever its wire. Revisions count the registry's changes, all
// keys together; 0 is before the first.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pearspar::registry {

using Revision = std::int64_t;

// Who answers, and how far that one stands.
struct Header {
  std::uint64_t cluster = 0;  // the registry's identity
  std::uint64_t member = 0;   // of the cluster
  Revision revision = 0;
  std::uint64_t term = 0;  // of leadership; never falls within one history
};

struct Item {
  std::string value;
  bool oversized = false;  // the value was longer than is kept, and was left out
  Revision created = 0;
  Revision modified = 0;
  std::int64_t version = 0;  // puts since it was created; 0 = the wire does not tell

  bool operator==(const Item&) const = default;
};

struct KeyItem {
  std::string key;
  Item item;
};

struct Change {
  std::string key;
  std::optional<Item> item;  // none = deleted
  Revision revision = 0;
};

struct Page {
  Header header;
  std::vector<KeyItem> items;  // ordered by key
  bool more = false;
  std::int64_t count = 0;  // keys under the prefix at that revision, not only on this page
};

// Some of the events on a watch. Those of one revision may be split over several, of which all but the last
// say `fragment`.
struct Events {
  Header header;
  std::vector<Change> changes;  // none and no fragment: a progress mark
  bool fragment = false;
};

// What stands under the prefix, told in brief: enough to know whether a view of it misses anything.
struct Standing {
  Header header;
  std::int64_t count = 0;
  Revision newest = 0;          // the highest `modified`; 0 where there is no key
  std::optional<KeyItem> item;  // one that was modified then, where it was asked for
};

enum class Fault { refused, timeout, ended, malformed, status, too_large, cancelled, compacted };
inline constexpr int fault_kinds = 8;
const char* word(Fault fault);

}  // namespace pearspar::registry
