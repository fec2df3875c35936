// What the search has seen committed and who led, and what must hold between that and a member. For the
// search and for the random walks.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "simulation/explore_body.h"

namespace pearspar::simulation {

// What a step may have changed of a member, as it was before it.
struct Glance {
  Glance() = default;
  explicit Glance(const Body& body);
  raft::MemberId self = 0;  // nobody: it was not there
  raft::Index commit = 0;
  raft::Index applied = 0;
  raft::Term term = 0;
  bool leads = false;
};

class Past {
 public:
  // After a step. What must be: one leader a term, one entry an index for ever, one machine for the same
  // changes. Empty where it is. `log` is the one before the step, for entries that it both commits and folds.
  // Not `whole`: looks only at what the step has added.
  std::string see(const Glance& before, const raft::Log* log, const Body& after, bool whole);
  // Of every leader, whenever `size` has grown: it has all that was committed in a term before its own.
  std::string judge_leader(const Body& body) const;
  // Of all members at one moment: never two that may speak, and no reader sees less than was acknowledged.
  std::string judge_speakers(const std::vector<const Body*>& bodies);

  std::size_t size() const { return committed_.size(); }
  std::size_t leaders() const { return leaders_.size(); }
  std::size_t changes() const { return changes_; }
  std::size_t memberships() const { return memberships_; }
  // Of the entry that was committed last of those that say who counts; 0 = only the founding list.
  raft::Index membership_index() const { return membership_since_; }
  const raft::Membership& membership() const { return membership_; }
  std::string describe() const;
  // Keeps what may still be asked about: entries behind `index`.
  void forget_up_to(raft::Index index);

 private:
  struct Kept {
    raft::Entry entry;
    bool known = false;  // else folded before anybody looked
    raft::Term in = 0;   // of the leader that committed it
  };
  std::string see_leader(const Core& core);
  std::string see_machine(const Body& body) const;
  std::string see_entry(const raft::Entry& entry, raft::Term in);

  std::vector<Kept> committed_;  // from index `first_`
  raft::Index first_ = 2;
  std::string machine_before_ = ".";  // up to first_
  std::vector<std::pair<raft::Term, raft::MemberId>> leaders_;
  std::size_t changes_ = 0;
  std::size_t memberships_ = 0;
  raft::Index membership_since_ = 0;
  raft::Membership membership_;
  std::size_t acknowledged_ = 0;  // size of the machine that a speaker has shown
};

}  // namespace pearspar::simulation
