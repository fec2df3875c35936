// A member's disk in the simulation. A call is atomic, as the store promises; it costs its sync, and the
// process that makes it waits so long. Faults: full, stalled, slow, wiped, power lost in the middle of a
// write; and, to see the checker fail, a disk that says it has synced and has not.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "raft/store.h"
#include "simulation/world.h"

namespace pearspar::simulation {

class SimDisk : public raft::Store {
 public:
  explicit SimDisk(World& world) : world_(world) {}

  std::error_code load(raft::PersistentState& stored) override;
  std::error_code save_self(raft::MemberId self) override;
  std::error_code save_vote(const raft::Vote& vote) override;
  std::error_code replace_tail(raft::Index from, const std::vector<raft::Entry>& entries) override;
  std::error_code save_snapshot(const raft::Snapshot& snapshot, bool drop_rest) override;
  std::error_code save_note(raft::Index commit, const std::string& note) override;

  void set_full(bool full) { full_ = full; }
  bool full() const { return full_; }
  void stall_until(Time until) { stalled_ = until; }
  void set_sync(Duration sync) { sync_ = sync; }
  // Beside the sync: so many bytes a second; 0 = they cost nothing.
  void set_rate(double bytes_per_s) { rate_ = bytes_per_s; }
  void set_lying(bool lying) { lying_ = lying; }
  void lose_power();
  void wipe();
  // What is on it now; and it holds again what it once held: a copy of yesterday, a disk that was mounted
  // late.
  raft::PersistentState kept() const;
  void put_back(raft::PersistentState kept);
  // The process that uses it waits until then.
  Time busy_until() const { return busy_; }
  std::uint64_t writes() const { return writes_; }

 private:
  // As raft::PersistentState; a copy of it costs little, however large the state is.
  struct Held {
    raft::MemberId self = 0;
    raft::Vote vote;
    std::shared_ptr<const raft::Snapshot> snapshot;
    std::vector<std::shared_ptr<const raft::Entry>> entries;
    raft::Index commit = 0;
    std::string note;
  };
  template <typename Work>
  std::error_code write(std::size_t bytes, Work work);

  World& world_;
  Held held_;     // as a process sees it
  Held before_;   // as it was before the last write
  Held durable_;  // of a lying disk: what a loss of power leaves
  Time durable_due_{};
  Time busy_{};
  Time stalled_{};
  Duration sync_{0.0005};
  double rate_ = 0;
  bool full_ = false;
  bool lying_ = false;
  std::uint64_t writes_ = 0;
};

}  // namespace pearspar::simulation
