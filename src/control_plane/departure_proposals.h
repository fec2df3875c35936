// The leader's side of departures: batches them into log entries, one entry in flight at a time, and tells
// which ones a majority has on disk. Free of I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "catalog/departures.h"
#include "raft/types.h"

namespace pearspar::control_plane {

class DepartureProposals {
 public:
  using Ticket = std::uint64_t;
  // Of a departure that was recorded before.
  static constexpr Ticket recorded = 0;
  static constexpr std::size_t max_batch = 1024;

  // The departure goes into one of the next entries. One that waits already is not added again.
  Ticket add(catalog::Departure departure);
  // The departures to propose now. Empty if there are none, or while an entry is in flight.
  std::vector<catalog::Departure> next_batch();
  // The index of the entry that holds the last batch; nothing if it was rejected: all departures are lost
  // then.
  void proposed(std::optional<raft::Index> index);
  // Entries up to this index have been applied, in the term in which they were proposed.
  void on_applied(raft::Index applied);
  // Loses all departures that are not committed: this member does not lead any more.
  void clear();

  bool is_committed(Ticket ticket) const { return ticket <= committed_; }
  // To be asked before the next departure is added: a later commit covers the ticket as well.
  bool is_lost(Ticket ticket) const { return ticket > committed_ && ticket <= lost_; }

 private:
  Ticket last_ = recorded;
  Ticket committed_ = recorded;
  Ticket lost_ = recorded;
  std::deque<catalog::Departure> waiting_;
  std::optional<raft::Index> index_;  // of the entry in flight
  Ticket in_flight_ = recorded;       // the last one in that entry
};

}  // namespace pearspar::control_plane
