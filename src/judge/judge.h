// Judges what a fleet's brokers said of each other against what was really done to them. Knows the guarantees
// of docs/fleet-view.md and nothing of how they are kept: no code of the protocol is used here.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pearspar::judge {

// Times in seconds on the judge's own scale.
struct Terms {
  double period = 0.2;
  double suspicion_periods = 3;
  double slack = 0;  // seconds that the machine may be late in telling
};

enum class Deed {
  started,  // its process begins, under that run
  killed,   // without a word
  stopped,  // lives, and does nothing
  resumed,
  told_to_leave,
  ended,     // after an ordered end
  restless,  // the network does not stand still from here on, and yet nobody may be removed
  troubled,  // from here on the network or the machine is such that live brokers may be removed
  calm       // from here on everything stands still and each two live brokers reach each other
};

struct Happening {
  double at = 0;
  Deed deed = Deed::calm;
  std::string who;
  std::uint64_t run = 0;  // of `started`; 0: not known, the first that is heard of
};

// One broker's opinion of one name has become this.
struct Opinion {
  double at = 0;
  std::string observer;
  std::string name;
  std::uint64_t run = 0;
  std::uint64_t incarnation = 0;
  std::string state;  // joining, alive, suspect, leaving, left, gone
};

// What a broker says of its whole view, whenever that changes.
struct Claim {
  double at = 0;
  std::string observer;
  std::string digest;
  std::size_t in_force = 0;
  bool settled = false;
};

struct Report {
  std::vector<std::string> faults;  // each a sentence with times
  std::vector<double> detected;     // seconds from each crash until all knew
  std::vector<double> joined;       // from each start until all knew
  std::vector<double> settled;      // from each calm until all had said settled, with one digest
  std::size_t opinions = 0;
  std::size_t removals = 0;  // of live brokers, allowed or not
};

class Judge {
 public:
  explicit Judge(const Terms& terms) : terms_(terms) {}
  // In the order of their times, all kinds together.
  void happened(const Happening& happening);
  void said(const Opinion& opinion);
  void claimed(const Claim& claim);
  // The times that the guarantees give.
  double crash_bound(std::size_t n) const;
  double settle_bound(std::size_t n) const;
  Report end(double at);
  // Whether all live brokers have claimed to be settled with one digest and the right number since the last
  // deed.
  bool agreed() const;
  std::size_t live() const;

 private:
  struct Broker {
    bool running = false;
    bool stopped = false;
    bool leaving = false;
    double since = 0;          // of its process
    double stopped_until = 0;  // the last time that it was resumed
    std::uint64_t run = 0;
    std::optional<Claim> claim;
  };
  struct Held {
    std::uint64_t run = 0;
    std::uint64_t incarnation = 0;
    std::string state;
    std::pair<std::uint64_t, std::uint64_t> buried{};  // the latest word under which it was gone
    std::uint64_t left = 0;                            // the latest run that left
  };
  struct Crash {
    double at = 0;
    std::string who;
    std::uint64_t run = 0;
    std::size_t live = 0;
    std::map<std::string, double> knew;  // by observer
  };
  struct Start {
    double at = 0;
    std::string who;
    std::map<std::string, double> knew;
  };
  void fault(const std::string& text);
  void end_calm(double at);
  bool excused(const std::string& who, double at) const;
  std::string views() const;

  Terms terms_;
  std::map<std::string, Broker> brokers_;
  std::map<std::pair<std::string, std::string>, Held> held_;  // observer, name
  std::vector<Crash> crashes_;
  std::vector<Start> starts_;
  std::set<std::string> troubled_;  // who may be removed; the empty name stands for all
  std::map<std::string, double> troubled_until_;
  std::optional<double> calm_;
  bool agreed_ = false;
  double agreed_since_ = 0;
  bool gave_up_ = false;
  Report report_;
};

}  // namespace pearspar::judge
