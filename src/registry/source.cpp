#include "registry/source.h"

#include <fmt/format.h>

#include "json/json.h"
#include "registry/etcd.h"

namespace pearspar::registry {
namespace {

std::uint64_t failures_of(const FollowerCounters& counters) {
  std::uint64_t sum = counters.silent + counters.doubts + counters.holes + counters.diverged;
  for (std::uint64_t each : counters.failures) sum += each;
  return sum;
}

const char* word_of(ViewState state) {
  constexpr const char* words[] = {"empty", "loading", "following", "stale", "resyncing"};
  return words[static_cast<int>(state)];
}

}  // namespace

std::string RegistryOptions::text() const {
  std::string text = dialect == DialectKind::etcd ? "registry etcd" : "registry consul";
  text += fmt::format(" {} at", prefix);
  for (const net::Address& address : endpoints) text += fmt::format(" {}", address.text());
  return text;
}

std::unique_ptr<Dialect> make_dialect(const RegistryOptions& options) {
  if (options.dialect == DialectKind::etcd)
    return std::make_unique<etcd::EtcdDialect>(options.prefix, options.wire, options.token);
  consul::Options consul = options.consul;
  consul.token = options.token;
  return std::make_unique<consul::ConsulDialect>(options.prefix, options.wire, consul);
}

std::unique_ptr<Follower> make_follower(const RegistryOptions& options, std::uint64_t seed) {
  int count = static_cast<int>(options.endpoints.size());
  if (options.dialect == DialectKind::etcd)
    return std::make_unique<WatchFollower>(count, options.follower, seed);
  return std::make_unique<PollFollower>(count, options.follower, seed);
}

// ---- following ----

Following::Following(net::Loop& loop, const RegistryOptions& options, std::uint64_t seed, User& user)
    : loop_(loop),
      options_(options),
      user_(user),
      dialect_(make_dialect(options)),
      follower_(make_follower(options, seed)),
      main_(loop, [this](Link::Came what) { came(main_, main_ticket_, what); }),
      look_(loop, [this](Link::Came what) { came(look_, look_ticket_, what); }) {}

void Following::start() {
  follower_->start(loop_.now());
  carry_out();
}

void Following::stop() {
  follower_->stop();
  follower_->take_commands();
  main_.close();
  look_.close();
  main_ticket_ = look_ticket_ = 0;
  timer_.reset();
}

void Following::refresh() {
  follower_->refresh(loop_.now());
  carry_out();
}

void Following::page_read(std::uint64_t ticket, Page page) { follower_->page_in(loop_.now(), ticket, page); }
void Following::watch_stands(std::uint64_t ticket, const Header& header) {
  follower_->watch_made(loop_.now(), ticket, header);
}
void Following::events_read(std::uint64_t ticket, Events events) {
  follower_->told(loop_.now(), ticket, std::move(events));
}
void Following::look_read(std::uint64_t ticket, const Standing& standing) {
  follower_->look_in(loop_.now(), ticket, standing);
}

// What was read has been told to the follower by now; its commands wait until the link is done with itself.
void Following::came(Link& link, std::uint64_t& ticket, Link::Came what) {
  if (what == Link::Came::fault) {
    std::uint64_t failed = std::exchange(ticket, 0);
    last_fault_ = link.why();
    if (follower_->endpoint() >= 0)
      last_fault_ =
          options_.endpoints[static_cast<std::size_t>(follower_->endpoint())].text() + ": " + last_fault_;
    follower_->failed(loop_.now(), failed, link.fault());
  } else if (what == Link::Came::whole) {
    // A watch whose reply ends in good order has ended all the same.
    std::uint64_t ended = std::exchange(ticket, 0);
    follower_->failed(loop_.now(), ended, Fault::ended);
  }
  moved();
}

void Following::moved() {
  carry_out();
  user_.view_moved();
}

void Following::carry_out() {
  for (Command& command : follower_->take_commands()) {
    if (auto* drop = std::get_if<Drop>(&command)) {
      if (drop->ticket == main_ticket_) {
        main_.close();
        main_ticket_ = 0;
      } else if (drop->ticket == look_ticket_) {
        look_.close();
        look_ticket_ = 0;
      }
      continue;
    }
    const Ask& ask = std::get<Ask>(command);
    bool look = ask.kind == Ask::Kind::look;
    (look ? look_ticket_ : main_ticket_) = ask.ticket;
    WireUser& self = *this;
    (look ? look_ : main_)
        .send(options_.endpoints[static_cast<std::size_t>(ask.endpoint)], dialect_->request(ask),
              dialect_->credentials(), dialect_->reader(ask, self), ask.kind != Ask::Kind::poll);
  }
  net::Time due = follower_->due();
  timer_.reset();
  if (due == net::Time::max()) return;
  timer_ = loop_.at(due, [this] {
    std::uint64_t before = failures_of(follower_->counters());
    follower_->tick(loop_.now());
    if (failures_of(follower_->counters()) != before)
      last_fault_ =
          options_.endpoints[static_cast<std::size_t>(follower_->endpoint())].text() + ": no reply in time";
    moved();
  });
}

// ---- the source ----

RegistrySource::RegistrySource(net::Loop& loop, log::Logger& log, const RegistryOptions& options,
                               std::uint64_t seed, membership::MembersHandler& user)
    : loop_(loop),
      log_(log),
      user_(user),
      where_(options.text()),
      following_(loop, options, seed, *this),
      roster_(options.prefix, options.hold) {}

void RegistrySource::start() {
  if (started_) return;
  started_ = true;
  following_.start();
}

void RegistrySource::stop() {
  started_ = false;
  following_.stop();
  roster_timer_.reset();
}

void RegistrySource::fetch() {
  started_ = true;
  following_.refresh();
}

void RegistrySource::view_moved() {
  const Follower& follower = following_.follower();
  std::uint64_t failures = failures_of(follower.counters());
  bool failed = failures != std::exchange(failures_seen_, failures);
  if (failed) {
    ++counters_.failures;
    // Said once for each run of failures.
    if (!failing_) log_.warning("{}: {}; the list stands", where_, following_.last_fault());
    failing_ = true;
  }
  if (follower.counters().new_histories != std::exchange(histories_seen_, follower.counters().new_histories))
    log_.warning("{}: its history is another than before; all keys are read anew", where_);
  if (follower.live() && !was_live_ && failing_) {
    log_.info("{}: tells again, revision {}", where_, follower.view().revision());
    failing_ = false;
  }
  was_live_ = follower.live();
  if (last_ && !follower.live() && told_) {
    following_.stop();
  }
  if (failed) user_.members_failed();
  tell();  // last: this source may be left for another in there
}

void RegistrySource::tell() {
  View& view = following_.follower().view();
  bool news = view.has_news();
  auto list = roster_.take(loop_.now(), view);
  for (const auto& [key, why] : roster_.take_new_bad())
    log_.warning("{}: the record under {} cannot be read, its last good one stands: {}", where_, key, why);
  net::Time due = roster_.due();
  roster_timer_.reset();
  if (due != net::Time::max()) {
    if (news && roster_.waiting() > 0)
      log_.warning("{}: {} removals wait, as hold_removals says", where_, roster_.waiting());
    roster_timer_ = loop_.at(due, [this] { tell(); });
  }
  if (!list) return;
  ++(list->complete ? counters_.lists : counters_.changes);
  if (!told_) log_.info("{}: {} nodes at revision {}", where_, roster_.size(), view.revision());
  told_ = true;
  user_.members_told(*list);
}

membership::SourceCounters RegistrySource::counters() const {
  membership::SourceCounters counters = counters_;
  counters.stale = following_.follower().counters().repeated;
  return counters;
}

std::string RegistrySource::details_json() const {
  const FollowerCounters& c = following_.follower().counters();
  const View& view = following_.follower().view();
  std::string out = "\"where\":";
  json::append_quoted(out, where_);
  out += fmt::format(
      ",\"state\":\"{}\",\"keys\":{},\"bytes\":{},\"asks\":{},\"snapshots\":{},\"events\":{},\"repeated\":{},"
      "\"audits\":{},\"holes\":{},\"silent\":{},\"diverged\":{},\"doubts\":{},\"new_histories\":{},\"too_"
      "large\":{},\"bytes_read\":{},"
      "\"bad_records\":{},\"bad_keys\":{},\"removals_held\":{},\"removals_waiting\":{},\"returned\":{},"
      "\"failures_by_cause\":{{",
      word_of(view.state()), view.items().size(), view.bytes(), c.asks, c.snapshots, c.events, c.repeated,
      c.audits, c.holes, c.silent, c.diverged, c.doubts, c.new_histories, c.too_large,
      following_.bytes_read(), roster_.counters().bad_records, roster_.bad().size(), roster_.counters().held,
      roster_.waiting(), roster_.counters().returned);
  for (int i = 0; i < fault_kinds; ++i)
    out += fmt::format("{}\"{}\":{}", i == 0 ? "" : ",", word(static_cast<Fault>(i)), c.failures[i]);
  return out + "}";
}

}  // namespace pearspar::registry
