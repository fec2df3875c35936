// Decides how a broker keeps its own key in the registry under a lease. Free of I/O and given the time.
//
//   off -> granting -> putting -> kept <-> renewing -> off, or -> withdrawing -> off
//
// Whatever fails, the next try is paced and goes to the endpoint that is best. A lease that the registry no
// longer knows, or that must have run out by our own clock, is given up and another is asked for; so is one
// whose key is gone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/clock.h"
#include "registry/endpoints.h"

namespace pearspar::registry {

struct RegistrarCounters {
  std::uint64_t grants = 0;
  std::uint64_t puts = 0;
  std::uint64_t renewals = 0;
  std::uint64_t lost = 0;  // leases or keys that the registry no longer had, or that ran out unrenewed
  std::uint64_t failures = 0;
};

class Registrar {
 public:
  enum class State { off, granting, putting, kept, renewing, checking, withdrawing };
  struct Command {
    enum class Kind { grant, put, renew, check, revoke };
    Kind kind = Kind::grant;
    int endpoint = 0;
    std::string lease;  // as the registry names it
  };

  Registrar(int endpoints, const Pacing& pacing, net::Duration lease, net::Duration reply_timeout,
            std::uint64_t seed)
      : endpoints_(endpoints, pacing, seed), lease_time_(lease), reply_timeout_(reply_timeout) {}

  void start(net::Time now);
  // The key and the lease are given back; what cannot be done within `patience` is left to the lease's end.
  void withdraw(net::Time now, net::Duration patience);
  // The value has changed: it is put again.
  void value_changed(net::Time now);
  void tick(net::Time now);
  net::Time due() const { return due_; }

  void granted(net::Time now, std::string lease);
  // False: somebody else holds the key still.
  void put_done(net::Time now, bool ours);
  // False: the registry knows no such lease.
  void renewed(net::Time now, bool known);
  // Whether our key stands under our lease.
  void checked(net::Time now, bool stands);
  void revoked(net::Time now);
  void failed(net::Time now);

  State state() const { return state_; }
  bool registered() const {
    return state_ == State::kept || state_ == State::renewing || state_ == State::checking;
  }
  bool done() const { return state_ == State::off; }
  const RegistrarCounters& counters() const { return counters_; }
  std::vector<Command> take_commands() { return std::exchange(commands_, {}); }

 private:
  void ask(net::Time now, Command::Kind kind, State state);
  void lose(net::Time now);
  void rest(net::Time now);
  void next(net::Time now);

  Endpoints endpoints_;
  net::Duration lease_time_;
  net::Duration reply_timeout_;
  State state_ = State::off;
  bool waiting_ = false;  // a reply is out
  int endpoint_ = 0;
  std::string lease_;
  net::Time good_until_{};  // by our clock, counted from before the request that granted or renewed it
  net::Time asked_{};
  net::Time due_ = net::Time::max();
  net::Time give_up_{};
  bool put_again_ = false;
  RegistrarCounters counters_;
  std::vector<Command> commands_;
};

}  // namespace pearspar::registry
