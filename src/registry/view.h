// A replica of the keys under one prefix. Free of I/O.
//
// Between calls: what items() shows is the registry's content at revision(), never a mix of two revisions. A
// snapshot gathers aside and takes its place whole; a revision's changes apply all together or not at all.
// States and the ways between them: docs/registry.md.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "registry/types.h"

namespace pearspar::registry {

struct ViewLimits {
  std::size_t keys = 50'000;
  std::size_t bytes = 8u << 20;  // of keys and values; a second copy stands while a snapshot is gathered
};

enum class ViewState {
  empty,      // nothing was ever had
  loading,    // the first snapshot is being gathered
  following,  // stands, and is being told on
  stale,      // stands, and nobody tells
  resyncing   // stands, and a snapshot is gathered beside it
};

enum class Verdict {
  applied,
  nothing,    // no harm and no news (a progress mark that was known)
  repeated,   // had been applied
  older,      // a progress mark or page from before what stands
  hole,       // something in between was missed: read anew
  misplaced,  // out of its order, or in a state that takes none
  too_large   // over the limits
};

class View {
 public:
  explicit View(const ViewLimits& limits = {}) : limits_(limits) {}

  // A snapshot: all of its pages at one revision, keys ascending.
  void begin_snapshot(Revision revision);
  Verdict add_page(Revision revision, const std::vector<KeyItem>& items);
  // Takes the place of what stood, whatever revision that had. `whole`: all of it counts as news, not only
  // what differs.
  Verdict finish_snapshot(bool whole);
  void abandon_snapshot();

  // A watch tells from revision() + 1.
  void follow();
  void lose();
  // Whole revisions, ascending. Those at or below revision() are left out as repeated; one that cannot follow
  // on what stands makes it `hole`, and it and all behind it are left out.
  Verdict apply(const std::vector<Change>& changes);
  // Nothing up to that revision is still to come.
  Verdict progress(Revision revision);

  ViewState state() const { return state_; }
  Revision revision() const { return revision_; }
  bool stands() const { return state_ != ViewState::empty && state_ != ViewState::loading; }
  const std::map<std::string, Item>& items() const { return items_; }
  std::size_t bytes() const { return bytes_; }
  Revision newest() const;

  // The keys that differ from what was last taken.
  struct News {
    bool whole = false;  // a snapshot took its place: all keys count as told anew
    std::vector<std::string> keys;
  };
  bool has_news() const { return whole_news_ || !news_.empty(); }
  News take_news();

 private:
  bool follows(const Change& change) const;
  bool was_applied(const Change& change) const;
  void set(const Change& change);

  ViewLimits limits_;
  ViewState state_ = ViewState::empty;
  Revision revision_ = 0;
  std::map<std::string, Item> items_;
  std::size_t bytes_ = 0;

  Revision gathered_at_ = 0;
  std::map<std::string, Item> gathered_;
  std::size_t gathered_bytes_ = 0;

  // Keys deleted lately, with when: a change that comes late is told from one that never came.
  std::map<std::string, Revision> deleted_;
  std::deque<std::pair<Revision, std::string>> deleted_order_;

  std::set<std::string> news_;
  bool whole_news_ = false;
};

}  // namespace pearspar::registry
