// Where the list of nodes comes from, which may move while the broker runs: the source that stands serves
// until the new one has told its whole list, and then ends.
#pragma once

#include <functional>
#include <memory>

#include "log/log.h"
#include "membership/members.h"

namespace pearspar::membership {

using MakeSource = std::function<std::unique_ptr<Source>(MembersHandler&)>;

class SourceSwitch : MembersHandler {
 public:
  SourceSwitch(log::Logger& log, const MakeSource& make, MembersHandler& user)
      : log_(log), user_(user), current_(make(*this)) {}

  void start();  // does nothing where it has started already
  void stop();
  // Asks for the whole list again.
  void fetch();
  // From here on the list comes from another source, unless it is the same. Its versions count for
  // themselves.
  void move(const MakeSource& make);

  const std::string& where() const { return (pending_ ? *pending_ : *current_).where(); }
  bool moving() const { return pending_ != nullptr; }
  // Of the list that stands; -1 where there is none yet.
  std::int64_t revision() const { return current_->revision(); }
  SourceCounters counters() const;
  std::string details_json() const { return current_->details_json(); }

 private:
  void members_told(const MemberList& list) override;
  void members_failed() override { user_.members_failed(); }

  log::Logger& log_;
  MembersHandler& user_;
  bool started_ = false;
  std::unique_ptr<Source> current_;
  std::unique_ptr<Source> pending_;
  SourceCounters retired_counters_;  // of sources that have been left
};

}  // namespace pearspar::membership
