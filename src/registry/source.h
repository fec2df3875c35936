// The list of nodes from a key-value registry: joins follower, roster and dialect with the loop's
// connections.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "log/log.h"
#include "membership/members.h"
#include "net/loop.h"
#include "registry/consul.h"
#include "registry/follower.h"
#include "registry/link.h"
#include "registry/records.h"
#include "registry/wire.h"

namespace pearspar::registry {

enum class DialectKind { etcd, consul };

struct RegistryOptions {
  DialectKind dialect = DialectKind::etcd;
  std::vector<net::Address> endpoints;  // at least one
  std::string prefix = "/pearspar/nodes/";
  std::string token;
  FollowerOptions follower;
  WireLimits wire;
  RemovalHold hold;
  consul::Options consul;

  // What it follows, in words: two of the same words are the same.
  std::string text() const;
};

std::unique_ptr<Dialect> make_dialect(const RegistryOptions& options);
std::unique_ptr<Follower> make_follower(const RegistryOptions& options, std::uint64_t seed);

// Follows one prefix and tells each time that the view has moved on. The owner of follower and connections;
// what it is asked to do between turns happens at once, what comes in is told from the loop.
class Following : WireUser {
 public:
  class User {
   public:
    virtual ~User() = default;
    // The view may have moved, or its state. The last thing that is done in a turn: stop() may be called.
    virtual void view_moved() = 0;
  };

  Following(net::Loop& loop, const RegistryOptions& options, std::uint64_t seed, User& user);

  void start();
  void stop();
  void refresh();

  Follower& follower() { return *follower_; }
  const Follower& follower() const { return *follower_; }
  // Why the last connection failed, and at which endpoint.
  const std::string& last_fault() const { return last_fault_; }
  std::uint64_t bytes_read() const { return main_.bytes_read() + look_.bytes_read(); }

 private:
  void page_read(std::uint64_t ticket, Page page) override;
  void watch_stands(std::uint64_t ticket, const Header& header) override;
  void events_read(std::uint64_t ticket, Events events) override;
  void look_read(std::uint64_t ticket, const Standing& standing) override;

  void came(Link& link, std::uint64_t& ticket, Link::Came came);
  void carry_out();
  void moved();

  net::Loop& loop_;
  RegistryOptions options_;
  User& user_;
  std::unique_ptr<Dialect> dialect_;
  std::unique_ptr<Follower> follower_;
  Link main_;  // pages, watches, blocking reads
  Link look_;
  std::uint64_t main_ticket_ = 0;
  std::uint64_t look_ticket_ = 0;
  net::Timer timer_;
  std::string last_fault_;
};

class RegistrySource final : public membership::Source, Following::User {
 public:
  RegistrySource(net::Loop& loop, log::Logger& log, const RegistryOptions& options, std::uint64_t seed,
                 membership::MembersHandler& user);

  const std::string& where() const override { return where_; }
  void start() override;
  void stop() override;
  void fetch() override;
  void stop_reconnecting() override { last_ = true; }
  std::int64_t revision() const override { return told_ ? following_.follower().view().revision() : -1; }
  membership::SourceCounters counters() const override;
  std::string details_json() const override;

  const Follower& follower() const { return following_.follower(); }
  const Roster& roster() const { return roster_; }
  std::uint64_t bytes_read() const { return following_.bytes_read(); }

 private:
  void view_moved() override;
  void tell();

  net::Loop& loop_;
  log::Logger& log_;
  membership::MembersHandler& user_;
  std::string where_;
  Following following_;
  Roster roster_;
  net::Timer roster_timer_;
  bool started_ = false;
  bool last_ = false;
  bool told_ = false;
  bool was_live_ = false;
  bool failing_ = false;
  std::uint64_t failures_seen_ = 0;
  std::uint64_t histories_seen_ = 0;
  membership::SourceCounters counters_;
};

}  // namespace pearspar::registry
