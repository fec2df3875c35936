// Replaces the source of the node list at run time: the current source serves until the new one has
// delivered its first complete list.
#pragma once

#include <functional>
#include <memory>

#include "log/log.h"
#include "membership/members.h"

namespace pearspar::membership {

// Creates the source that reports to the given handler.
using MakeSource = std::function<std::unique_ptr<Source>(MembersHandler&)>;

// The node list from a replaceable source.
class SourceSwitch : MembersHandler {
 public:
  SourceSwitch(log::Logger& log, const MakeSource& make, MembersHandler& handler)
      : log_(log), handler_(handler), current_(make(*this)) {}

  void start();  // idempotent
  void stop();
  // Requests the complete list again.
  void fetch();
  // Moves to another source, unless it is the same one. Revisions of the two sources are not comparable.
  void move(const MakeSource& make);

  const std::string& where() const { return (pending_ ? *pending_ : *current_).where(); }
  bool moving() const { return pending_ != nullptr; }
  // Of the list in force; -1 if there is none yet.
  std::int64_t revision() const { return current_->revision(); }
  SourceCounters counters() const;
  std::string details_json() const { return current_->details_json(); }

 private:
  void members_told(const MemberList& list) override;
  void members_failed() override { handler_.members_failed(); }

  log::Logger& log_;
  MembersHandler& handler_;
  bool started_ = false;
  std::unique_ptr<Source> current_;
  std::unique_ptr<Source> pending_;
  SourceCounters retired_counters_;  // of replaced sources
};

}  // namespace pearspar::membership
