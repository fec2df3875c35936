// A fixed list of nodes, read from the configuration.
#pragma once

#include <string>
#include <utility>

#include "membership/members.h"

namespace pearspar::membership {

class FixedSource final : public Source {
 public:
  // `list` must be complete. Two fixed lists with equal text form count as the same source.
  FixedSource(MemberList list, MembersHandler& handler) : list_(std::move(list)), handler_(handler) {
    list_.complete = true;
    where_ = "a fixed list of " + std::to_string(list_.entries.size()) + " nodes (" + mark() + ")";
  }

  const std::string& where() const override { return where_; }
  void start() override {
    if (!std::exchange(started_, true)) fetch();
  }
  void stop() override { started_ = false; }
  void fetch() override {
    started_ = true;
    told_ = true;
    ++counters_.lists;
    handler_.members_told(list_);
  }
  void stop_reconnecting() override {}
  std::int64_t revision() const override { return told_ ? list_.revision : -1; }
  SourceCounters counters() const override { return counters_; }

 private:
  std::string mark() const {
    std::string all;
    for (const Entry& entry : list_.entries)
      all += entry.id + ' ' + entry.address.text() + ' ' + entry.zone + ' ' + entry.kind + ' ' +
             std::to_string(entry.cell) + ' ' + std::to_string(static_cast<int>(entry.phase)) + ' ' +
             std::to_string(entry.size) + ' ' + std::to_string(entry.up_since_ms) + '\n';
    return std::to_string(std::hash<std::string>{}(all));
  }

  MemberList list_;
  MembersHandler& handler_;
  std::string where_;
  bool started_ = false;
  bool told_ = false;
  SourceCounters counters_;
};

}  // namespace pearspar::membership
